//! Why a task did not come to its end.

use std::fmt;
use std::io;

/// Why a task did not come to its end.
#[derive(Debug)]
pub enum TaskError {
    /// The operator asked to end.
    Interrupted,
    /// The system refused something; holds what.
    Io(String, io::Error),
    /// Something did not happen in time.
    TimedOut(String),
    /// A program or a process did not do its part.
    Failed(String),
    /// These checks did not hold.
    ChecksFailed(Vec<String>),
}

impl fmt::Display for TaskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Interrupted => f.write_str("interrupted"),
            Self::Io(what, e) => write!(f, "{what}: {e}"),
            Self::TimedOut(what) => write!(f, "timed out: {what}"),
            Self::Failed(what) => f.write_str(what),
            Self::ChecksFailed(names) => write!(f, "did not hold: {}", names.join("; ")),
        }
    }
}

impl std::error::Error for TaskError {}

/// Result of a part of a task.
pub type Result<T> = std::result::Result<T, TaskError>;
