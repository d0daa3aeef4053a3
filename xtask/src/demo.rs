//! `cargo xtask demo`: the whole system as separate processes, from tickets to answered calls.
//!
//! Starts the stand-ins and a small part of Tanoa, moves one service to a good version, has a bad
//! version of another taken back, stops daemons one by one under load, and checks each promise by
//! counts.

pub mod callers;
pub mod checks;
pub mod scenario;
pub mod summary;
pub mod tickets;
pub mod watcher;

use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::demo::scenario::Keep;
use crate::demo::scenario::Options;
use crate::process::Interrupt;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("demo")
        .about("Runs the whole system with stand-ins and checks its promises by counts")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .help("Seed of all that is random")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .help("Leaves everything running until Ctrl-C")
                .action(ArgAction::SetTrue),
        )
        .after_help("Exit codes: 0 every check held, 1 a check failed or something broke.")
}

/// Runs the demo.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let options = Options {
        seed: *matches.get_one("seed").expect("has a default"),
        keep: keep(matches),
    };
    match Interrupt::register().and_then(|interrupt| scenario::execute(&options, &interrupt)) {
        Ok(line) => {
            println!("demo: ok: {line}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            println!("demo: failed: {e}");
            ExitCode::FAILURE
        }
    }
}

fn keep(matches: &ArgMatches) -> Keep {
    if matches.get_flag("keep") {
        return Keep::UntilInterrupted;
    }
    Keep::No
}
