//! Parser for tickets in YAML; errors carry the line and the key.

use std::fmt;

use smol_str::SmolStr;

use crate::ticket::RangeError;
use crate::ticket::Ticket;

/// Why a text cannot be parsed as a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketError {
    /// The text is not YAML, or a key is unknown, missing or of the wrong type.
    Shape {
        /// 1-based line, if the parser reports one.
        line: Option<usize>,
        /// The parser's message, with the key and what was expected.
        message: String,
    },
    /// The ticket has the right structure but fails validation.
    Range {
        /// 1-based line of the key, if it was found.
        line: Option<usize>,
        /// Key and allowed values.
        error: RangeError,
    },
}

impl fmt::Display for TicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (Self::Shape { line, .. } | Self::Range { line, .. }) = self;
        if let Some(line) = line {
            write!(f, "line {line}: ")?;
        }
        match self {
            Self::Shape { message, .. } => f.write_str(message),
            Self::Range { error, .. } => error.fmt(f),
        }
    }
}

impl std::error::Error for TicketError {}

/// Parses a ticket from YAML and validates it.
///
/// # Errors
/// Returns the first fault, with its line and key.
pub fn parse_ticket(text: &str) -> Result<Ticket, TicketError> {
    let ticket: Ticket = serde_yaml_ng::from_str(text).map_err(|error| shape_error(&error))?;
    ticket.check().map_err(|error| TicketError::Range {
        line: find_line(text, error.key()),
        error,
    })?;
    Ok(ticket)
}

fn shape_error(error: &serde_yaml_ng::Error) -> TicketError {
    let line = error.location().map(|location| location.line());
    let text = error.to_string();
    // The parser appends the position, which `Display` already puts in front.
    let message = match text.rfind(" at line ") {
        Some(end) => text[..end].to_owned(),
        None => text,
    };
    TicketError::Shape { line, message }
}

/// Finds the line of a path of keys in block-style YAML, where each key follows its parent.
///
/// Returns the line of the last key that it finds.
fn find_line(text: &str, path: &[SmolStr]) -> Option<usize> {
    let mut found = None;
    let mut lines = text.lines().zip(1..);
    for key in path {
        // Errors about a malformed name or prefix quote it in backticks.
        let key = key.trim_matches('`');
        let line = lines.find(|(line, _)| key_of(line) == Some(key));
        match line {
            Some((_, line_number)) => found = Some(line_number),
            None => break,
        }
    }
    found
}

fn key_of(line: &str) -> Option<&str> {
    let (key, _) = line.trim_start().split_once(':')?;
    Some(key.trim_matches(['"', '\'']))
}
