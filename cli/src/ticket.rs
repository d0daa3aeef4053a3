//! `bronzehead ticket`: checks, publishes and follows change tickets.

mod check;
mod input;
mod log_reader;
mod moves;
mod publish;
mod result;
mod watch;

use clap::ArgMatches;
use clap::Command;

use crate::exit::CliError;
use crate::exit::Exit;

/// Defines the subcommand and its own subcommands.
pub fn command() -> Command {
    Command::new("ticket")
        .about("Checks, publishes and follows change tickets")
        .after_help(crate::exit::HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check::command())
        .subcommand(publish::command())
        .subcommand(watch::command())
        .subcommand(moves::command())
}

/// Runs the subcommand.
///
/// # Errors
/// Fails when the input is invalid or the log does not answer.
pub fn run(matches: &ArgMatches) -> Result<Exit, CliError> {
    match matches.subcommand() {
        Some(("check", matches)) => check::run(matches),
        Some(("publish", matches)) => publish::run(matches),
        Some(("watch", matches)) => watch::run(matches),
        Some(("moves", matches)) => moves::run(matches),
        _ => unreachable!("clap requires a known subcommand"),
    }
}
