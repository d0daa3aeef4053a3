//! `bronzehead ticket check`: checks whether a ticket would be accepted.

use clap::ArgMatches;
use clap::Command;
use ledger::check_ticket;

use crate::args;
use crate::exit::CliError;
use crate::exit::Exit;
use crate::ticket::input;
use crate::ticket::log_reader::LogReader;
use crate::ticket::log_reader::READ_TIMEOUT;
use crate::ticket::result::Verdict;
use crate::ticket::result::VerdictResult;

const EXAMPLES: &str = "\
Examples:
  bronzehead ticket check ticket.yaml
  bronzehead ticket check ticket.yaml --log 127.0.0.1:7400

Exit codes: 0 it would be accepted, 1 the number or a version cannot be used or the log does
not answer, 2 the ticket is wrong.";

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("check")
        .about("Checks a ticket file, with --log also against the state; publishes nothing")
        .after_help(EXAMPLES)
        .arg(input::file())
        .arg(args::log())
        .arg(args::output())
}

/// Runs the subcommand.
///
/// # Errors
/// Fails when the file is not a valid ticket or the log does not answer.
pub fn run(matches: &ArgMatches) -> Result<Exit, CliError> {
    let ticket = input::read(matches)?;
    let format = args::output_format(matches);
    let result = |verdict, reason| VerdictResult {
        ticket: ticket.ticket,
        verdict,
        reason,
    };
    let Some(address) = args::log_address(matches) else {
        format.print(&result(Verdict::WellFormed, None))?;
        return Ok(Exit::Ok);
    };
    let mut reader = LogReader::new(address, Some(READ_TIMEOUT));
    http_edge::block_on(reader.catch_up())?;
    match check_ticket(reader.state(), &ticket) {
        Ok(()) => {
            format.print(&result(Verdict::Acceptable, None))?;
            Ok(Exit::Ok)
        }
        Err(reason) => {
            format.print(&result(Verdict::Rejected, Some(reason.to_string())))?;
            Ok(input::rejection_exit(&reason))
        }
    }
}
