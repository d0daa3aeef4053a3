//! Text forms of records and snapshots.

use crate::Entry;
use crate::Record;
use crate::Snapshot;
use crate::SnapshotError;
use crate::tests::Log;
use crate::tests::route;
use crate::tests::ticket;

#[test]
fn entries_survive_a_round_trip_on_one_line() {
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
    full.services.get_mut("a").expect("a is set").finish_by = Some(1500);
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
fn texts_of_others_are_refused() {
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
    let whole = Snapshot { state: log.state }.to_text();
    let check = |text: &str, want: SnapshotError| {
        assert_eq!(Snapshot::from_text(text), Err(want), "{text}");
    };
    check("", SnapshotError::Header);
    check("other 1 0\n{}", SnapshotError::Header);
    check(&whole[..whole.len() - 1], SnapshotError::Checksum);
    check(&whole.replace("v1", "v2"), SnapshotError::Checksum);
    check(
        &whole.replace("snapshot 1", "snapshot 2"),
        SnapshotError::Format(2),
    );
    assert!(Snapshot::from_text(&whole).is_ok());
}
