//! Ticket files and what they are checked against.

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

/// Largest ticket, in bytes; the log takes no larger record.
const MAX_BYTES: usize = 512 * 1024;

/// `FILE`: the ticket.
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
/// When the file cannot be read or is no ticket; says file, line, key and what was expected.
pub fn read(matches: &ArgMatches) -> Result<Ticket, CliError> {
    let path: &PathBuf = matches.get_one(FILE).expect("clap requires the file");
    let text = std::fs::read_to_string(path).map_err(|e| in_file(path, e))?;
    if text.len() > MAX_BYTES {
        return Err(in_file(path, "expected at most 512KiB"));
    }
    parse_ticket(&text).map_err(|e| in_file(path, e))
}

fn in_file(path: &Path, error: impl fmt::Display) -> CliError {
    CliError::Input(format!("{}: {error}", path.display()))
}

/// How a command ends whose ticket the state would reject: wrong input, or a refusal of what
/// may be right at another time.
pub fn exit_of(reason: &RejectReason) -> Exit {
    match reason {
        RejectReason::NumberTaken { .. } | RejectReason::VersionRolledBack { .. } => Exit::Failed,
        RejectReason::RouteWithoutService { .. }
        | RejectReason::UnknownService(_)
        | RejectReason::UnknownRoute(_)
        | RejectReason::Contradiction(_)
        | RejectReason::OutOfRange(_) => Exit::BadInput,
    }
}
