//! Tests of the local instance's state and of merging announcements into the directory.

use std::time::Duration;
use std::time::Instant;

use base::UnixMillis;
use smol_str::SmolStr;

use crate::directory::Directory;
use crate::directory::Merge;
use crate::instance::Change;
use crate::instance::Heartbeat;
use crate::instance::InstanceKey;
use crate::instance::LocalInstance;
use crate::instance::Phase;
use crate::wire::InstanceInfo;
use crate::wire::Member;

pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);

/// Time of day of calls that state none.
const WALL: UnixMillis = 1000;

pub(super) fn heartbeat(born: u64, sequence: u64, phase: Phase) -> Heartbeat {
    Heartbeat {
        id: "i-1".into(),
        born,
        sequence,
        service: "bookings".into(),
        version: "v1".into(),
        address: "10.0.0.1:80".into(),
        slots: 8,
        phase,
        cold_left: Duration::ZERO,
    }
}

/// Returns the state of a process that knows what earlier ones acknowledged.
fn informed() -> LocalInstance {
    let mut local = LocalInstance::default();
    local.departures_mut().record_read();
    local
}

#[test]
fn outdated_heartbeats_are_ignored() {
    let now = Instant::now();
    let mut local = informed();
    let mut check = |born, sequence, phase, expected| {
        let change = local.record_heartbeat(heartbeat(born, sequence, phase), now);
        assert_eq!(change, expected, "{born} {sequence}");
    };
    check(20, 1, Phase::Ready, Change::Told);
    check(20, 2, Phase::Ready, Change::None);
    check(20, 2, Phase::Draining, Change::Ignored);
    check(10, 9, Phase::Ready, Change::Ignored);
    check(20, 3, Phase::Draining, Change::Told);
    // A ready heartbeat sent concurrently with the draining one does not end the draining.
    check(20, 4, Phase::Ready, Change::None);
    assert!(local.serving(HEARTBEAT_INTERVAL, now).is_none());
    let change = local.record_heartbeat(heartbeat(30, 1, Phase::Ready), now);
    assert_eq!(change, Change::Told);
    assert!(local.serving(HEARTBEAT_INTERVAL, now).is_some());
}

#[test]
fn silent_departed_or_unreachable_instance_is_not_serving() {
    let now = Instant::now();
    let fresh = || {
        let mut local = informed();
        local.record_heartbeat(heartbeat(20, 1, Phase::Ready), now);
        local
    };
    assert!(
        fresh()
            .serving(HEARTBEAT_INTERVAL, now + HEARTBEAT_INTERVAL * 3)
            .is_some()
    );
    assert!(
        fresh()
            .serving(HEARTBEAT_INTERVAL, now + HEARTBEAT_INTERVAL * 4)
            .is_none()
    );

    let mut left = fresh();
    assert_eq!(left.mark_left("i-other", WALL).1, Change::Ignored);
    assert_eq!(left.mark_left("i-1", WALL), (key(20), Change::Told));
    assert!(left.serving(HEARTBEAT_INTERVAL, now).is_none());

    let mut unreachable = fresh();
    assert_eq!(unreachable.mark_unreachable(), Change::Told);
    assert!(unreachable.serving(HEARTBEAT_INTERVAL, now).is_none());
    unreachable.record_heartbeat(heartbeat(20, 2, Phase::Ready), now);
    assert!(unreachable.serving(HEARTBEAT_INTERVAL, now).is_some());
}

fn member(daemon: &str, incarnation: u64, revision: u64, port: u16) -> Member {
    Member {
        daemon: daemon.into(),
        incarnation,
        revision,
        address: ([10, 0, 0, 1], port).into(),
        zone: "suva-a".into(),
        instance: None,
        leaving: None,
        is_open: true,
        strength: 1,
        link_mbps: 1000,
    }
}

#[test]
fn newest_announcement_wins_in_any_order() {
    let now = Instant::now();
    let announcements = [(1, 1), (1, 2), (2, 1)];
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0], [2, 0, 1]] {
        let mut directory = Directory::default();
        for index in order {
            let (incarnation, revision) = announcements[index];
            directory.merge(member("a", incarnation, revision, 1), now);
        }
        let known = directory.get("a").expect("merged").member.incarnation;
        assert_eq!(known, 2, "{order:?}");
    }
}

#[test]
fn an_address_belongs_to_the_daemon_that_started_last() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.merge(member("gone", 1, 5, 1), now);
    assert_eq!(directory.merge(member("new", 2, 1, 1), now), Merge::Newer);
    assert!(directory.get("gone").is_none());
    assert_eq!(directory.len(), 1);
}

#[test]
fn an_instance_is_taken_over_until_it_sends_a_heartbeat() {
    let now = Instant::now();
    let info = InstanceInfo {
        id: "i-1".into(),
        born: 10,
        service: "bookings".into(),
        version: "v1".into(),
        slots: 4,
        cold_left: Duration::ZERO,
    };
    let mut restored = informed();
    let address: SmolStr = "10.0.0.1:8080".into();
    assert_eq!(restored.restore(&info, address.clone(), now), Change::Told);
    assert!(restored.serving(HEARTBEAT_INTERVAL, now).is_some());
    // The first heartbeat of the instance counts, whatever its number.
    let drains = restored.record_heartbeat(heartbeat(10, 1, Phase::Draining), now);
    assert_eq!(drains, Change::Told);
    assert!(restored.serving(HEARTBEAT_INTERVAL, now).is_none());

    // What the instance says itself is not replaced.
    let mut known = informed();
    known.record_heartbeat(heartbeat(20, 1, Phase::Ready), now);
    assert_eq!(known.restore(&info, address.clone(), now), Change::Ignored);

    // Without a heartbeat the announcement loses its validity.
    let mut silent = informed();
    silent.restore(&info, address, now);
    let later = now + HEARTBEAT_INTERVAL * 4;
    assert!(silent.serving(HEARTBEAT_INTERVAL, later).is_none());
}

fn key(born: u64) -> InstanceKey {
    InstanceKey {
        id: "i-1".into(),
        born,
    }
}

#[test]
fn an_instance_that_says_it_is_leaving_does_not_serve_whatever_its_heartbeats_say() {
    let now = Instant::now();
    let mut local = informed();
    local.record_heartbeat(heartbeat(20, 1, Phase::Ready), now);
    assert_eq!(local.mark_draining(&key(10)), Change::Ignored);
    assert!(local.serving(HEARTBEAT_INTERVAL, now).is_some());
    assert_eq!(local.mark_draining(&key(20)), Change::Told);
    assert_eq!(local.mark_draining(&key(20)), Change::Ignored);
    local.record_heartbeat(heartbeat(20, 2, Phase::Ready), now);
    assert!(local.serving(HEARTBEAT_INTERVAL, now).is_none());
    assert_eq!(local.leaving(), Some(key(20)));
    local.record_heartbeat(heartbeat(30, 1, Phase::Ready), now);
    assert!(local.serving(HEARTBEAT_INTERVAL, now).is_some());
    assert_eq!(local.leaving(), None);
}

#[test]
fn a_process_takes_over_that_the_instance_is_leaving() {
    let now = Instant::now();
    // Its announcement arrives before the first heartbeat, or after it.
    for is_first in [true, false] {
        let mut local = informed();
        if is_first {
            assert_eq!(local.restore_leaving(key(20)), Change::Ignored);
            assert_eq!(local.leaving(), Some(key(20)));
        }
        local.record_heartbeat(heartbeat(20, 1, Phase::Ready), now);
        if !is_first {
            assert_eq!(local.restore_leaving(key(20)), Change::Told);
        }
        assert!(local.serving(HEARTBEAT_INTERVAL, now).is_none());
        local.record_heartbeat(heartbeat(30, 1, Phase::Ready), now);
        assert!(local.serving(HEARTBEAT_INTERVAL, now).is_some());
    }
}

#[test]
fn a_leaving_instance_gets_no_requests_though_its_daemon_announces_it_again() {
    let now = Instant::now();
    let mut directory = Directory::default();
    let serves = |directory: &Directory| directory.serving(&"bookings".into()).count() > 0;
    let info = |born| InstanceInfo {
        id: "i-1".into(),
        born,
        service: "bookings".into(),
        version: "v1".into(),
        slots: 4,
        cold_left: Duration::ZERO,
    };
    let announce = |directory: &mut Directory, revision, born| {
        let member = Member {
            instance: Some(info(born)),
            ..member("suva-a-1", 1, revision, 1)
        };
        assert_eq!(directory.merge(member, now), Merge::Newer);
    };
    announce(&mut directory, 1, 20);
    assert!(!directory.mark_leaving(&"suva-a-1".into(), &info(10).key()));
    assert!(serves(&directory));
    assert!(directory.mark_leaving(&"suva-a-1".into(), &info(20).key()));
    assert!(!serves(&directory));
    // The daemon has restarted and does not know it.
    announce(&mut directory, 2, 20);
    assert!(!serves(&directory));
    announce(&mut directory, 3, 30);
    assert!(serves(&directory));
    // Another daemon learned it first, and its announcement was lost.
    let leaving = Member {
        leaving: Some(info(30).key()),
        ..member("suva-a-1", 1, 4, 1)
    };
    assert_eq!(directory.merge(leaving, now), Merge::Newer);
    announce(&mut directory, 5, 30);
    assert!(!serves(&directory));
}
