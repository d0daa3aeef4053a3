//! A take-back is one decision for the whole ticket, and final.

use crate::Applied;
use crate::IgnoreReason;
use crate::RejectReason;
use crate::tests::Log;

/// Services a, b, c on v1, and moves of a and b to v2 under ticket 2, in epoch 1.
fn two_moves() -> Log {
    let mut log = Log::default();
    log.ticket(1, &[("a", "v1"), ("b", "v1"), ("c", "v1")]);
    log.claim(1);
    log.ticket(2, &[("a", "v2"), ("b", "v2")]);
    log.step(1, 2, "a", 50);
    log.step(1, 2, "b", 50);
    log
}

fn finish(log: &mut Log, ticket: u64, service: &str) {
    assert_eq!(log.step(1, ticket, service, 1000), Applied::Stepped);
    assert_eq!(log.finish(1, ticket, service), Applied::Finished);
}

#[test]
fn a_take_back_ends_all_moves_of_its_ticket_in_every_phase() {
    let check = |advance: fn(&mut Log)| {
        let mut log = two_moves();
        advance(&mut log);
        assert_eq!(log.take_back(2, "a"), Applied::RolledBack);
        assert_eq!(log.split("a"), "v1:1000");
        assert_eq!(log.split("b"), "v1:1000");
        assert_eq!(log.state.rolled_back.len(), 2);
        let ends = log.ends();
        assert!(ends.contains(&"2 a v2 taken back: errors".to_owned()));
        assert!(ends.contains(&"2 b v2 taken back: errors".to_owned()));
        let again = Applied::Ignored(IgnoreReason::NoSuchRollout);
        assert_eq!(log.take_back(2, "b"), again, "a second take-back");
    };
    check(|_| ());
    check(|log| drop(log.step(1, 2, "b", 1000)));
    check(|log| finish(log, 2, "b"));
    check(|log| {
        finish(log, 2, "a");
        finish(log, 2, "b");
    });
    check(|log| drop(log.claim(2)));
    check(|log| drop(log.ticket(3, &[("c", "v2")])));
}

#[test]
fn a_bad_version_never_returns() {
    let mut log = two_moves();
    log.take_back(2, "a");
    let rejected = log.ticket(3, &[("c", "v2"), ("b", "v2")]);
    let reason = RejectReason::VersionRolledBack {
        service: "b".into(),
        version: "v2".into(),
    };
    assert_eq!(rejected, Applied::Rejected(reason));
    assert_eq!(
        log.split("c"),
        "v1:1000",
        "no part of the ticket is applied"
    );
    assert_eq!(
        log.step(1, 2, "a", 1000),
        Applied::Ignored(IgnoreReason::NoSuchRollout)
    );
}

#[test]
fn routes_stay_when_versions_go_back() {
    let mut log = two_moves();
    let mut third = crate::tests::ticket(3, &[("a", "v3")]);
    third.routes.insert("/a".into(), crate::tests::route("a"));
    log.push(crate::Record::Ticket(third));
    log.take_back(3, "a");
    assert!(log.state.routes.contains_key("/a"));
    assert_eq!(log.state.ticket, 3);
    assert_eq!(
        log.split("b"),
        "v1:950 v2:50",
        "another ticket's move goes on"
    );
}

#[test]
fn a_version_carried_on_by_a_later_ticket_is_taken_back_with_that_ticket() {
    let mut log = two_moves();
    log.ticket(3, &[("a", "v2"), ("c", "v2")]);
    // Written before its author had read ticket 3.
    assert_eq!(log.take_back(2, "a"), Applied::RolledBack);
    for service in ["a", "b", "c"] {
        assert_eq!(log.split(service), "v1:1000", "{service}");
    }
}

#[test]
fn a_later_move_goes_on_from_the_version_before() {
    let mut log = two_moves();
    finish(&mut log, 2, "a");
    log.ticket(3, &[("a", "v3")]);
    log.step(1, 3, "a", 100);
    log.take_back(2, "a");
    assert_eq!(log.split("a"), "v1:900 v3:100");
}

#[test]
fn a_move_back_to_the_version_before_is_done_when_that_version_returns() {
    let mut log = two_moves();
    finish(&mut log, 2, "a");
    log.ticket(3, &[("a", "v1")]);
    log.take_back(2, "a");
    assert_eq!(log.split("a"), "v1:1000");
    assert!(log.ends().contains(&"3 a v1 done".to_owned()));
}

#[test]
fn a_return_never_leads_to_a_bad_version() {
    let mut log = two_moves();
    finish(&mut log, 2, "a");
    log.ticket(3, &[("a", "v1")]);
    assert_eq!(log.take_back(3, "a"), Applied::RolledBack);
    // v1 is bad now, so v2 has nothing to return to.
    assert_eq!(log.take_back(2, "b"), Applied::RolledBack);
    assert_eq!(log.split("a"), "v2:1000");
}
