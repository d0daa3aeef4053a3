//! Why settings were refused.

use std::fmt;
use std::io;

/// Why settings were refused.
#[derive(Debug)]
pub enum SettingsError {
    /// The file could not be read.
    Read {
        /// Name of the file.
        file: String,
        /// What the system said.
        source: io::Error,
    },
    /// The text was refused.
    Invalid(Diagnostic),
}

/// The place of an error and what was expected there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Name of the file.
    pub file: String,
    /// Line in the file, from 1.
    pub line: Option<usize>,
    /// Path of the key, with dots; empty for the file as a whole.
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

/// Takes the place and the key out of the library's error.
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

/// The library puts the key's path, which holds no space, before the message.
fn split_key(text: &str) -> (&str, &str) {
    match text.split_once(": ") {
        Some((key, rest)) if !key.contains(' ') => (key, rest),
        _ => ("", text),
    }
}
