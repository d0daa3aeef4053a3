//! Selects the log lines of one request, configuration or rollout, orders them by time and sums up
//! the outcome.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use serde::Serializer;
use serde::ser::SerializeStruct;
use serde_json::Value;

use crate::explain::lines::LogLine;

/// Time before and after the lines of a request in which context events are shown, in milliseconds.
/// Missing heartbeats and gossip take up to this long to be noticed.
const CONTEXT_MS: u64 = 3000;

/// Events in which a daemon's view of the system changes, which explain how it handled a request.
const CONTEXT_EVENTS: [&str; 16] = [
    "config-adopted",
    "config-unreadable",
    "config-values-unreadable",
    "daemon-silent",
    "instance-changed",
    "instance-fails",
    "instance-left",
    "instance-unreachable",
    "key-proof",
    "key-proof-withheld",
    "log-lines-left-out",
    "move-decided",
    "started",
    "stopping",
    "store-lost",
    "store-regained",
];

/// Events that end a request at the daemon that received it from the client.
const END_EVENTS: [&str; 10] = [
    "answered",
    "refused",
    "key-refused",
    "outcome-unknown",
    "timed-out",
    "client-left",
    "no-route",
    "route-unreadable",
    "no-configuration",
    "request-unreadable",
];

/// Log lines about one subject, ordered by time, with a sentence on the outcome.
#[derive(Debug, Clone, PartialEq)]
pub struct Timeline {
    lines: Vec<LogLine>,
    end: String,
}

impl Timeline {
    /// Returns whether the logs hold no line about the subject.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

/// Builds the timeline of a request: its own lines, those of the calls made while it ran (ids that
/// start with its id and a dot), and context events of the daemons that handled it.
pub fn request_timeline(mut lines: Vec<LogLine>, id: &str) -> Timeline {
    lines.sort_by_key(|line| line.at_ms);
    let is_own = |line: &LogLine| {
        let request = line.str_field("request");
        let suffix = request.strip_prefix(id);
        suffix.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    };
    let own: Vec<&LogLine> = lines.iter().filter(|line| is_own(line)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        let end = "no line: the request succeeded after the limit of log lines per second was \
                   reached, its lines were dropped, or it never reached these daemons";
        return Timeline {
            lines: Vec::new(),
            end: end.to_owned(),
        };
    };
    let span = first.at_ms.saturating_sub(CONTEXT_MS)..=last.at_ms + CONTEXT_MS;
    let is_context = |line: &LogLine| {
        let is_involved = own.iter().any(|own| {
            own.daemon == line.daemon
                || own.mentions("daemon", &line.daemon)
                || own.mentions("tried", &line.daemon)
        });
        is_involved && span.contains(&line.at_ms) && CONTEXT_EVENTS.contains(&line.event.as_str())
    };
    let end = own
        .iter()
        .rfind(|line| line.str_field("request") == id && END_EVENTS.contains(&line.event.as_str()))
        .map_or_else(
            || "no line shows how the request ended".to_owned(),
            |line| describe_end(line, &own),
        );
    let selected = lines.iter().filter(|line| is_own(line) || is_context(line));
    Timeline {
        lines: selected.cloned().collect(),
        end,
    }
}

/// Describes the end of a request, with the cause logged by the daemon that ran or refused it and
/// the last of its calls that failed.
fn describe_end(end: &LogLine, own: &[&LogLine]) -> String {
    let cause_events: &[&str] = match end.event.as_str() {
        "refused" => &["gate-refused", "transfer-refused"],
        "client-left" => &["run-abandoned"],
        _ => &["answer-missing"],
    };
    let mut causes = own.iter().rev();
    let cause = causes.find(|line| {
        cause_events.contains(&line.event.as_str())
            && line.str_field("request") == end.str_field("request")
    });
    let cause_text = match cause {
        Some(line) if line.event == "gate-refused" => format!(
            "; the gate of {} refused it as {} with {} of {} slots taken and {} waiting{}",
            line.daemon,
            line.display_field("reason"),
            line.display_field("running"),
            line.display_field("slots"),
            line.display_field("queued"),
            match line.str_field("limit") {
                "" => String::new(),
                limit => format!(", under a limit of {limit}"),
            },
        ),
        Some(line) if line.event == "transfer-refused" => format!(
            "; {} refused its body of {} bytes as {}",
            line.daemon,
            line.display_field("bytes"),
            line.display_field("reason"),
        ),
        Some(line) if line.event == "run-abandoned" => format!(
            "; {} closed its connection to {} after {} ms",
            line.daemon,
            line.display_field("instance"),
            line.display_field("waited_ms"),
        ),
        Some(line) => format!(
            "; {} got no complete answer from {}: {}",
            line.daemon,
            line.display_field("instance"),
            line.display_field("reason"),
        ),
        None => String::new(),
    };
    let failed_call = own.iter().rev().find(|line| {
        let is_call = line.str_field("request") != end.str_field("request");
        is_call && line.event != "answered" && END_EVENTS.contains(&line.event.as_str())
    });
    let call_text = failed_call.map_or_else(String::new, |line| {
        format!(
            "; its call {} ended as {} ({})",
            line.str_field("request"),
            line.event,
            line.display_field("reason")
        )
    });
    let outcome = match end.event.as_str() {
        "answered" => format!(
            "answered with status {} by the instance beside {}",
            end.display_field("status"),
            end.display_field("daemon"),
        ),
        "refused" => format!(
            "refused without being run ({}), retry after {} ms",
            end.display_field("reason"),
            end.display_field("retry_after_ms"),
        ),
        "key-refused" => format!(
            "refused by its key without being run ({}) in configuration {}",
            end.display_field("reason"),
            end.display_field("config"),
        ),
        "outcome-unknown" => format!(
            "outcome unknown at {}: {}",
            end.display_field("daemon"),
            end.display_field("reason"),
        ),
        "client-left" => format!(
            "given up as its client left after {} ms",
            end.display_field("took_ms")
        ),
        "timed-out" => format!("timed out after {} ms", end.display_field("left_ms")),
        "no-route" => format!(
            "no route for {}{} in configuration {}",
            end.display_field("host"),
            end.display_field("path"),
            end.display_field("config"),
        ),
        "route-unreadable" => format!(
            "refused without being run: configuration {} holds a route or target for {}{} that cannot be read",
            end.display_field("config"),
            end.display_field("host"),
            end.display_field("path"),
        ),
        other => other.to_owned(),
    };
    format!("{outcome}{cause_text}{call_text}")
}

/// Builds the timeline of a configuration: when each daemon adopted it or a later one, from which source, what
/// of it could not be read, and which daemons rejected a configuration that states no version.
pub fn config_timeline(mut lines: Vec<LogLine>, version: u64) -> Timeline {
    lines.sort_by_key(|line| line.at_ms);
    // A daemon that adopts a later configuration directly skips this one, and counts as reached.
    let mut reached: BTreeMap<String, LogLine> = BTreeMap::new();
    let adopted = lines.iter().filter(|line| line.event == "config-adopted");
    let mut is_known = false;
    for line in adopted {
        let adopted = line.u64_field("version").unwrap_or(0);
        is_known |= adopted == version;
        if adopted >= version
            && line
                .u64_field("before")
                .is_some_and(|before| before < version)
        {
            reached
                .entry(line.daemon.clone())
                .or_insert_with(|| line.clone());
        }
    }
    let is_unreadable = |line: &&LogLine| match line.event.as_str() {
        // The version of such a one is not known; it may be this one unless a daemon has this one.
        "config-unreadable" => !is_known,
        "config-values-unreadable" => line.u64_field("version") == Some(version),
        _ => false,
    };
    let unreadable: Vec<LogLine> = lines.iter().filter(is_unreadable).cloned().collect();
    let mut lines: Vec<LogLine> = reached.into_values().collect();
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
    let end = end + &describe_unreadable(&unreadable);
    lines.extend(unreadable);
    lines.sort_by_key(|line| line.at_ms);
    Timeline { lines, end }
}

/// Describes what of a configuration, or of any whose version is not known, could not be read.
fn describe_unreadable(lines: &[LogLine]) -> String {
    let values = lines.iter().filter_map(|line| line.u64_field("count"));
    let values = values.max().map_or_else(String::new, |count| {
        format!("; {count} of its values cannot be read")
    });
    let rejected = lines
        .iter()
        .filter(|line| line.event == "config-unreadable");
    match rejected.count() {
        0 => values,
        count => format!("{values}; {count} times a configuration could not be read at all"),
    }
}

/// Builds the timeline of a service's rollouts: the decisions, and when each daemon learned them.
pub fn rollout_timeline(mut lines: Vec<LogLine>, service: &str) -> Timeline {
    lines.sort_by_key(|line| line.at_ms);
    lines.retain(|line| line.event.starts_with("move-") && line.str_field("service") == service);
    let decided = lines.iter().rfind(|line| line.event == "move-decided");
    let end = match decided {
        Some(line) => format!(
            "last decision by {}: {} of {}, verdict {}, {} ms after the order, which allows {} ms",
            line.daemon,
            line.display_field("stage"),
            line.display_field("target"),
            line.display_field("verdict"),
            line.display_field("elapsed_ms"),
            line.display_field("within_ms"),
        ),
        None => "no daemon decided on a move of it".to_owned(),
    };
    Timeline { lines, end }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let started = self.lines.first().map_or(0, |line| line.at_ms);
        for line in &self.lines {
            let elapsed_ms = line.at_ms - started;
            write!(
                f,
                "{elapsed_ms:>7} ms  {:<20} {:<20}",
                line.daemon, line.event
            )?;
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

impl Serialize for Timeline {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let lines: Vec<Value> = self.lines.iter().map(line_value).collect();
        // This name is not part of the JSON output.
        let mut timeline = serializer.serialize_struct("Story", 2)?;
        timeline.serialize_field("lines", &lines)?;
        timeline.serialize_field("end", &self.end)?;
        timeline.end()
    }
}

fn line_value(line: &LogLine) -> Value {
    let mut fields = line.fields.clone();
    fields.insert("daemon_of_line".to_owned(), line.daemon.clone().into());
    fields.insert("at_ms".to_owned(), line.at_ms.into());
    fields.insert("event".to_owned(), line.event.clone().into());
    Value::Object(fields)
}
