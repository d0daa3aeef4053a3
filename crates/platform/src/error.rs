//! Errors of the log client.

use std::fmt;
use std::time::Duration;

use base::Offset;
use base::units::format_duration;
use http_edge::CallError;
use http_edge::ConnectError;

/// Why a request to the log failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogError {
    /// The log cannot be reached, broke the connection or returned a 5xx status.
    Unavailable(String),
    /// The connection or the response did not come within its timeout.
    Timeout,
    /// The requested records have expired.
    Expired {
        /// Offset of the oldest record that has not expired.
        oldest: Offset,
        /// Offset of the next record to be appended.
        next: Offset,
    },
    /// The log ends before the requested offset, so it has lost records.
    RecordsLost {
        /// Offset of the next record to be appended.
        next: Offset,
    },
    /// Appends exceed the allowed rate; the log asks to wait this long.
    Throttled(Duration),
    /// The response does not follow the protocol.
    InvalidResponse(String),
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(reason) => write!(f, "log is down: {reason}"),
            Self::Timeout => f.write_str("log did not answer in time"),
            Self::Expired { oldest, .. } => {
                write!(
                    f,
                    "records have expired, the oldest remaining offset is {oldest}"
                )
            }
            Self::RecordsLost { next } => {
                write!(f, "log lost records, its next offset is {next}")
            }
            Self::Throttled(after) => {
                let after = format_duration(*after);
                write!(f, "log throttles appends, retry after {after}")
            }
            Self::InvalidResponse(reason) => write!(f, "invalid response from the log: {reason}"),
        }
    }
}

impl std::error::Error for LogError {}

impl From<ConnectError> for LogError {
    fn from(e: ConnectError) -> Self {
        match e {
            ConnectError::Io(_) => Self::Unavailable(e.to_string()),
            ConnectError::TimedOut => Self::Timeout,
        }
    }
}

impl From<CallError> for LogError {
    fn from(e: CallError) -> Self {
        match e {
            CallError::Broken(_) => Self::Unavailable(e.to_string()),
            CallError::TooLarge => Self::InvalidResponse(e.to_string()),
            CallError::TimedOut => Self::Timeout,
        }
    }
}

/// Why an append failed, after all its attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendError {
    /// Each attempt failed before it was sent or was refused by the log: the record is not in it.
    NotWritten(LogError),
    /// An attempt was sent and got no response, so the record may be in the log. Appending the
    /// same entry again is safe, since readers recognize duplicates.
    OutcomeUnknown(LogError),
}

impl fmt::Display for AppendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotWritten(e) => write!(f, "record was not written: {e}"),
            Self::OutcomeUnknown(e) => write!(f, "unknown whether the record was written: {e}"),
        }
    }
}

impl std::error::Error for AppendError {}
