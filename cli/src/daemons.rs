//! `--daemon ADDR`: the daemons that a subcommand asks.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::value_parser;
use http_edge::Conn;
use http_edge::Limits;
use http_edge::Request;
use serde::de::DeserializeOwned;

use crate::exit::CliError;

const DAEMON: &str = "daemon";

/// Timeout of one request.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Largest answer that is taken, in bytes.
const LIMIT: usize = 16 * 1024 * 1024;

/// `--daemon ADDR`, once for each daemon.
pub fn arg() -> Arg {
    Arg::new(DAEMON)
        .long(DAEMON)
        .value_name("ADDR")
        .value_parser(value_parser!(SocketAddr))
        .action(ArgAction::Append)
        .num_args(1..)
        .required(true)
        .help("Local addresses of daemons (listen.local in their settings)")
}

/// The daemons asked for.
pub fn of(matches: &ArgMatches) -> Vec<SocketAddr> {
    let daemons = matches.get_many(DAEMON);
    daemons.into_iter().flatten().copied().collect()
}

/// Reads a JSON answer of one daemon.
///
/// # Errors
/// When the daemon does not answer, or with something else.
pub async fn get<T: DeserializeOwned>(daemon: SocketAddr, path: &str) -> Result<T, CliError> {
    let limits = Limits {
        max_body_bytes: LIMIT,
        ..Limits::default()
    };
    let mut conn = Conn::connect(daemon, TIMEOUT, limits)
        .await
        .map_err(|e| failed(daemon, e))?;
    let res = conn
        .call(Request::get(path), TIMEOUT)
        .await
        .map_err(|e| failed(daemon, e))?;
    if !res.status.is_success() {
        return Err(failed(daemon, format!("{path} answered {}", res.status)));
    }
    serde_json::from_slice(&res.body).map_err(|e| failed(daemon, format!("{path}: {e}")))
}

fn failed(daemon: SocketAddr, e: impl fmt::Display) -> CliError {
    CliError::Failed(format!("{daemon}: {e}"))
}
