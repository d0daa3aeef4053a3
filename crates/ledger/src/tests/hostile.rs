//! Texts of the log and of operators that hold anything.

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

/// A change of a text: where, how many bytes go, and what comes in their place.
type Edit = (usize, u8, String);

/// Numbers at the edges of their types, which changes of single characters seldom give.
const NUMBERS: [&str; 5] = ["0", "-1", "65535", "18446744073709551615", "1e309"];

fn edited(text: &str, edits: &[Edit]) -> String {
    let mut text = text.to_owned();
    for (at, length, new) in edits {
        let start = boundary(&text, at % (text.len() + 1));
        let end = boundary(&text, start + usize::from(length % 8));
        text.replace_range(start..end.max(start), new);
    }
    text
}

fn boundary(text: &str, at: usize) -> usize {
    let at = at.min(text.len());
    (0..=at)
        .rev()
        .find(|at| text.is_char_boundary(*at))
        .unwrap_or(0)
}

/// The text with each of its numbers replaced in turn.
fn with_numbers(text: &str) -> Vec<String> {
    let is_number = |c: char| c.is_ascii_digit();
    let mut texts = Vec::new();
    for (at, found) in text.match_indices(is_number) {
        let rest = &text[at + found.len()..];
        texts.extend(NUMBERS.map(|number| format!("{}{number}{rest}", &text[..at])));
    }
    texts
}

fn entries() -> Vec<Entry> {
    let service = || "bookings".into();
    let records = [
        Record::Ticket(parse_ticket(TICKET).expect("a ticket")),
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

/// A state with a move under way.
fn moving() -> State {
    let mut state = State::default();
    for record in [
        Record::Ticket(ticket(1, &[("bookings", "v1")])),
        Record::Ticket(parse_ticket(TICKET).expect("a ticket")),
        Record::Claim {
            epoch: 1,
            controller: "d1".into(),
        },
    ] {
        state.apply(&stamped(state.next, record));
    }
    state
}

/// Reads an entry and folds it, in whatever state a snapshot may hold.
fn fold(state: &State, text: &str) {
    let mut state = state.clone();
    for _ in 0..2 {
        let offset = state.next;
        state.apply(&StampedRecord::from_text(offset, text));
    }
}

/// A snapshot text whose checksum holds, with another body.
fn sealed(body: &str) -> String {
    let head = snapshot::head(body);
    format!("{head}\n{body}")
}

fn body(state: &State) -> String {
    serde_json::to_string(state).expect("a state has a JSON form")
}

#[test]
fn numbers_at_the_edges_are_refused_or_folded() {
    let state = moving();
    for entry in entries() {
        for text in with_numbers(&entry.to_text()) {
            fold(&state, &text);
        }
    }
    for text in with_numbers(TICKET) {
        let _ = parse_ticket(&text);
    }
    for text in with_numbers(&body(&state)) {
        if let Ok(snapshot) = Snapshot::from_text(&sealed(&text)) {
            for entry in entries() {
                fold(&snapshot.state, &entry.to_text());
            }
        }
    }
}

#[test]
fn nesting_and_aliases_are_bounded() {
    for open in ["[", "{\"a\":"] {
        let deep = open.repeat(100_000);
        assert!(Entry::from_text(&deep).is_err());
        assert!(Snapshot::from_text(&sealed(&deep)).is_err());
        // The YAML parser's time grows faster than the depth.
        assert!(parse_ticket(&open.repeat(1000)).is_err());
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
    fn changed_texts_never_panic(edits: Vec<Edit>, other: String) -> bool {
        let state = moving();
        for entry in entries() {
            fold(&state, &edited(&entry.to_text(), &edits));
        }
        let _ = parse_ticket(&edited(TICKET, &edits));
        let _ = parse_ticket(&other);
        fold(&state, &other);
        let snapshot = Snapshot { state: state.clone() };
        let _ = Snapshot::from_text(&edited(&snapshot.to_text(), &edits));
        let _ = Snapshot::from_text(&other);
        if let Ok(snapshot) = Snapshot::from_text(&sealed(&edited(&body(&state), &edits))) {
            for entry in entries() { fold(&snapshot.state, &entry.to_text()); }
        }
        true
    }
}
