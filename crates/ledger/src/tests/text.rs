//! Encoding and decoding of records and snapshots.

use crate::Entry;
use crate::Record;
use crate::Snapshot;
use crate::SnapshotError;
use crate::tests::Log;
use crate::tests::route;
use crate::tests::ticket;

#[test]
fn entries_round_trip_as_one_line() {
    let check = |record: Record| {
        let entry = Entry {
            id: "op-1".into(),
            at: 12,
            record,
        };
        let text = entry.to_text();
        assert!(!text.contains('\n'), "{text}");
        assert_eq!(Entry::from_text(&text), Ok(entry));
    };
    let mut full = ticket(3, &[("a", "v1")]);
    full.services.get_mut("a").expect("ticket sets a").finish_by = Some(1500);
    full.routes.insert("/a".into(), route("a"));
    full.remove_services.push("b".into());
    full.remove_routes.push("/b".into());
    check(Record::Ticket(full));
    check(Record::Claim {
        epoch: 1,
        controller: "d1".into(),
    });
    check(Record::Rollback {
        ticket: 3,
        service: "a".into(),
        reason: "line one\nline two".into(),
    });
}

#[test]
fn malformed_and_unknown_entries_are_refused() {
    for text in [
        "",
        "{}",
        "[1]",
        "{\"id\":\"x\",\"at\":1,\"record\":{\"later\":{}}}",
    ] {
        assert!(Entry::from_text(text).is_err(), "{text}");
    }
}

#[test]
fn damaged_snapshots_are_refused() {
    let mut log = Log::default();
    log.ticket(1, &[("a", "v1")]);
    let valid = Snapshot { state: log.state }.to_text();
    let check = |text: &str, want: SnapshotError| {
        assert_eq!(Snapshot::from_text(text), Err(want), "{text}");
    };
    check("", SnapshotError::Header);
    check("other 1 0\n{}", SnapshotError::Header);
    check(&valid[..valid.len() - 1], SnapshotError::Checksum);
    check(&valid.replace("v1", "v2"), SnapshotError::Checksum);
    check(
        &valid.replace("snapshot 1", "snapshot 2"),
        SnapshotError::Format(2),
    );
    assert!(Snapshot::from_text(&valid).is_ok());
}
