//! The `--daemon ADDR` argument, and HTTP requests to the daemons that it names.

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

/// Timeout of one connection attempt or request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest response body that is accepted, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Defines `--daemon ADDR...`, which is required and takes one or more addresses.
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

/// Returns the addresses given with `--daemon`, in the order given.
pub fn addresses(matches: &ArgMatches) -> Vec<SocketAddr> {
    let daemons = matches.get_many(DAEMON);
    daemons.into_iter().flatten().copied().collect()
}

/// Requests `path` from one daemon and parses the JSON response.
///
/// # Errors
/// Fails when the daemon does not answer in time, answers with a status other than success, or
/// sends a body that does not parse as `T`.
pub async fn get<T: DeserializeOwned>(daemon: SocketAddr, path: &str) -> Result<T, CliError> {
    let limits = Limits {
        max_body_bytes: MAX_BODY_BYTES,
        ..Limits::default()
    };
    let mut conn = Conn::connect(daemon, REQUEST_TIMEOUT, limits)
        .await
        .map_err(|e| request_error(daemon, e))?;
    let res = conn
        .call(Request::get(path), REQUEST_TIMEOUT)
        .await
        .map_err(|e| request_error(daemon, e))?;
    if !res.status.is_success() {
        return Err(request_error(
            daemon,
            format!("{path} answered {}", res.status),
        ));
    }
    serde_json::from_slice(&res.body).map_err(|e| request_error(daemon, format!("{path}: {e}")))
}

fn request_error(daemon: SocketAddr, e: impl fmt::Display) -> CliError {
    CliError::Failed(format!("{daemon}: {e}"))
}
