//! Arguments that several subcommands share.

use std::net::SocketAddr;
use std::time::Duration;

use base::units::parse_duration;
use clap::Arg;
use clap::ArgMatches;
use clap::value_parser;

use crate::output::Format;

const LOG: &str = "log";
const OUTPUT: &str = "output";
const WAIT: &str = "wait";

/// Defines `--log ADDR`, the address of the platform's log.
pub fn log() -> Arg {
    Arg::new(LOG)
        .long(LOG)
        .value_name("ADDR")
        .value_parser(value_parser!(SocketAddr))
        .help("Address of the platform's log, such as 127.0.0.1:7400")
}

/// Returns the value of `--log`, if given.
pub fn log_address(matches: &ArgMatches) -> Option<SocketAddr> {
    matches.get_one(LOG).copied()
}

/// Defines `--output FORMAT`: text for people or JSON for scripts.
pub fn output() -> Arg {
    Arg::new(OUTPUT)
        .long(OUTPUT)
        .value_name("FORMAT")
        .value_parser(["text", "json"])
        .default_value("text")
        .help("Text for people or JSON, one object a line, for scripts")
}

/// Returns the value of `--output`.
pub fn output_format(matches: &ArgMatches) -> Format {
    match matches.get_one::<String>(OUTPUT).map(String::as_str) {
        Some("json") => Format::Json,
        _ => Format::Text,
    }
}

/// Defines `--wait DURATION`, the time after which a command stops waiting. The caller adds the
/// help text.
pub fn wait() -> Arg {
    Arg::new(WAIT)
        .long(WAIT)
        .value_name("DURATION")
        .value_parser(|text: &str| parse_duration(text))
}

/// Returns the value of `--wait`, if given.
pub fn wait_duration(matches: &ArgMatches) -> Option<Duration> {
    matches.get_one(WAIT).copied()
}
