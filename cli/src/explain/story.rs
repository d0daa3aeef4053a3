//! The lines that belong to one subject, in order, and what they come to.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use serde::Serializer;
use serde::ser::SerializeStruct;
use serde_json::Value;

use crate::explain::lines::Line;

/// Time before and after the lines of a request in which changes of belief are shown, in
/// milliseconds: heartbeats and gossip take up to this long to be missed.
const CONTEXT_MS: u64 = 3000;

/// Changes of belief that explain what a daemon did with a request.
const CONTEXT: [&str; 12] = [
    "config-adopted",
    "daemon-silent",
    "instance-changed",
    "instance-fails",
    "instance-left",
    "instance-unreachable",
    "log-lines-left-out",
    "move-decided",
    "started",
    "stopping",
    "store-lost",
    "store-regained",
];

/// Events that end a request where the client asked.
const ENDS: [&str; 7] = [
    "answered",
    "refused",
    "outcome-unknown",
    "timed-out",
    "no-route",
    "no-configuration",
    "request-unreadable",
];

/// What the logs hold about a subject.
#[derive(Debug, Clone, PartialEq)]
pub struct Story {
    lines: Vec<Line>,
    end: String,
}

impl Story {
    /// Whether the logs hold nothing about the subject.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

/// The way of a request, with the calls that its run made and what the daemons on its way believed.
pub fn of_request(mut lines: Vec<Line>, id: &str) -> Story {
    lines.sort_by_key(|line| line.at_ms);
    let is_own = |line: &Line| {
        let request = line.text("request");
        let call = request.strip_prefix(id);
        call.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    };
    let own: Vec<&Line> = lines.iter().filter(|line| is_own(line)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        let end = "no line: the request was answered as usual beyond the lines of a second, was left \
                   out of the log, or never reached these daemons";
        return Story {
            lines: Vec::new(),
            end: end.to_owned(),
        };
    };
    let span = first.at_ms.saturating_sub(CONTEXT_MS)..=last.at_ms + CONTEXT_MS;
    let is_near = |line: &Line| {
        let is_on_way = own.iter().any(|own| {
            own.daemon == line.daemon
                || own.names("daemon", &line.daemon)
                || own.names("tried", &line.daemon)
        });
        is_on_way && span.contains(&line.at_ms) && CONTEXT.contains(&line.event.as_str())
    };
    let end = own
        .iter()
        .rfind(|line| line.text("request") == id && ENDS.contains(&line.event.as_str()))
        .map_or_else(
            || "no line tells the end".to_owned(),
            |line| describe_end(line, &own),
        );
    let kept = lines.iter().filter(|line| is_own(line) || is_near(line));
    Story {
        lines: kept.cloned().collect(),
        end,
    }
}

/// The end of a request in words, with the cause that a line of another daemon gives.
fn describe_end(end: &Line, own: &[&Line]) -> String {
    let cause_event = match end.event.as_str() {
        "refused" => "gate-refused",
        _ => "answer-missing",
    };
    let mut causes = own.iter().rev();
    let cause = causes
        .find(|line| line.event == cause_event && line.text("request") == end.text("request"));
    let because = match cause {
        Some(line) if line.event == "gate-refused" => format!(
            "; the gate of {} refused it as {} with {} of {} slots taken and {} waiting",
            line.daemon,
            line.shown("reason"),
            line.shown("running"),
            line.shown("slots"),
            line.shown("queued"),
        ),
        Some(line) => format!(
            "; at {} no whole answer of {} came: {}",
            line.daemon,
            line.shown("instance"),
            line.shown("reason"),
        ),
        None => String::new(),
    };
    let failed_call = own.iter().rev().find(|line| {
        let is_call = line.text("request") != end.text("request");
        is_call && line.event != "answered" && ENDS.contains(&line.event.as_str())
    });
    let call = failed_call.map_or_else(String::new, |line| {
        format!(
            "; its call {} ended as {} ({})",
            line.text("request"),
            line.event,
            line.shown("reason")
        )
    });
    let told = match end.event.as_str() {
        "answered" => format!(
            "answered with status {} by the instance beside {}",
            end.shown("status"),
            end.shown("daemon"),
        ),
        "refused" => format!(
            "refused as not run ({}), to come back after {} ms",
            end.shown("reason"),
            end.shown("retry_after_ms"),
        ),
        "outcome-unknown" => format!(
            "outcome unknown at {}: {}",
            end.shown("daemon"),
            end.shown("reason"),
        ),
        "timed-out" => format!("its {} ms were over", end.shown("left_ms")),
        "no-route" => format!(
            "no route for {}{} in configuration {}",
            end.shown("host"),
            end.shown("path"),
            end.shown("config"),
        ),
        other => other.to_owned(),
    };
    format!("{told}{because}{call}")
}

/// Which daemon had a configuration when, and from whom.
pub fn of_config(mut lines: Vec<Line>, version: u64) -> Story {
    lines.sort_by_key(|line| line.at_ms);
    // A daemon that adopted a later one does not need this one.
    let mut reached: BTreeMap<String, Line> = BTreeMap::new();
    let adopted = lines.iter().filter(|line| line.event == "config-adopted");
    let mut is_known = false;
    for line in adopted {
        let adopted = line.number("version").unwrap_or(0);
        is_known |= adopted == version;
        if adopted >= version && line.number("before").is_some_and(|before| before < version) {
            reached
                .entry(line.daemon.clone())
                .or_insert_with(|| line.clone());
        }
    }
    let mut lines: Vec<Line> = reached.into_values().collect();
    lines.sort_by_key(|line| line.at_ms);
    let end = match (lines.first(), lines.last()) {
        (Some(first), Some(last)) if is_known => format!(
            "{} daemons have it or a later one, the last one {} ms after the first",
            lines.len(),
            last.at_ms - first.at_ms,
        ),
        (Some(_), _) => "no daemon adopted this one; a later one came first".to_owned(),
        (None, _) => "no daemon adopted it or a later one".to_owned(),
    };
    Story { lines, end }
}

/// How the moves of a service went: the decisions, and who learned them when.
pub fn of_move(mut lines: Vec<Line>, service: &str) -> Story {
    lines.sort_by_key(|line| line.at_ms);
    lines.retain(|line| line.event.starts_with("move-") && line.text("service") == service);
    let decided = lines.iter().rfind(|line| line.event == "move-decided");
    let end = match decided {
        Some(line) => format!(
            "last decision by {}: {} of {}, verdict {}, {} of {} ms after the order",
            line.daemon,
            line.shown("stage"),
            line.shown("target"),
            line.shown("verdict"),
            line.shown("elapsed_ms"),
            line.shown("within_ms"),
        ),
        None => "no daemon decided on a move of it".to_owned(),
    };
    Story { lines, end }
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let began = self.lines.first().map_or(0, |line| line.at_ms);
        for line in &self.lines {
            let after = line.at_ms - began;
            write!(f, "{after:>7} ms  {:<20} {:<20}", line.daemon, line.event)?;
            for (name, value) in &line.fields {
                match value {
                    Value::String(text) => write!(f, " {name}={text}")?,
                    value => write!(f, " {name}={value}")?,
                }
            }
            writeln!(f)?;
        }
        write!(f, "end: {}", self.end)
    }
}

impl Serialize for Story {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let lines: Vec<Value> = self.lines.iter().map(line_value).collect();
        let mut story = serializer.serialize_struct("Story", 2)?;
        story.serialize_field("lines", &lines)?;
        story.serialize_field("end", &self.end)?;
        story.end()
    }
}

fn line_value(line: &Line) -> Value {
    let mut fields = line.fields.clone();
    fields.insert("daemon_of_line".to_owned(), line.daemon.clone().into());
    fields.insert("at_ms".to_owned(), line.at_ms.into());
    fields.insert("event".to_owned(), line.event.clone().into());
    Value::Object(fields)
}
