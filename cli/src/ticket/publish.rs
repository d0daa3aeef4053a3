//! `bronzehead ticket publish`: appends a ticket and waits for its verdict.
//!
//! The id of the record holds a hash of the ticket, so a command that is run again after its
//! answer was lost finds the verdict of the first run.

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
use crate::ticket::fold;
use crate::ticket::fold::Fold;
use crate::ticket::fold::Step;
use crate::ticket::input;
use crate::ticket::result::Verdict;
use crate::ticket::result::VerdictResult;

/// Wait for the verdict where none is asked for.
const DEFAULT_WAIT: Duration = Duration::from_secs(30);

const EXAMPLES: &str = "\
Examples:
  bronzehead ticket publish ticket.yaml --log 127.0.0.1:7400
  bronzehead ticket publish ticket.yaml --log 127.0.0.1:7400 --wait 2m --output json

A ticket that would be rejected is not published. When the verdict does not come in time the
ticket may still come into force; the same command again finds out and does no harm.

Exit codes: 0 accepted, 1 rejected or no verdict in time, 2 the ticket is wrong.";

/// Arguments of the subcommand.
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
/// When the file is no ticket, or no verdict came in time.
pub fn run(matches: &ArgMatches) -> Result<Exit, CliError> {
    let ticket = input::read(matches)?;
    let address = args::log_of(matches).expect("clap requires the address");
    let wait = args::wait_of(matches).unwrap_or(DEFAULT_WAIT);
    let number = ticket.ticket;
    let end = http_edge::block_on(publish(ticket, address, wait))?;
    print(args::output_of(matches), number, &end)?;
    Ok(end.exit())
}

/// How publishing ended.
enum End {
    /// The ticket is in force.
    Accepted,
    /// The ticket was rejected.
    Rejected(RejectReason),
    /// The ticket would have been rejected.
    NotPublished(RejectReason),
}

impl End {
    fn exit(&self) -> Exit {
        match self {
            Self::Accepted => Exit::Ok,
            Self::Rejected(_) => Exit::Failed,
            Self::NotPublished(reason) => input::exit_of(reason),
        }
    }
}

async fn publish(ticket: Ticket, address: SocketAddr, wait: Duration) -> Result<End, CliError> {
    let mut fold = Fold::new(address, Some(wait));
    fold.catch_up().await?;
    let content = content_id(&ticket);
    if is_accepted(fold.state(), &content) {
        return Ok(End::Accepted);
    }
    if let Err(reason) = check_ticket(fold.state(), &ticket) {
        return Ok(End::NotPublished(reason));
    }
    let entry = Entry {
        id: format!("{content}-{:016x}", fold::unique()).into(),
        at: fold::now(),
        record: Record::Ticket(ticket),
    };
    if let Err(AppendError::NotWritten(e)) = fold.follower().log().append(&entry).await {
        return Err(CliError::Failed(format!("nothing was published: {e}")));
    }
    verdict(&mut fold, &entry.id).await
}

async fn verdict(fold: &mut Fold, id: &RecordId) -> Result<End, CliError> {
    loop {
        // The first copy decides, should the append have been repeated.
        let verdict = fold.state().verdicts.iter().find(|v| v.id == *id);
        match verdict.map(|verdict| &verdict.rejected) {
            Some(None) => return Ok(End::Accepted),
            Some(Some(reason)) => return Ok(End::Rejected(reason.clone())),
            None => {}
        }
        if fold.next().await == Step::TimeUp {
            let message = "no verdict in time; the ticket may still come into force";
            return Err(CliError::Failed(message.to_owned()));
        }
    }
}

/// Name of the ticket's content, the same in each run.
fn content_id(ticket: &Ticket) -> String {
    let text = serde_json::to_string(ticket).expect("a ticket has a JSON form");
    let hash = hash::stable(&[text.as_bytes()]);
    format!("ticket-{}-{hash:016x}", ticket.ticket)
}

fn is_accepted(state: &State, content: &str) -> bool {
    let is_same = |id: &RecordId| {
        let rest = id.strip_prefix(content);
        rest.is_some_and(|rest| rest.starts_with('-'))
    };
    let mut verdicts = state.verdicts.iter();
    verdicts.any(|verdict| verdict.rejected.is_none() && is_same(&verdict.id))
}

fn print(format: Format, ticket: u64, end: &End) -> Result<(), CliError> {
    let (verdict, reason) = match end {
        End::Accepted => (Verdict::Accepted, None),
        End::Rejected(reason) => (Verdict::Rejected, Some(reason)),
        End::NotPublished(reason) => (Verdict::NotPublished, Some(reason)),
    };
    format.print(&VerdictResult {
        ticket,
        verdict,
        reason: reason.map(ToString::to_string),
    })
}
