//! Prints results to standard output, as text or as JSON.

use std::fmt;
use std::io::Write;

use serde::Serialize;

use crate::exit::CliError;

/// Output format of results, from `--output`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    Text,
    /// One JSON object per line, for scripts.
    Json,
}

impl Format {
    /// Prints one result with a final newline and flushes standard output.
    ///
    /// # Errors
    /// Fails when the result cannot be serialized or standard output is closed.
    pub fn print(self, result: &(impl fmt::Display + Serialize)) -> Result<(), CliError> {
        let line = match self {
            Self::Text => result.to_string(),
            Self::Json => to_json(result)?,
        };
        let mut out = std::io::stdout().lock();
        writeln!(out, "{line}")
            .and_then(|()| out.flush())
            .map_err(|e| CliError::Failed(format!("cannot write the result: {e}")))
    }
}

fn to_json(result: &impl Serialize) -> Result<String, CliError> {
    serde_json::to_string(result).map_err(|e| CliError::Failed(e.to_string()))
}
