//! `bronzehead explain`: the way of one request, configuration or move through the logs of several
//! daemons.

mod lines;
mod story;

use std::fs;
use std::io::Read;

use clap::Arg;
use clap::ArgGroup;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::args;
use crate::exit::CliError;
use crate::exit::Exit;

#[cfg(test)]
pub use crate::explain::lines::Line;
pub use crate::explain::lines::parse;
pub use crate::explain::story::of_config;
pub use crate::explain::story::of_move;
pub use crate::explain::story::of_request;

const EXAMPLES: &str = "\
Examples:
  bronzehead explain 4dd33c11369e697a logs/*
  bronzehead explain --config 12 logs/*
  bronzehead explain --move bookings logs/*
  collect-logs | bronzehead explain 4dd33c11369e697a -

A line of a log is a JSON object, with or without text before it. The last word before it, or else the
name of the file, names the daemon. Times are those of the daemons' own clocks.

Exit codes: 0 explained, 1 the logs hold nothing about it, 2 bad input.";

/// Arguments of the subcommand.
pub fn command() -> Command {
    Command::new("explain")
        .about("Tells from logs what became of a request, a configuration or a move")
        .after_help(EXAMPLES)
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("NUMBER")
                .value_parser(value_parser!(u64))
                .help("Configuration to follow"),
        )
        .arg(
            Arg::new("move")
                .long("move")
                .value_name("SERVICE")
                .help("Service whose moves to follow"),
        )
        .group(ArgGroup::new("other").args(["config", "move"]))
        .arg(args::output())
        .arg(
            Arg::new("rest")
                .value_name("REQUEST-ID LOG")
                .num_args(1..)
                .required(true)
                .help(
                    "Id of a request, unless another subject is given, and logs; `-` is the input",
                ),
        )
}

/// Runs the subcommand.
///
/// # Errors
/// When a log cannot be read, or the result cannot be written.
pub fn run(matches: &ArgMatches) -> Result<Exit, CliError> {
    let rest: Vec<&String> = matches.get_many("rest").unwrap_or_default().collect();
    let config: Option<u64> = matches.get_one("config").copied();
    let service: Option<&String> = matches.get_one("move");
    let (subject, logs) = match (config, service) {
        (None, None) => rest
            .split_first()
            .map_or(("", &[][..]), |(id, logs)| (id.as_str(), logs)),
        _ => ("", &rest[..]),
    };
    if logs.is_empty() {
        let text = "expected the logs of at least one daemon after the id of the request";
        return Err(CliError::Input(text.to_owned()));
    }
    let mut lines = Vec::new();
    for log in logs {
        lines.extend(parse(log, &read(log)?));
    }
    let story = match (config, service) {
        (Some(version), _) => of_config(lines, version),
        (None, Some(service)) => of_move(lines, service),
        (None, None) => of_request(lines, subject),
    };
    args::output_of(matches).print(&story)?;
    Ok(if story.is_empty() {
        Exit::Failed
    } else {
        Exit::Ok
    })
}

fn read(path: &str) -> Result<String, CliError> {
    let read = |e: std::io::Error| CliError::Input(format!("{path}: {e}"));
    let mut bytes = Vec::new();
    if path == "-" {
        std::io::stdin().read_to_end(&mut bytes).map_err(read)?;
    } else {
        bytes = fs::read(path).map_err(read)?;
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
