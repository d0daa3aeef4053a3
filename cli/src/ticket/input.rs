//! Reads ticket files, and maps rejections to exit codes.

use std::fmt;
use std::path::Path;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::value_parser;
use ledger::RejectReason;
use ledger::Ticket;
use ledger::parse_ticket;

use crate::exit::CliError;
use crate::exit::Exit;

const FILE: &str = "file";

/// Largest ticket file, in bytes; the log accepts no larger record.
const MAX_TICKET_BYTES: usize = 512 * 1024;

/// Defines the positional argument `FILE`, the ticket file.
pub fn file() -> Arg {
    Arg::new(FILE)
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Ticket in YAML")
}

/// Reads and checks the ticket file.
///
/// # Errors
/// Fails when the file cannot be read, is too large or is not a valid ticket. The message gives the
/// file, line, key and what was expected.
pub fn read(matches: &ArgMatches) -> Result<Ticket, CliError> {
    let path: &PathBuf = matches.get_one(FILE).expect("clap requires the file");
    let text = std::fs::read_to_string(path).map_err(|e| file_error(path, e))?;
    if text.len() > MAX_TICKET_BYTES {
        return Err(file_error(path, "expected at most 512KiB"));
    }
    parse_ticket(&text).map_err(|e| file_error(path, e))
}

fn file_error(path: &Path, error: impl fmt::Display) -> CliError {
    CliError::Input(format!("{}: {error}", path.display()))
}

/// Returns the exit code for a ticket that the state rejects: bad input when the ticket refers to
/// something that does not exist, contradicts itself or is out of range; otherwise a failure, since
/// its number or version cannot be used with the present state.
pub fn rejection_exit(reason: &RejectReason) -> Exit {
    match reason {
        RejectReason::NumberTaken { .. } | RejectReason::VersionRolledBack { .. } => Exit::Failed,
        RejectReason::RouteWithoutService { .. }
        | RejectReason::UnknownService(_)
        | RejectReason::UnknownRoute(_)
        | RejectReason::Contradiction(_)
        | RejectReason::OutOfRange(_) => Exit::BadInput,
    }
}
