//! `bronzehead status`: shows the state that each daemon holds.

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

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("status")
        .about("Shows offset, ticket, epoch, members and moves of daemons")
        .after_help(EXAMPLES)
        .arg(daemons::arg())
        .arg(args::output())
}

/// Status of one daemon. The text form is a summary line, then a line for each service with its
/// stable version and its rollout, if any.
#[derive(Debug, Serialize)]
struct DaemonStatus(Status);

impl fmt::Display for DaemonStatus {
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
            if let Some(rollout) = &service.rollout {
                let percent = f64::from(rollout.share) / 10.0;
                write!(f, ", moving to {} with {percent}% of the calls", rollout.to)?;
                write!(f, ", ticket {}", rollout.ticket)?;
            }
        }
        Ok(())
    }
}

/// Runs the subcommand.
///
/// # Errors
/// Fails when the results cannot be written. A daemon that does not answer is reported on standard
/// error and in the exit code.
pub fn run(matches: &ArgMatches) -> Result<Exit, CliError> {
    let format = args::output_format(matches);
    let daemons = daemons::addresses(matches);
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
    format.print(&DaemonStatus(status))
}
