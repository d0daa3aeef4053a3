//! Rollbacks apply to all services of a ticket and are permanent.

use crate::Applied;
use crate::IgnoreReason;
use crate::RejectReason;
use crate::tests::Log;

/// Services a, b, c on v1, and rollouts of a and b to v2 by ticket 2, in epoch 1.
fn two_rollouts() -> Log {
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
fn a_rollback_covers_all_rollouts_of_its_ticket_in_every_phase() {
    let check = |advance: fn(&mut Log)| {
        let mut log = two_rollouts();
        advance(&mut log);
        assert_eq!(log.rollback(2, "a"), Applied::RolledBack);
        assert_eq!(log.split("a"), "v1:1000");
        assert_eq!(log.split("b"), "v1:1000");
        assert_eq!(log.state.rolled_back.len(), 2);
        let ends = log.ends();
        assert!(ends.contains(&"2 a v2 taken back: errors".to_owned()));
        assert!(ends.contains(&"2 b v2 taken back: errors".to_owned()));
        let again = Applied::Ignored(IgnoreReason::NoSuchRollout);
        assert_eq!(log.rollback(2, "b"), again, "a second rollback");
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
fn a_rolled_back_version_cannot_be_requested_again() {
    let mut log = two_rollouts();
    log.rollback(2, "a");
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
fn a_rollback_keeps_routes() {
    let mut log = two_rollouts();
    let mut third = crate::tests::ticket(3, &[("a", "v3")]);
    third.routes.insert("/a".into(), crate::tests::route("a"));
    log.push(crate::Record::Ticket(third));
    log.rollback(3, "a");
    assert!(log.state.routes.contains_key("/a"));
    assert_eq!(log.state.ticket, 3);
    assert_eq!(
        log.split("b"),
        "v1:950 v2:50",
        "the rollout of another ticket continues"
    );
}

#[test]
fn a_rollback_includes_a_later_ticket_for_the_same_version() {
    let mut log = two_rollouts();
    log.ticket(3, &[("a", "v2"), ("c", "v2")]);
    // The author of the rollback had not read ticket 3 yet.
    assert_eq!(log.rollback(2, "a"), Applied::RolledBack);
    for service in ["a", "b", "c"] {
        assert_eq!(log.split(service), "v1:1000", "{service}");
    }
}

#[test]
fn a_later_rollout_continues_from_the_previous_version() {
    let mut log = two_rollouts();
    finish(&mut log, 2, "a");
    log.ticket(3, &[("a", "v3")]);
    log.step(1, 3, "a", 100);
    log.rollback(2, "a");
    assert_eq!(log.split("a"), "v1:900 v3:100");
}

#[test]
fn a_rollout_to_the_previous_version_is_done_when_a_rollback_reverts_to_it() {
    let mut log = two_rollouts();
    finish(&mut log, 2, "a");
    log.ticket(3, &[("a", "v1")]);
    log.rollback(2, "a");
    assert_eq!(log.split("a"), "v1:1000");
    assert!(log.ends().contains(&"3 a v1 done".to_owned()));
}

#[test]
fn a_rollback_never_reverts_to_a_rolled_back_version() {
    let mut log = two_rollouts();
    finish(&mut log, 2, "a");
    log.ticket(3, &[("a", "v1")]);
    assert_eq!(log.rollback(3, "a"), Applied::RolledBack);
    // v1 was rolled back too, so v2 has no version to revert to.
    assert_eq!(log.rollback(2, "b"), Applied::RolledBack);
    assert_eq!(log.split("a"), "v2:1000");
}
