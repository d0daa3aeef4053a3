//! `bronzehead ticket watch`: follows a ticket until its rollouts have ended.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use base::ServiceName;
use base::TicketNumber;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use ledger::RolloutEnd;
use ledger::State;

use crate::args;
use crate::exit::CliError;
use crate::exit::Exit;
use crate::output::Format;
use crate::ticket::log_reader::LogReader;
use crate::ticket::log_reader::Step;
use crate::ticket::result::EndKind;
use crate::ticket::result::RolloutEndResult;
use crate::ticket::result::Verdict;
use crate::ticket::result::VerdictResult;
use crate::ticket::result::WatchResult;

const NUMBER: &str = "number";

const EXAMPLES: &str = "\
Examples:
  bronzehead ticket watch 42 --log 127.0.0.1:7400
  bronzehead ticket watch 42 --log 127.0.0.1:7400 --wait 10m --output json

Exit codes: 0 all moves ended, 1 a move was taken back, the ticket was rejected, the log keeps
no record of it any more, or the time is up.";

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("watch")
        .about("Follows a ticket until each of its moves has ended, with time and reason")
        .after_help(EXAMPLES)
        .arg(
            Arg::new(NUMBER)
                .value_name("N")
                .required(true)
                .value_parser(value_parser!(TicketNumber).range(1..))
                .help("Number of the ticket"),
        )
        .arg(args::log().required(true))
        .arg(args::wait().help("When to stop watching [default: never]"))
        .arg(args::output())
}

/// Runs the subcommand.
///
/// # Errors
/// Fails when the wait is over before the rollouts have ended, when the state has no trace of the
/// ticket, or when a result cannot be written.
pub fn run(matches: &ArgMatches) -> Result<Exit, CliError> {
    let number: TicketNumber = *matches.get_one(NUMBER).expect("clap requires the number");
    let address = args::log_address(matches).expect("clap requires the address");
    let wait = args::wait_duration(matches);
    let format = args::output_format(matches);
    http_edge::block_on(watch(number, address, wait, format))
}

/// State of a ticket, from the log.
#[derive(Debug, PartialEq, Eq)]
enum TicketStatus {
    /// The log has no verdict on this number, and no higher number was accepted.
    NotSeen,
    /// A ticket with this number was rejected, and none was accepted.
    Rejected(String),
    /// A rollout is in progress.
    InProgress,
    /// The ticket was accepted, and none of its rollouts is in progress.
    Ended,
    /// This number or a higher one was accepted, and the state holds nothing about this one.
    Unknown,
}

async fn watch(
    number: TicketNumber,
    address: SocketAddr,
    wait: Option<Duration>,
    format: Format,
) -> Result<Exit, CliError> {
    let mut reader = LogReader::new(address, wait);
    let mut printed: Vec<RolloutEnd> = Vec::new();
    reader.catch_up().await?;
    loop {
        print_ends(reader.state(), number, format, &mut printed)?;
        let unmet = match ticket_status(reader.state(), number) {
            TicketStatus::NotSeen => "was not published",
            TicketStatus::InProgress => "has not ended",
            TicketStatus::Rejected(reason) => return report_rejection(number, reason, format),
            TicketStatus::Ended => return report_ended(number, &printed, format),
            TicketStatus::Unknown => {
                let message = format!(
                    "ticket {number} was not accepted, or the log keeps no record of it any more"
                );
                return Err(CliError::Failed(message));
            }
        };
        if reader.next().await == Step::TimedOut {
            return Err(CliError::Failed(format!("ticket {number} {unmet} in time")));
        }
    }
}

fn ticket_status(state: &State, number: TicketNumber) -> TicketStatus {
    let is_rolling_out = |service: &ledger::Service| {
        let rollout = service.rollout.as_ref();
        rollout.is_some_and(|rollout| rollout.ticket == number)
    };
    if state.services.values().any(is_rolling_out) {
        return TicketStatus::InProgress;
    }
    if was_accepted(state, number) {
        return TicketStatus::Ended;
    }
    let rejections = state.verdicts.iter().filter(|v| v.ticket == number);
    match rejections.filter_map(|v| v.rejected.as_ref()).next_back() {
        Some(reason) => TicketStatus::Rejected(reason.to_string()),
        None if number <= state.ticket => TicketStatus::Unknown,
        None => TicketStatus::NotSeen,
    }
}

fn was_accepted(state: &State, number: TicketNumber) -> bool {
    let mut verdicts = state.verdicts.iter();
    let mut ends = state.ends.iter();
    state.ticket == number
        || verdicts.any(|v| v.ticket == number && v.rejected.is_none())
        || ends.any(|end| end.ticket == number)
}

fn print_ends(
    state: &State,
    number: TicketNumber,
    format: Format,
    printed: &mut Vec<RolloutEnd>,
) -> Result<(), CliError> {
    for end in state.ends.iter().filter(|end| end.ticket == number) {
        if !printed.contains(end) {
            format.print(&RolloutEndResult::from(end))?;
            printed.push(end.clone());
        }
    }
    Ok(())
}

fn report_rejection(
    number: TicketNumber,
    reason: String,
    format: Format,
) -> Result<Exit, CliError> {
    format.print(&VerdictResult {
        ticket: number,
        verdict: Verdict::Rejected,
        reason: Some(reason),
    })?;
    Ok(Exit::Failed)
}

fn report_ended(
    number: TicketNumber,
    ends: &[RolloutEnd],
    format: Format,
) -> Result<Exit, CliError> {
    let is_rolled_back = |end: &&RolloutEnd| EndKind::of(&end.end) == EndKind::RolledBack;
    let rolled_back = count_services(ends.iter().filter(is_rolled_back));
    format.print(&WatchResult {
        ticket: number,
        moves: count_services(ends.iter()),
        rolled_back,
    })?;
    Ok(if rolled_back == 0 {
        Exit::Ok
    } else {
        Exit::Failed
    })
}

/// Counts services rather than ends: a rollout that completed and was then rolled back has two.
fn count_services<'a>(ends: impl Iterator<Item = &'a RolloutEnd>) -> usize {
    let services: BTreeSet<&ServiceName> = ends.map(|end| &end.service).collect();
    services.len()
}
