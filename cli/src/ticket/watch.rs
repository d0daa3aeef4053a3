//! `bronzehead ticket watch`: follows a ticket until its moves have ended.

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
use crate::ticket::fold::Fold;
use crate::ticket::fold::Step;
use crate::ticket::result::End;
use crate::ticket::result::EndResult;
use crate::ticket::result::Verdict;
use crate::ticket::result::VerdictResult;
use crate::ticket::result::WatchResult;

const NUMBER: &str = "number";

const EXAMPLES: &str = "\
Examples:
  bronzehead ticket watch 42 --log 127.0.0.1:7400
  bronzehead ticket watch 42 --log 127.0.0.1:7400 --wait 10m --output json

Exit codes: 0 all moves ended, 1 a move was taken back, the ticket was rejected, it is not
known any more, or the time is up.";

/// Arguments of the subcommand.
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
/// When the time is up.
pub fn run(matches: &ArgMatches) -> Result<Exit, CliError> {
    let number: TicketNumber = *matches.get_one(NUMBER).expect("clap requires the number");
    let address = args::log_of(matches).expect("clap requires the address");
    let wait = args::wait_of(matches);
    let format = args::output_of(matches);
    http_edge::block_on(watch(number, address, wait, format))
}

/// How far a ticket has come.
#[derive(Debug, PartialEq, Eq)]
enum Stage {
    /// No ticket with this number or a higher one was seen.
    Ahead,
    /// It was rejected, and none with its number was accepted.
    Rejected(String),
    /// Moves are under way.
    Moving,
    /// No move is under way any more.
    Over,
    /// A higher number was accepted, and this one has left no trace.
    Unknown,
}

async fn watch(
    number: TicketNumber,
    address: SocketAddr,
    wait: Option<Duration>,
    format: Format,
) -> Result<Exit, CliError> {
    let mut fold = Fold::new(address, wait);
    let mut printed: Vec<RolloutEnd> = Vec::new();
    fold.catch_up().await?;
    loop {
        print_ends(fold.state(), number, format, &mut printed)?;
        let late = match stage(fold.state(), number) {
            Stage::Ahead => "was not published",
            Stage::Moving => "has not ended",
            Stage::Rejected(reason) => return rejected(number, reason, format),
            Stage::Over => return over(number, &printed, format),
            Stage::Unknown => {
                let message = format!("ticket {number} was not accepted, or too long ago");
                return Err(CliError::Failed(message));
            }
        };
        if fold.next().await == Step::TimeUp {
            return Err(CliError::Failed(format!("ticket {number} {late} in time")));
        }
    }
}

fn stage(state: &State, number: TicketNumber) -> Stage {
    let is_moving = |service: &ledger::Service| {
        let moving = service.rollout.as_ref();
        moving.is_some_and(|moving| moving.ticket == number)
    };
    if state.services.values().any(is_moving) {
        return Stage::Moving;
    }
    if was_accepted(state, number) {
        return Stage::Over;
    }
    let rejections = state.verdicts.iter().filter(|v| v.ticket == number);
    match rejections.filter_map(|v| v.rejected.as_ref()).next_back() {
        Some(reason) => Stage::Rejected(reason.to_string()),
        None if number <= state.ticket => Stage::Unknown,
        None => Stage::Ahead,
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
            format.print(&EndResult::from(end))?;
            printed.push(end.clone());
        }
    }
    Ok(())
}

fn rejected(number: TicketNumber, reason: String, format: Format) -> Result<Exit, CliError> {
    format.print(&VerdictResult {
        ticket: number,
        verdict: Verdict::Rejected,
        reason: Some(reason),
    })?;
    Ok(Exit::Failed)
}

fn over(number: TicketNumber, ends: &[RolloutEnd], format: Format) -> Result<Exit, CliError> {
    let is_taken_back = |end: &&RolloutEnd| End::of(&end.end) == End::TakenBack;
    let taken_back = count_services(ends.iter().filter(is_taken_back));
    format.print(&WatchResult {
        ticket: number,
        moves: count_services(ends.iter()),
        taken_back,
    })?;
    Ok(if taken_back == 0 {
        Exit::Ok
    } else {
        Exit::Failed
    })
}

/// A move that was done and then taken back has two ends.
fn count_services<'a>(ends: impl Iterator<Item = &'a RolloutEnd>) -> usize {
    let services: BTreeSet<&ServiceName> = ends.map(|end| &end.service).collect();
    services.len()
}
