//! Reading of a ticket from YAML, with errors that say where.

use std::fmt;

use smol_str::SmolStr;

use crate::ticket::RangeError;
use crate::ticket::Ticket;

/// Why a text is no ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketError {
    /// The text is no YAML, or a key or value has the wrong shape.
    Shape {
        /// Line, counted from 1, where the parser knows it.
        line: Option<usize>,
        /// The key and what was expected there.
        message: String,
    },
    /// A value lies outside its range.
    Range {
        /// Line, counted from 1, where the key was found.
        line: Option<usize>,
        /// The key and what was expected there.
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

/// Reads a ticket and checks its ranges.
///
/// # Errors
/// The first thing that does not fit, with its line and key.
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
    // The parser puts its position last; the line already stands in front.
    let message = match text.rfind(" at line ") {
        Some(end) => text[..end].to_owned(),
        None => text,
    };
    TicketError::Shape { line, message }
}

/// Finds the line of a path of keys in block-style YAML: each key below the one before it.
fn find_line(text: &str, path: &[SmolStr]) -> Option<usize> {
    let mut found = None;
    let mut lines = text.lines().zip(1..);
    for key in path {
        let key = key.trim_matches('`');
        let line = lines.find(|(line, _)| key_of(line) == Some(key));
        match line {
            Some((_, number)) => found = Some(number),
            None => break,
        }
    }
    found
}

fn key_of(line: &str) -> Option<&str> {
    let (key, _) = line.trim_start().split_once(':')?;
    Some(key.trim_matches(['"', '\'']))
}
