//! `bronzehead status`: what each daemon holds.

use std::fmt;

use clap::ArgMatches;
use clap::Command;
use protocol::status::STATUS_PATH;
use protocol::status::Status;
use serde::Serialize;

use crate::args;
use crate::daemons;
use crate::exit::CliError;
use crate::exit::Exit;
use crate::output::Format;

const EXAMPLES: &str = "\
Examples:
  bronzehead status --daemon 127.0.0.1:7102
  bronzehead status --daemon 127.0.0.1:7102 127.0.0.1:7112 --output json

Exit codes: 0 all daemons answered, 1 one did not, 2 bad input.";

/// Arguments of the subcommand.
pub fn command() -> Command {
    Command::new("status")
        .about("Shows offset, ticket, epoch, members and moves of daemons")
        .after_help(EXAMPLES)
        .arg(daemons::arg())
        .arg(args::output())
}

/// One daemon, in text as one line and its moves.
#[derive(Debug, Serialize)]
struct Shown(Status);

impl fmt::Display for Shown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = &self.0;
        write!(
            f,
            "{} in {}: ticket {}, next offset {}, epoch {} of {}, {} members",
            status.daemon,
            status.zone,
            status.ticket,
            status.next,
            status.epoch,
            status.controller.as_deref().unwrap_or("nobody"),
            status.members.len(),
        )?;
        for (name, service) in &status.state.services {
            write!(f, "\n  {name} on {}", service.stable)?;
            if let Some(moving) = &service.rollout {
                let percent = f64::from(moving.share) / 10.0;
                write!(f, ", moving to {} with {percent}% of the calls", moving.to)?;
                write!(f, ", ticket {}", moving.ticket)?;
            }
        }
        Ok(())
    }
}

/// Runs the subcommand.
///
/// # Errors
/// When the results cannot be written.
pub fn run(matches: &ArgMatches) -> Result<Exit, CliError> {
    let format = args::output_of(matches);
    let daemons = daemons::of(matches);
    http_edge::block_on(async {
        let mut exit = Exit::Ok;
        for daemon in daemons {
            match daemons::get(daemon, STATUS_PATH).await {
                Ok(status) => print(format, status)?,
                Err(e) => {
                    eprintln!("error: {e}");
                    exit = Exit::Failed;
                }
            }
        }
        Ok(exit)
    })
}

fn print(format: Format, status: Status) -> Result<(), CliError> {
    format.print(&Shown(status))
}
