//! `bronzehead`, the operators' command line.
//!
//! Each subcommand has a module of its own, which defines its arguments and runs it.

mod args;
mod config;
mod daemons;
mod exit;
mod explain;
mod output;
mod report;
mod settings;
mod status;
mod ticket;

use std::process::ExitCode;

use clap::ArgMatches;
use clap::Command;

use crate::exit::CliError;
use crate::exit::Exit;

fn main() -> ExitCode {
    match run(&command().get_matches()) {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("error: {error}");
            error.exit().into()
        }
    }
}

fn command() -> Command {
    Command::new("bronzehead")
        .about("Publishes change tickets and shows what happened to them")
        .after_help(exit::HELP)
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(ticket::command())
        .subcommand(config::command())
        .subcommand(settings::command())
        .subcommand(status::command())
        .subcommand(report::command())
        .subcommand(explain::command())
}

fn run(matches: &ArgMatches) -> Result<Exit, CliError> {
    match matches.subcommand() {
        Some(("ticket", matches)) => ticket::run(matches),
        Some(("config", matches)) => config::run(matches),
        Some(("settings", matches)) => settings::run(matches),
        Some(("status", matches)) => status::run(matches),
        Some(("report", matches)) => report::run(matches),
        Some(("explain", matches)) => explain::run(matches),
        _ => unreachable!("clap requires a known subcommand"),
    }
}

#[cfg(test)]
mod tests;
