//! What became of one call, as its caller sees it.

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

/// What became of one call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer to this call came, from this version.
    Ok(VersionName),
    /// The upstream failed.
    Failed,
    /// It was refused as not run, with a time to come back.
    Refused,
    /// It was refused as not run, without a time to come back.
    RefusedWithoutRetryAfter,
    /// The daemon said that nobody knows whether it ran.
    Unknown,
    /// The connection broke after the call was sent.
    Cut,
    /// No answer came in time.
    Late,
    /// The answer was cut short or one to another call.
    Wrong,
    /// Something else was wrong with it: the request was refused as bad or had no route.
    Rejected,
    /// No daemon could be reached; nothing was sent.
    Unreachable,
}

/// One call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Its id.
    pub id: SmolStr,
    /// What became of it.
    pub outcome: Outcome,
    /// Time from its start to its end, in microseconds.
    pub micros: u64,
}

impl CallRecord {
    /// A call that took this long.
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
    /// Reads the outcome of call `id` from its response.
    #[must_use]
    pub fn of_response(res: &Response, id: &str) -> Self {
        if res.header(NOT_RUN_HEADER).is_some() {
            return Self::of_refusal(res);
        }
        match res.status {
            StatusCode::OK => match ResponseBody::verify(&res.body, id) {
                Ok(answer) => Self::Ok(answer.version),
                Err(e) => {
                    log::warn!("caller: wrong answer to {id}: {e}");
                    Self::Wrong
                }
            },
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => Self::Unknown,
            status if status.is_server_error() => Self::Failed,
            _ => Self::Rejected,
        }
    }

    fn of_refusal(res: &Response) -> Self {
        match res.header(RETRY_AFTER.as_str()) {
            Some(_) => Self::Refused,
            None => Self::RefusedWithoutRetryAfter,
        }
    }

    /// Reads the outcome of a call without a whole response.
    #[must_use]
    pub fn of_error(e: &CallError) -> Self {
        match e {
            CallError::Broken(_) => Self::Cut,
            CallError::TooLarge => Self::Wrong,
            CallError::TimedOut => Self::Late,
        }
    }
}
