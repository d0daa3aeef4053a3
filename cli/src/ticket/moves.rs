//! `bronzehead ticket moves`: lists rollouts in progress and how the latest ones ended.

use clap::ArgMatches;
use clap::Command;
use ledger::State;

use crate::args;
use crate::exit::CliError;
use crate::exit::Exit;
use crate::ticket::log_reader::LogReader;
use crate::ticket::log_reader::READ_TIMEOUT;
use crate::ticket::result::RolloutEndResult;
use crate::ticket::result::RolloutResult;
use crate::ticket::result::RolloutsResult;

const EXAMPLES: &str = "\
Examples:
  bronzehead ticket moves --log 127.0.0.1:7400
  bronzehead ticket moves --log 127.0.0.1:7400 --output json

Exit codes: 0 listed, 1 the log does not answer.";

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("moves")
        .about("Lists moves under way and how the latest ones ended")
        .after_help(EXAMPLES)
        .arg(args::log().required(true))
        .arg(args::output())
}

/// Runs the subcommand.
///
/// # Errors
/// Fails when the log does not answer, or the result cannot be written.
pub fn run(matches: &ArgMatches) -> Result<Exit, CliError> {
    let address = args::log_address(matches).expect("clap requires the address");
    let mut reader = LogReader::new(address, Some(READ_TIMEOUT));
    http_edge::block_on(reader.catch_up())?;
    args::output_format(matches).print(&list_rollouts(reader.state()))?;
    Ok(Exit::Ok)
}

fn list_rollouts(state: &State) -> RolloutsResult {
    let in_progress = state.services.iter().filter_map(|(name, service)| {
        let rollout = service.rollout.as_ref()?;
        Some(RolloutResult::new(name, &service.stable, rollout))
    });
    RolloutsResult {
        ticket: state.ticket,
        moves: in_progress.collect(),
        ends: state.ends.iter().map(RolloutEndResult::from).collect(),
    }
}
