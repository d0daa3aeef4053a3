//! Parses the structured log lines of daemons.

use std::path::Path;

use serde_json::Map;
use serde_json::Value;

/// One structured log line.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Daemon that wrote the line.
    pub daemon: String,
    /// Time by the daemon's clock, in Unix milliseconds.
    pub at_ms: u64,
    /// Name of the event.
    pub event: String,
    /// All other fields.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Returns a string field; empty when it is missing or not a string.
    pub fn str_field(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Returns an unsigned integer field; `None` when it is missing or of another type.
    pub fn u64_field(&self, field: &str) -> Option<u64> {
        self.fields.get(field).and_then(Value::as_u64)
    }

    /// Formats a field for people; a question mark when it is missing.
    pub fn display_field(&self, field: &str) -> String {
        match self.fields.get(field) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => "?".to_owned(),
        }
    }

    /// Returns whether a field is this daemon's name or a list that contains it.
    pub fn mentions(&self, field: &str, daemon: &str) -> bool {
        match self.fields.get(field) {
            Some(Value::String(name)) => name == daemon,
            Some(Value::Array(names)) => names.iter().any(|name| name == daemon),
            _ => false,
        }
    }
}

/// Parses the lines of a log. Skips every line that is not a structured line of a daemon:
/// collectors add text, and a killed process leaves a truncated line.
pub fn parse_log(path: &str, text: &str) -> Vec<LogLine> {
    let file = Path::new(path).file_stem().unwrap_or_default();
    let file = file.to_string_lossy();
    text.lines()
        .filter_map(|line| parse_line(&file, line))
        .collect()
}

fn parse_line(file: &str, line: &str) -> Option<LogLine> {
    let (before, json) = line.split_at(line.find('{')?);
    let Ok(Value::Object(mut fields)) = serde_json::from_str(json) else {
        return None;
    };
    let event = fields.remove("event")?.as_str()?.to_owned();
    let at_ms = fields.remove("at_ms")?.as_u64()?;
    let daemon = before.split_whitespace().last().unwrap_or(file);
    Some(LogLine {
        daemon: daemon.to_owned(),
        at_ms,
        event,
        fields,
    })
}
