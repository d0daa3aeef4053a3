//! Malformed log records, snapshots and tickets never cause a panic.

use quickcheck::quickcheck;

use crate::Entry;
use crate::Record;
use crate::Snapshot;
use crate::StampedRecord;
use crate::State;
use crate::parse_ticket;
use crate::snapshot;
use crate::tests::stamped;
use crate::tests::ticket;

const TICKET: &str = "ticket: 2
services:
  bookings:
    version: v2
    finish_by: 2026-12-04T02:00:00Z
    policy: { prefer: safety, probe_share: 50, probe_calls: 200, watch: 1m }
routes:
  /book: { service: bookings, repeat: at-most-once, timeout: 2s }
";

/// A text edit: position, number of bytes to remove, and replacement.
type Edit = (usize, u8, String);

/// Boundary values of the number types, which random edits seldom produce.
const BOUNDARY_NUMBERS: [&str; 5] = ["0", "-1", "65535", "18446744073709551615", "1e309"];

fn edited(text: &str, edits: &[Edit]) -> String {
    let mut text = text.to_owned();
    for (at, length, new) in edits {
        let start = floor_char_boundary(&text, at % (text.len() + 1));
        let end = floor_char_boundary(&text, start + usize::from(length % 8));
        text.replace_range(start..end.max(start), new);
    }
    text
}

fn floor_char_boundary(text: &str, at: usize) -> usize {
    let at = at.min(text.len());
    (0..=at)
        .rev()
        .find(|at| text.is_char_boundary(*at))
        .unwrap_or(0)
}

/// Returns copies of the text, each with one digit replaced by a boundary value.
fn with_boundary_numbers(text: &str) -> Vec<String> {
    let is_number = |c: char| c.is_ascii_digit();
    let mut texts = Vec::new();
    for (at, found) in text.match_indices(is_number) {
        let rest = &text[at + found.len()..];
        texts.extend(BOUNDARY_NUMBERS.map(|number| format!("{}{number}{rest}", &text[..at])));
    }
    texts
}

fn entries() -> Vec<Entry> {
    let service = || "bookings".into();
    let records = [
        Record::Ticket(parse_ticket(TICKET).expect("valid ticket")),
        Record::Claim {
            epoch: 1,
            controller: "d1".into(),
        },
        Record::Step {
            epoch: 1,
            ticket: 2,
            service: service(),
            share: 500,
        },
        Record::Finish {
            epoch: 1,
            ticket: 2,
            service: service(),
        },
        Record::Rollback {
            ticket: 2,
            service: service(),
            reason: "errors".into(),
        },
    ];
    let stamped = records.into_iter().map(|record| stamped(0, record));
    stamped.filter_map(|record| record.entry).collect()
}

/// A state with a rollout in progress.
fn state_with_rollout() -> State {
    let mut state = State::default();
    for record in [
        Record::Ticket(ticket(1, &[("bookings", "v1")])),
        Record::Ticket(parse_ticket(TICKET).expect("valid ticket")),
        Record::Claim {
            epoch: 1,
            controller: "d1".into(),
        },
    ] {
        state.apply(&stamped(state.next, record));
    }
    state
}

/// Decodes an entry and applies it twice to a copy of the state.
fn apply_twice(state: &State, text: &str) {
    let mut state = state.clone();
    for _ in 0..2 {
        let offset = state.next;
        state.apply(&StampedRecord::from_text(offset, text));
    }
}

/// Returns a snapshot text with a valid checksum for the body.
fn with_checksum(body: &str) -> String {
    let header = snapshot::header(body);
    format!("{header}\n{body}")
}

fn body(state: &State) -> String {
    serde_json::to_string(state).expect("a state can be serialized to JSON")
}

#[test]
fn boundary_numbers_never_panic() {
    let state = state_with_rollout();
    for entry in entries() {
        for text in with_boundary_numbers(&entry.to_text()) {
            apply_twice(&state, &text);
        }
    }
    for text in with_boundary_numbers(TICKET) {
        let _ = parse_ticket(&text);
    }
    for text in with_boundary_numbers(&body(&state)) {
        if let Ok(snapshot) = Snapshot::from_text(&with_checksum(&text)) {
            for entry in entries() {
                apply_twice(&snapshot.state, &entry.to_text());
            }
        }
    }
}

#[test]
fn deep_nesting_and_alias_expansion_are_refused() {
    for opening in ["[", "{\"a\":"] {
        let deep = opening.repeat(100_000);
        assert!(Entry::from_text(&deep).is_err());
        assert!(Snapshot::from_text(&with_checksum(&deep)).is_err());
        // Less deep, because the YAML parser's time is superlinear in the depth.
        assert!(parse_ticket(&opening.repeat(1000)).is_err());
    }
    let mut aliases = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n".to_owned();
    for level in 1..12 {
        let below = format!("*a{}", level - 1);
        let row = [below.as_str(); 10].join(", ");
        aliases = format!("{aliases}a{level}: &a{level} [{row}]\n");
    }
    assert!(parse_ticket(&format!("{aliases}ticket: 1\n")).is_err());
    assert!(parse_ticket(&format!("{aliases}ticket: *a11\n")).is_err());
}

quickcheck! {
    fn edited_texts_never_panic(edits: Vec<Edit>, arbitrary: String) -> bool {
        let state = state_with_rollout();
        for entry in entries() {
            apply_twice(&state, &edited(&entry.to_text(), &edits));
        }
        let _ = parse_ticket(&edited(TICKET, &edits));
        let _ = parse_ticket(&arbitrary);
        apply_twice(&state, &arbitrary);
        let snapshot = Snapshot { state: state.clone() };
        let _ = Snapshot::from_text(&edited(&snapshot.to_text(), &edits));
        let _ = Snapshot::from_text(&arbitrary);
        if let Ok(snapshot) = Snapshot::from_text(&with_checksum(&edited(&body(&state), &edits))) {
            for entry in entries() { apply_twice(&snapshot.state, &entry.to_text()); }
        }
        true
    }
}
