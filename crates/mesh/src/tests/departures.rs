//! Tests of what a process knows of the departures on its machine.

use std::time::Duration;
use std::time::Instant;

use quickcheck::quickcheck;

use crate::departures::Departures;
use crate::instance::Change;
use crate::instance::InstanceKey;
use crate::instance::LocalInstance;
use crate::instance::Phase;
use crate::tests::instance::HEARTBEAT_INTERVAL;
use crate::tests::instance::heartbeat;
use crate::wire::InstanceInfo;

fn key(id: &str, born: u64) -> InstanceKey {
    InstanceKey {
        id: id.into(),
        born,
    }
}

#[test]
fn a_departure_holds_for_the_incarnations_of_its_instance_until_then() {
    let mut departures = Departures::default();
    departures.record(key("i-1", 20));
    for (id, born, expected) in [
        ("i-1", 10, true),
        ("i-1", 20, true),
        ("i-1", 21, false),
        ("i-2", 10, false),
    ] {
        let is_known = departures.contains(&key(id, born));
        assert_eq!(is_known, expected, "{id} {born}");
    }
}

#[test]
fn a_departure_is_stored_once_the_store_holds_it() {
    let mut departures = Departures::default();
    departures.record(key("i-1", 20));
    assert_eq!(departures.unstored(), [key("i-1", 20)]);
    assert!(!departures.is_stored(&key("i-1", 20)));
    // A later incarnation departs while the record of the earlier one is written.
    departures.record(key("i-1", 30));
    departures.record_stored(&[key("i-1", 20)]);
    assert!(!departures.is_stored(&key("i-1", 20)));
    departures.record_stored(&[key("i-1", 30)]);
    assert!(departures.is_stored(&key("i-1", 30)));
    assert!(departures.unstored().is_empty());
    departures.forget_stored();
    assert_eq!(departures.unstored(), [key("i-1", 30)]);
    // What is read from the store is stored.
    departures.restore(key("i-1", 30));
    assert!(departures.is_stored(&key("i-1", 30)));
    departures.restore(key("i-1", 10));
    assert!(!departures.contains(&key("i-1", 31)));
}

quickcheck! {
    fn memory_is_bounded_and_the_newest_departure_is_known(ids: Vec<u8>) -> bool {
        let mut departures = Departures::default();
        ids.iter().all(|id| {
            let key = key(&format!("i-{id}"), 1);
            departures.record(key.clone());
            departures.contains(&key) && departures.unstored().len() <= 8
        })
    }
}

#[test]
fn the_store_may_drop_what_is_no_longer_known() {
    let mut departures = Departures::default();
    for number in 0..10 {
        let key = key(&format!("i-{number}"), 1);
        departures.record(key.clone());
        departures.record_stored(&[key]);
    }
    let dropped = [key("i-0", 1), key("i-1", 1)];
    assert_eq!(departures.dropped(), dropped);
    departures.record_dropped(&dropped);
    assert!(departures.dropped().is_empty());
}

/// Before the store has been read, an earlier process may have acknowledged a departure that this one does
/// not know, and a single heartbeat may have been delayed.
#[test]
fn without_the_store_two_heartbeats_show_that_an_instance_stays() {
    let now = Instant::now();
    let mut local = LocalInstance::default();
    local.record_heartbeat(heartbeat(20, 7, Phase::Ready), now);
    assert!(local.serving(HEARTBEAT_INTERVAL, now).is_none());
    // Both were delayed and arrive together.
    local.record_heartbeat(heartbeat(20, 8, Phase::Ready), now);
    assert!(local.serving(HEARTBEAT_INTERVAL, now).is_none());
    let next = now + HEARTBEAT_INTERVAL;
    local.record_heartbeat(heartbeat(20, 9, Phase::Ready), next);
    assert!(local.serving(HEARTBEAT_INTERVAL, next).is_some());

    let mut told = LocalInstance::default();
    told.record_heartbeat(heartbeat(20, 7, Phase::Ready), now);
    told.departures_mut().record_read();
    assert!(told.serving(HEARTBEAT_INTERVAL, now).is_some());
}

#[test]
fn an_announced_instance_does_not_serve_before_the_departures_are_read() {
    let now = Instant::now();
    let info = InstanceInfo {
        id: "i-1".into(),
        born: 20,
        service: "bookings".into(),
        version: "v1".into(),
        slots: 4,
        cold_left: Duration::ZERO,
    };
    let mut local = LocalInstance::default();
    local.restore(&info, "10.0.0.1:80".into(), now);
    assert!(local.serving(HEARTBEAT_INTERVAL, now).is_none());
    assert_eq!(local.restore_departure(key("i-1", 20)), Change::Told);
    local.departures_mut().record_read();
    assert!(local.serving(HEARTBEAT_INTERVAL, now).is_none());
    assert!(local.departures().is_stored(&key("i-1", 20)));
}

/// A deregistration does not state which incarnation sent it.
#[test]
fn a_deregistration_is_of_the_incarnation_that_was_heard_last() {
    let now = Instant::now();
    let wall = 1000;
    let mut unknown = LocalInstance::default();
    let (left, change) = unknown.mark_left("i-1", wall);
    assert_eq!((left, change), (key("i-1", wall), Change::Ignored));
    unknown.departures_mut().record_read();
    unknown.record_heartbeat(heartbeat(20, 1, Phase::Ready), now);
    assert!(unknown.serving(HEARTBEAT_INTERVAL, now).is_none());
    // It was started again under its id.
    unknown.record_heartbeat(heartbeat(wall + 1, 1, Phase::Ready), now);
    assert!(unknown.serving(HEARTBEAT_INTERVAL, now).is_some());

    let mut heard = LocalInstance::default();
    heard.departures_mut().record_read();
    heard.record_heartbeat(heartbeat(20, 1, Phase::Ready), now);
    let (left, change) = heard.mark_left("i-1", wall);
    assert_eq!((left, change), (key("i-1", 20), Change::Told));
    // The clock of the instance may be behind that of the daemon.
    heard.record_heartbeat(heartbeat(21, 1, Phase::Ready), now);
    assert!(heard.serving(HEARTBEAT_INTERVAL, now).is_some());
}
