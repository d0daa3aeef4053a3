//! `bronzehead ticket publish`: appends a ticket and waits for its verdict.
//!
//! The id of the record contains a hash of the ticket. When the answer to a publish is lost,
//! running the same command again finds the verdict of the first run and does not publish twice.

use std::net::SocketAddr;
use std::time::Duration;

use base::RecordId;
use base::hash;
use clap::ArgMatches;
use clap::Command;
use ledger::Entry;
use ledger::Record;
use ledger::RejectReason;
use ledger::State;
use ledger::Ticket;
use ledger::check_ticket;
use platform::AppendError;

use crate::args;
use crate::exit::CliError;
use crate::exit::Exit;
use crate::output::Format;
use crate::ticket::input;
use crate::ticket::log_reader;
use crate::ticket::log_reader::LogReader;
use crate::ticket::log_reader::Step;
use crate::ticket::result::Verdict;
use crate::ticket::result::VerdictResult;

/// Time to wait for the verdict without `--wait`.
const DEFAULT_WAIT: Duration = Duration::from_secs(30);

const EXAMPLES: &str = "\
Examples:
  bronzehead ticket publish ticket.yaml --log 127.0.0.1:7400
  bronzehead ticket publish ticket.yaml --log 127.0.0.1:7400 --wait 2m --output json

A ticket that would be rejected is not published. When no verdict comes in time, the ticket may
still come into force: run the same command again to find out; an accepted ticket is not
published twice.

Exit codes: 0 accepted, 1 rejected or no verdict in time, 2 the ticket is wrong.";

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("publish")
        .about("Publishes a ticket and waits until its verdict is known")
        .after_help(EXAMPLES)
        .arg(input::file())
        .arg(args::log().required(true))
        .arg(args::wait().help("When to stop waiting for the verdict [default: 30s]"))
        .arg(args::output())
}

/// Runs the subcommand.
///
/// # Errors
/// Fails when the file is not a valid ticket, the log cannot be read or written, or no verdict
/// arrives in time.
pub fn run(matches: &ArgMatches) -> Result<Exit, CliError> {
    let ticket = input::read(matches)?;
    let address = args::log_address(matches).expect("clap requires the address");
    let wait = args::wait_duration(matches).unwrap_or(DEFAULT_WAIT);
    let number = ticket.ticket;
    let outcome = http_edge::block_on(publish(ticket, address, wait))?;
    print_outcome(args::output_format(matches), number, &outcome)?;
    Ok(outcome.exit())
}

/// Outcome of a publish.
enum PublishOutcome {
    /// The ticket was accepted.
    Accepted,
    /// The ticket was published, and rejected.
    Rejected(RejectReason),
    /// The ticket was not published, since the state would reject it.
    NotPublished(RejectReason),
}

impl PublishOutcome {
    fn exit(&self) -> Exit {
        match self {
            Self::Accepted => Exit::Ok,
            Self::Rejected(_) => Exit::Failed,
            Self::NotPublished(reason) => input::rejection_exit(reason),
        }
    }
}

async fn publish(
    ticket: Ticket,
    address: SocketAddr,
    wait: Duration,
) -> Result<PublishOutcome, CliError> {
    let mut reader = LogReader::new(address, Some(wait));
    reader.catch_up().await?;
    let content = content_id(&ticket);
    if is_accepted(reader.state(), &content) {
        return Ok(PublishOutcome::Accepted);
    }
    if let Err(reason) = check_ticket(reader.state(), &ticket) {
        return Ok(PublishOutcome::NotPublished(reason));
    }
    let entry = Entry {
        id: format!("{content}-{:016x}", log_reader::unique_id()).into(),
        at: log_reader::now(),
        record: Record::Ticket(ticket),
    };
    if let Err(AppendError::NotWritten(e)) = reader.follower().log().append(&entry).await {
        return Err(CliError::Failed(format!("nothing was published: {e}")));
    }
    wait_for_verdict(&mut reader, &entry.id).await
}

async fn wait_for_verdict(
    reader: &mut LogReader,
    id: &RecordId,
) -> Result<PublishOutcome, CliError> {
    loop {
        // A repeated append leaves several records with this id; the first one decides.
        let verdict = reader.state().verdicts.iter().find(|v| v.id == *id);
        match verdict.map(|verdict| &verdict.rejected) {
            Some(None) => return Ok(PublishOutcome::Accepted),
            Some(Some(reason)) => return Ok(PublishOutcome::Rejected(reason.clone())),
            None => {}
        }
        if reader.next().await == Step::TimedOut {
            let message = "no verdict in time; the ticket may still come into force";
            return Err(CliError::Failed(message.to_owned()));
        }
    }
}

/// Returns a prefix of record ids that depends only on the ticket's content, so it is the same in
/// each run.
fn content_id(ticket: &Ticket) -> String {
    let text = serde_json::to_string(ticket).expect("a ticket has a JSON form");
    let hash = hash::stable(&[text.as_bytes()]);
    format!("ticket-{}-{hash:016x}", ticket.ticket)
}

fn is_accepted(state: &State, content: &str) -> bool {
    let has_content = |id: &RecordId| {
        let suffix = id.strip_prefix(content);
        suffix.is_some_and(|suffix| suffix.starts_with('-'))
    };
    let mut verdicts = state.verdicts.iter();
    verdicts.any(|verdict| verdict.rejected.is_none() && has_content(&verdict.id))
}

fn print_outcome(format: Format, ticket: u64, outcome: &PublishOutcome) -> Result<(), CliError> {
    let (verdict, reason) = match outcome {
        PublishOutcome::Accepted => (Verdict::Accepted, None),
        PublishOutcome::Rejected(reason) => (Verdict::Rejected, Some(reason)),
        PublishOutcome::NotPublished(reason) => (Verdict::NotPublished, Some(reason)),
    };
    format.print(&VerdictResult {
        ticket,
        verdict,
        reason: reason.map(ToString::to_string),
    })
}
