//! `bronzehead explain`: follows one request, configuration or rollout (`move` on the command
//! line) through the logs of several daemons.

mod lines;
mod timeline;

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
pub use crate::explain::lines::LogLine;
pub use crate::explain::lines::parse_log;
pub use crate::explain::timeline::config_timeline;
pub use crate::explain::timeline::request_timeline;
pub use crate::explain::timeline::rollout_timeline;

const EXAMPLES: &str = "\
Examples:
  bronzehead explain 4dd33c11369e697a logs/*
  bronzehead explain --config 12 logs/*
  bronzehead explain --move bookings logs/*
  collect-logs | bronzehead explain 4dd33c11369e697a -

Each log line is a JSON object, with or without text before it. The last word of that text, or else
the name of the file, names the daemon. Times are those of the daemons' own clocks.

Exit codes: 0 explained, 1 the logs hold nothing about it, 2 bad input.";

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("explain")
        .about("Explains from logs what happened to a request, a configuration or a move")
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
                    "Request id (not with --config or --move), then log files; `-` is standard input",
                ),
        )
}

/// Runs the subcommand.
///
/// # Errors
/// Fails when no log is given, a log cannot be read, or the result cannot be written.
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
        lines.extend(parse_log(log, &read(log)?));
    }
    let timeline = match (config, service) {
        (Some(version), _) => config_timeline(lines, version),
        (None, Some(service)) => rollout_timeline(lines, service),
        (None, None) => request_timeline(lines, subject),
    };
    args::output_format(matches).print(&timeline)?;
    Ok(if timeline.is_empty() {
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
