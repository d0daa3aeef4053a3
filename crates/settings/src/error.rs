//! Errors of loading settings.

use std::fmt;
use std::io;

/// Error of reading, parsing or checking settings.
#[derive(Debug)]
pub enum SettingsError {
    /// The file could not be read.
    Read {
        /// Name of the file.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The text is not valid YAML, or a key or value is invalid.
    Invalid(Diagnostic),
}

/// Location and description of an error in the settings; displays as `file:line: key: message`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Name of the file, as given to [`Settings::parse`](crate::Settings::parse).
    pub file: String,
    /// Line in the file, counted from 1; `None` if unknown.
    pub line: Option<usize>,
    /// Dotted path of the key, such as `timing.lease`; empty if the error concerns no single key.
    pub key: String,
    /// What is wrong and what was expected.
    pub message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read { file, source } => write!(f, "{file}: cannot be read: {source}"),
            Self::Invalid(diagnostic) => diagnostic.fmt(f),
        }
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for SettingsError {}

/// Converts an error of the YAML library, whose text holds the key and the location.
pub(crate) fn from_yaml(error: &serde_yaml_ng::Error, file: &str) -> SettingsError {
    let line = error.location().map(|location| location.line());
    let text = error.to_string();
    let text = match text.rfind(" at line ") {
        Some(end) => &text[..end],
        None => &text,
    };
    let (key, message) = split_key(text);
    SettingsError::Invalid(Diagnostic {
        file: file.to_owned(),
        line,
        key: key.to_owned(),
        message: message.to_owned(),
    })
}

/// Splits the key from the message: the library puts the key's path, which has no spaces, first.
fn split_key(text: &str) -> (&str, &str) {
    match text.split_once(": ") {
        Some((key, rest)) if !key.contains(' ') => (key, rest),
        _ => ("", text),
    }
}
