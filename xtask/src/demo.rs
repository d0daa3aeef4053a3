//! `cargo xtask demo`: an end-to-end run of the whole system as separate processes.
//!
//! Starts the stand-ins and a small part of Tanoa, rolls out a good version of one service, waits
//! for the rollback of a bad version of another, restarts daemons one by one under load, and checks
//! each guarantee by counts.

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

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    Command::new("demo")
        .about("Runs the whole system with stand-ins and checks its guarantees by counts")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .help("Seed of all random choices")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .help("Leaves all processes running until Ctrl-C")
                .action(ArgAction::SetTrue),
        )
        .after_help("Exit codes: 0 all checks passed, 1 a check or the run failed.")
}

/// Runs the demo and prints its result line.
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
