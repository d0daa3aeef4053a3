//! Exit codes and the errors that lead to them.

use std::fmt;
use std::process::ExitCode;

/// Help text on the exit codes.
pub const HELP: &str = "Exit codes: 0 ok, 1 refused or failed, 2 bad input.";

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// What was asked for holds.
    Ok,
    /// It was refused, or it failed.
    Failed,
    /// The input is wrong.
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

/// Why a command has no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CliError {
    /// The input is wrong; says where and what was expected.
    Input(String),
    /// Something that the command needs failed.
    Failed(String),
}

impl CliError {
    /// The exit code that fits.
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
