//! Errors of the workspace tasks.

use std::fmt;
use std::io;

/// Reason why a task stopped early.
#[derive(Debug)]
pub enum TaskError {
    /// The operator interrupted the task with a signal.
    Interrupted,
    /// An I/O operation failed; holds the path, program or operation.
    Io(String, io::Error),
    /// A condition was not met within its timeout; holds the condition.
    TimedOut(String),
    /// A program, process or request failed; holds the reason.
    Failed(String),
    /// Checks failed; holds their names and counts.
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

/// Result whose error ends the task.
pub type Result<T> = std::result::Result<T, TaskError>;
