//! Exit codes, and the errors that map to them.

use std::fmt;
use std::process::ExitCode;

/// Help text that lists the exit codes.
pub const HELP: &str = "Exit codes: 0 ok, 1 refused or failed, 2 bad input.";

/// Result of a command, shown as the exit code of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded; exit code 0.
    Ok,
    /// The request was refused, or the command failed; exit code 1.
    Failed,
    /// The arguments or an input file are invalid; exit code 2.
    BadInput,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Ok => Self::SUCCESS,
            Exit::Failed => Self::from(1),
            Exit::BadInput => Self::from(2),
        }
    }
}

/// Error that ends a command without a result; the text is the message on standard error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CliError {
    /// The input is invalid; the message says where and what was expected.
    Input(String),
    /// A server or file that the command needs failed.
    Failed(String),
}

impl CliError {
    /// Returns the exit code for this error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Input(_) => Exit::BadInput,
            Self::Failed(_) => Exit::Failed,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Input(message) | Self::Failed(message) => f.write_str(message),
        }
    }
}
