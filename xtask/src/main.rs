//! Workspace tasks, run as `cargo xtask test`, `tidy`, `demo`, `bench` or `soak`.

mod bench;
mod client;
mod demo;
mod error;
mod fleet;
mod process;
mod soak;
mod table;
mod test;
mod tidy;
mod workspace;

use std::process::ExitCode;

use clap::Command;

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("test", _)) => test::run(),
        Some(("tidy", _)) => tidy::run(),
        Some(("demo", matches)) => demo::run(matches),
        Some(("bench", matches)) => bench::run(matches),
        Some(("soak", matches)) => soak::run(matches),
        _ => unreachable!("clap requires a known subcommand"),
    }
}

fn command() -> Command {
    Command::new("xtask")
        .bin_name("cargo xtask")
        .about("Workspace tasks")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("test")
                .about("Runs rustfmt, Clippy, tidy, all tests and a short soak run")
                .after_help(
                    "Tests listed in KNOWN-RED.txt run and are printed, but their failures do \
                     not fail the run.\nExit codes: 0 all passed, 1 a check or a test failed.",
                ),
        )
        .subcommand(demo::command())
        .subcommand(bench::command())
        .subcommand(soak::command())
        .subcommand(
            Command::new("tidy")
                .about("Checks imports, module comments and sizes of all source files"),
        )
}

#[cfg(test)]
mod tests;
