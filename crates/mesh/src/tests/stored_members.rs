//! Writing of announcements to the store by the leaders of the zones.

use std::time::Duration;
use std::time::Instant;

use crate::directory::Directory;
use crate::stored_members::StoredMembers;
use crate::stored_members::WriteStep;
use crate::stored_members::ZoneView;
use crate::stored_members::next_step;
use crate::wire::Member;

fn member(number: u8, zone: &str, revision: u64) -> Member {
    Member {
        daemon: format!("d{number}").into(),
        incarnation: 1,
        revision,
        address: ([10, 0, 0, number], 1).into(),
        zone: zone.into(),
        instance: None,
        leaving: None,
        is_open: true,
        strength: 1,
        link_mbps: 1000,
    }
}

#[test]
fn a_daemon_writes_only_what_no_leader_confirms_in_time() {
    let check = |view, is_stored, since_ms, expected| {
        let step = next_step(view, is_stored, Duration::from_millis(since_ms));
        assert_eq!(step, expected, "{view:?} {is_stored} {since_ms}");
    };
    check(ZoneView::Alone, false, 0, WriteStep::Write);
    check(ZoneView::NoLeader, false, 100, WriteStep::Wait);
    check(ZoneView::NoLeader, false, 800, WriteStep::Write);
    check(ZoneView::HasLeader, false, 800, WriteStep::Wait);
    check(ZoneView::HasLeader, false, 3000, WriteStep::Write);
    check(ZoneView::Alone, true, 3000, WriteStep::Wait);
    check(ZoneView::HasLeader, true, 3000, WriteStep::Wait);
}

/// All 200 daemons of a zone restart at once: one call writes all announcements, a second none.
#[test]
fn one_call_writes_the_announcements_of_a_zone() {
    let now = Instant::now();
    let mut directory = Directory::default();
    let mut stored = StoredMembers::default();
    for number in 0..200 {
        directory.merge(member(number, "suva-a", 1), now);
    }
    directory.merge(member(200, "nadi-a", 1), now);
    let batch = stored.missing(&directory, &"suva-a".into(), 500);
    assert_eq!(batch.len(), 200);
    for member in &batch {
        stored.record(&member.daemon, member.full_revision());
    }
    let rest = stored.missing(&directory, &"suva-a".into(), 500);
    assert!(rest.is_empty());
}

/// A leader that stood still wrote an earlier announcement over a later one.
#[test]
fn an_overwritten_announcement_is_written_again() {
    let mut directory = Directory::default();
    let mut stored = StoredMembers::default();
    directory.merge(member(1, "suva-a", 5), Instant::now());
    stored.record(&"d1".into(), (1, 5));
    assert!(stored.missing(&directory, &"suva-a".into(), 9).is_empty());
    stored.record(&"d1".into(), (1, 4));
    let again = stored.missing(&directory, &"suva-a".into(), 9);
    assert_eq!(again, [member(1, "suva-a", 5)]);
}
