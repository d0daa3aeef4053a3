//! Lines of daemons' logs.

use std::path::Path;

use serde_json::Map;
use serde_json::Value;

/// One line that could be read.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Daemon that wrote it.
    pub daemon: String,
    /// Unix milliseconds of the daemon's clock.
    pub at_ms: u64,
    /// What happened.
    pub event: String,
    /// All other fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// A field as text; nothing where it is missing or no text.
    pub fn text(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// A field as a number.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field).and_then(Value::as_u64)
    }

    /// A field for people; a question mark where it is missing.
    pub fn shown(&self, field: &str) -> String {
        match self.fields.get(field) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => "?".to_owned(),
        }
    }

    /// Whether a field names this daemon, alone or in a list.
    pub fn names(&self, field: &str, daemon: &str) -> bool {
        match self.fields.get(field) {
            Some(Value::String(name)) => name == daemon,
            Some(Value::Array(names)) => names.iter().any(|name| name == daemon),
            _ => false,
        }
    }
}

/// The lines of a log. What is no line of a daemon is passed over, since collectors add text and a
/// process that is killed leaves half a line.
pub fn parse(path: &str, text: &str) -> Vec<Line> {
    let file = Path::new(path).file_stem().unwrap_or_default();
    let file = file.to_string_lossy();
    text.lines()
        .filter_map(|line| parse_line(&file, line))
        .collect()
}

fn parse_line(file: &str, line: &str) -> Option<Line> {
    let (before, json) = line.split_at(line.find('{')?);
    let Ok(Value::Object(mut fields)) = serde_json::from_str(json) else {
        return None;
    };
    let event = fields.remove("event")?.as_str()?.to_owned();
    let at_ms = fields.remove("at_ms")?.as_u64()?;
    let daemon = before.split_whitespace().last().unwrap_or(file);
    Some(Line {
        daemon: daemon.to_owned(),
        at_ms,
        event,
        fields,
    })
}
