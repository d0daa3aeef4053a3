//! Errors of the log client.

use std::fmt;
use std::time::Duration;

use base::Offset;
use base::units::format_duration;
use http_edge::CallError;
use http_edge::ConnectError;

/// Why the log gave no answer that can be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogError {
    /// It cannot be reached or says that it is out.
    Unavailable(String),
    /// It did not answer in time.
    Timeout,
    /// The records asked for have expired.
    Expired {
        /// Offset of the oldest record left.
        oldest: Offset,
        /// Offset that the next record will get.
        next: Offset,
    },
    /// The log ends before the offset asked for: it has lost records.
    RecordsLost {
        /// Offset that the next record will get.
        next: Offset,
    },
    /// Appends come too fast.
    Throttled(Duration),
    /// The answer is not one of this protocol.
    InvalidResponse(String),
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(reason) => write!(f, "log is down: {reason}"),
            Self::Timeout => f.write_str("log did not answer in time"),
            Self::Expired { oldest, .. } => {
                write!(f, "records have expired, the oldest left is {oldest}")
            }
            Self::RecordsLost { next } => write!(f, "log lost records and ends at {next}"),
            Self::Throttled(after) => {
                let after = format_duration(*after);
                write!(f, "log refuses appends for {after}")
            }
            Self::InvalidResponse(reason) => write!(f, "log answered wrongly: {reason}"),
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

/// Why an append was given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendError {
    /// No attempt reached the log: the record is not in it.
    NotWritten(LogError),
    /// An attempt may have reached the log. Another append of the same entry does no harm.
    OutcomeUnknown(LogError),
}

impl fmt::Display for AppendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotWritten(e) => write!(f, "not written: {e}"),
            Self::OutcomeUnknown(e) => write!(f, "not known whether it was written: {e}"),
        }
    }
}

impl std::error::Error for AppendError {}
