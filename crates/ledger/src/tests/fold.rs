//! Racing, repeated and later tickets, epochs, shares and bounds.

use crate::Applied;
use crate::IgnoreReason;
use crate::Phase;
use crate::Record;
use crate::RejectReason;
use crate::StampedRecord;
use crate::State;
use crate::Ticket;
use crate::check_ticket;
use crate::fold::MAX_RECENT_IDS;
use crate::fold::MAX_ROLLOUT_ENDS;
use crate::fold::MAX_VERDICTS;
use crate::tests::Log;
use crate::tests::START;
use crate::tests::route;
use crate::tests::spec;
use crate::tests::stamped;
use crate::tests::ticket;

/// Two services on v1, a route to `a`, epoch 1, and a rollout of `a` to v2 by ticket 2.
fn log_with_rollout() -> Log {
    let mut log = Log::default();
    let mut first = ticket(1, &[("a", "v1"), ("b", "v1")]);
    first.routes.insert("/a".into(), route("a"));
    assert_eq!(log.push(Record::Ticket(first)), Applied::Accepted);
    assert_eq!(log.claim(1), Applied::Claimed);
    assert_eq!(log.ticket(2, &[("a", "v2")]), Applied::Accepted);
    assert_eq!(log.step(1, 2, "a", 50), Applied::Stepped);
    log
}

#[test]
fn of_two_racing_tickets_the_lower_offset_wins() {
    let mut log = Log::default();
    assert_eq!(log.ticket(7, &[("a", "v1")]), Applied::Accepted);
    let taken = RejectReason::NumberTaken { last: 7 };
    assert_eq!(
        log.ticket(7, &[("a", "v2")]),
        Applied::Rejected(taken.clone())
    );
    assert_eq!(log.ticket(6, &[("b", "v1")]), Applied::Rejected(taken));
    assert_eq!(log.split("a"), "v1:1000");
    assert_eq!(log.split("b"), "");
    let verdicts: Vec<bool> = log
        .state
        .verdicts
        .iter()
        .map(|v| v.rejected.is_none())
        .collect();
    assert_eq!(verdicts, [true, false, false]);
}

#[test]
fn a_ticket_is_accepted_or_rejected_as_a_whole() {
    let check = |edit: fn(&mut Ticket), want: Result<(), RejectReason>| {
        let mut log = log_with_rollout();
        log.rollback(2, "a");
        let mut ticket = ticket(3, &[("c", "v1")]);
        edit(&mut ticket);
        let before = log.state.clone();
        assert_eq!(check_ticket(&before, &ticket), want);
        let applied = log.push(Record::Ticket(ticket));
        match want {
            Ok(()) => assert_eq!(applied, Applied::Accepted),
            Err(reason) => {
                assert_eq!(applied, Applied::Rejected(reason));
                assert_eq!(log.state.services, before.services);
                assert_eq!(log.state.routes, before.routes);
                assert_eq!(log.state.ticket, before.ticket);
            }
        }
    };
    check(|_| (), Ok(()));
    check(
        |t| t.remove_services.push("a".into()),
        Err(RejectReason::RouteWithoutService {
            route: "/a".into(),
            service: "a".into(),
        }),
    );
    check(
        |t| {
            t.remove_services.push("a".into());
            t.remove_routes.push("/a".into());
        },
        Ok(()),
    );
    check(
        |t| {
            t.remove_services.push("a".into());
            t.routes.insert("/a".into(), route("c"));
        },
        Ok(()),
    );
    check(
        |t| {
            t.routes.insert("/d".into(), route("d"));
        },
        Err(RejectReason::RouteWithoutService {
            route: "/d".into(),
            service: "d".into(),
        }),
    );
    check(
        |t| t.remove_services.push("d".into()),
        Err(RejectReason::UnknownService("d".into())),
    );
    check(
        |t| t.remove_routes.push("/d".into()),
        Err(RejectReason::UnknownRoute("/d".into())),
    );
    check(
        |t| {
            t.services.insert("a".into(), spec("v2"));
        },
        Err(RejectReason::VersionRolledBack {
            service: "a".into(),
            version: "v2".into(),
        }),
    );
    check(
        |t| {
            t.services.insert("b".into(), spec("v1"));
            t.remove_services.push("b".into());
        },
        Err(RejectReason::Contradiction("services.b".into())),
    );
    check(|t| t.ticket = 2, Err(RejectReason::NumberTaken { last: 2 }));
}

#[test]
fn a_later_ticket_supersedes_the_rollout_of_its_services() {
    let check = |versions: &[(&str, &str)], split: &str, ends: &[&str]| {
        let mut log = log_with_rollout();
        assert_eq!(log.ticket(3, versions), Applied::Accepted);
        assert_eq!(log.split("a"), split, "{versions:?}");
        assert_eq!(log.ends(), ends, "{versions:?}");
    };
    let superseded = "2 a v2 superseded by ticket 3";
    check(&[("b", "v2")], "v1:950 v2:50", &[]);
    check(&[("a", "v3")], "v1:1000", &[superseded]);
    check(&[("a", "v2")], "v1:950 v2:50", &[superseded]);
    check(&[("a", "v1")], "v1:1000", &[superseded]);
}

#[test]
fn a_later_ticket_for_the_same_version_keeps_the_rollout_progress() {
    let mut log = log_with_rollout();
    let mut again = ticket(3, &[("a", "v2")]);
    let spec = again.services.get_mut("a").expect("ticket sets a");
    spec.finish_by = Some(START + 60_000);
    spec.policy.probe_share = 10;
    log.push(Record::Ticket(again));
    let service = &log.state.services["a"];
    let rollout = service.rollout.as_ref().expect("a has a rollout");
    assert_eq!(rollout.ticket, 3);
    assert_eq!(rollout.share, 50);
    assert_eq!(rollout.finish_by, Some(START + 60_000));
    assert_eq!(service.policy.probe_share, 10);
    let no_rollout = Applied::Ignored(IgnoreReason::NoSuchRollout);
    assert_eq!(log.step(1, 2, "a", 500), no_rollout);
    assert_eq!(log.step(1, 3, "a", 500), Applied::Stepped);
}

#[test]
fn removing_a_service_supersedes_its_rollout() {
    let mut log = log_with_rollout();
    let mut removal = ticket(3, &[]);
    removal.remove_services.push("a".into());
    removal.remove_routes.push("/a".into());
    assert_eq!(log.push(Record::Ticket(removal)), Applied::Accepted);
    assert_eq!(log.ends(), ["2 a v2 superseded by ticket 3"]);
    assert!(log.state.routes.is_empty());
}

#[test]
fn records_of_a_stale_epoch_are_ignored() {
    let stale = Applied::Ignored(IgnoreReason::StaleEpoch { current: 2 });
    let mut log = log_with_rollout();
    assert_eq!(log.claim(2), Applied::Claimed);
    assert_eq!(log.claim(2), stale, "the second claim of an epoch");
    assert_eq!(log.claim(4), stale, "a claim that skips an epoch");
    assert_eq!(log.state.controller.as_deref(), Some("d2"));
    assert_eq!(
        log.step(1, 2, "a", 1000),
        stale,
        "a step of the former controller"
    );
    assert_eq!(log.step(3, 2, "a", 1000), stale);
    assert_eq!(log.finish(1, 2, "a"), stale);
    assert_eq!(log.split("a"), "v1:950 v2:50");
    assert_eq!(log.step(2, 2, "a", 100), Applied::Stepped);
}

#[test]
fn steps_that_do_not_raise_the_share_or_exceed_the_maximum_are_ignored() {
    let check = |share: u16, want: Applied| {
        let mut log = log_with_rollout();
        assert_eq!(log.step(1, 2, "a", share), want, "{share}");
    };
    let not_above = Applied::Ignored(IgnoreReason::ShareNotAbove);
    check(0, not_above.clone());
    check(49, not_above.clone());
    check(50, not_above.clone());
    check(51, Applied::Stepped);
    check(1000, Applied::Stepped);
    check(1001, not_above);
}

#[test]
fn a_rollout_finishes_only_after_the_full_share() {
    let mut log = log_with_rollout();
    let ignored = Applied::Ignored(IgnoreReason::NoSuchRollout);
    assert_eq!(log.finish(1, 2, "a"), ignored);
    log.step(1, 2, "a", 1000);
    let rollout = log.state.services["a"]
        .rollout
        .as_ref()
        .expect("a has a rollout");
    assert_eq!(rollout.phase, Phase::Watching(START + 5000));
    assert_eq!(log.finish(1, 2, "a"), Applied::Finished);
    assert_eq!(log.finish(1, 2, "a"), ignored, "a second time");
    let service = &log.state.services["a"];
    assert_eq!(service.stable, "v2");
    assert_eq!(service.previous.as_deref(), Some("v1"));
    assert_eq!(log.ends(), ["2 a v2 done"]);
}

#[test]
fn the_time_of_the_full_share_decides_whether_a_rollout_is_late() {
    let check = |finish_by: u64, want: &str| {
        let mut log = Log::default();
        log.ticket(1, &[("a", "v1")]);
        log.claim(1);
        let mut second = ticket(2, &[("a", "v2")]);
        second
            .services
            .get_mut("a")
            .expect("ticket sets a")
            .finish_by = Some(finish_by);
        log.push(Record::Ticket(second));
        log.step(1, 2, "a", 1000);
        log.finish(1, 2, "a");
        assert_eq!(log.ends(), [want]);
    };
    // The step is record 3, the finish record 4.
    check(START + 3000, "2 a v2 done");
    check(START + 2500, "2 a v2 done late by 500ms");
}

#[test]
fn old_offsets_are_ignored_and_gaps_are_out_of_order() {
    let mut log = log_with_rollout();
    let before = log.state.clone();
    let next = before.next;
    let claim = Record::Claim {
        epoch: 2,
        controller: "x".into(),
    };
    let old = log.state.apply(&stamped(next - 1, claim.clone()));
    assert_eq!(old, Applied::Ignored(IgnoreReason::OldOffset));
    let gap = log.state.apply(&stamped(next + 1, claim));
    assert_eq!(gap, Applied::OutOfOrder { want: next });
    assert_eq!(log.state, before);
}

#[test]
fn an_unreadable_record_advances_only_the_offset() {
    let mut log = log_with_rollout();
    let before = log.state.clone();
    let record = StampedRecord::from_text(before.next, "{\"id\":\"x\",\"future\":1}");
    let applied = log.state.apply(&record);
    assert_eq!(applied, Applied::Ignored(IgnoreReason::Unreadable));
    let next = before.next + 1;
    assert_eq!(log.state, State { next, ..before });
}

#[test]
fn ids_verdicts_and_rollout_ends_are_bounded() {
    let mut log = Log::default();
    for number in 1..1000 {
        let version = if number % 2 == 0 { "v1" } else { "v2" };
        log.ticket(number, &[("a", version), ("b", version)]);
    }
    assert_eq!(log.state.recent_ids.len(), MAX_RECENT_IDS);
    assert_eq!(log.state.verdicts.len(), MAX_VERDICTS);
    assert!(log.state.ends.len() <= MAX_ROLLOUT_ENDS);
}
