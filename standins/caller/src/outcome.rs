//! Outcome of a call from its caller's view.

use std::time::Duration;

use base::VersionName;
use http::StatusCode;
use http::header::RETRY_AFTER;
use http_edge::CallError;
use http_edge::Response;
use protocol::call::NOT_RUN_HEADER;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use standin_upstream::ResponseBody;

/// Outcome of a call, as the daemon's response or its absence shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A complete response to this call arrived; it came from this version.
    Ok(VersionName),
    /// The call failed with a server error other than 502 and 504.
    Failed,
    /// The call was refused before it ran, with `Retry-After`.
    Refused,
    /// The call was refused before it ran, without `Retry-After`.
    RefusedWithoutRetryAfter,
    /// The daemon answered that the call may have run.
    Unknown,
    /// The connection broke after the call was sent.
    Cut,
    /// No response arrived in time.
    Late,
    /// The response was too large, truncated or altered, or belongs to another call.
    Wrong,
    /// The response has any other status, such as that of a bad request or an unknown route.
    Rejected,
    /// No daemon accepted a connection; nothing was sent.
    Unreachable,
}

/// Record of a call that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Call id that was sent to the daemon.
    pub id: SmolStr,
    /// Outcome from the caller's view.
    pub outcome: Outcome,
    /// Time from the start of the call to its end, in microseconds.
    pub micros: u64,
}

impl CallRecord {
    /// Creates a record; `took` is rounded down to microseconds.
    #[must_use]
    pub fn new(id: SmolStr, outcome: Outcome, took: Duration) -> Self {
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        Self {
            id,
            outcome,
            micros,
        }
    }
}

impl Outcome {
    /// Derives the outcome of the call `id` from its response.
    #[must_use]
    pub fn from_response(res: &Response, id: &str) -> Self {
        if res.header(NOT_RUN_HEADER).is_some() {
            return Self::from_refusal(res);
        }
        match res.status {
            StatusCode::OK => match ResponseBody::verify(&res.body, id) {
                Ok(verified) => Self::Ok(verified.version),
                Err(e) => {
                    log::warn!("caller: invalid response to call {id}: {e}");
                    Self::Wrong
                }
            },
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => Self::Unknown,
            status if status.is_server_error() => Self::Failed,
            _ => Self::Rejected,
        }
    }

    fn from_refusal(res: &Response) -> Self {
        match res.header(RETRY_AFTER.as_str()) {
            Some(_) => Self::Refused,
            None => Self::RefusedWithoutRetryAfter,
        }
    }

    /// Derives the outcome of a call whose response could not be read completely.
    #[must_use]
    pub fn from_error(e: &CallError) -> Self {
        match e {
            CallError::Broken(_) => Self::Cut,
            CallError::TooLarge => Self::Wrong,
            CallError::TimedOut => Self::Late,
        }
    }
}
