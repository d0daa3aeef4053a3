//! Tests that the demo's checks detect each violated guarantee.

use std::collections::VecDeque;
use std::time::Duration;

use ledger::RolloutEnd;
use ledger::RolloutOutcome;
use ledger::State;
use protocol::status::Status;
use standin_caller::CallRecord;
use standin_caller::Outcome;

use crate::demo::checks::Held;
use crate::demo::checks::Observations;
use crate::demo::checks::all;
use crate::demo::watcher::HighWaterMark;
use crate::demo::watcher::WatchCounts;
use crate::table;

fn end(ticket: u64, service: &str, end: RolloutOutcome) -> RolloutEnd {
    RolloutEnd {
        ticket,
        service: service.into(),
        from: "v1".into(),
        to: "v2".into(),
        end,
        at: 0,
    }
}

fn status() -> Status {
    let text = r#"{"next": 9, "ticket": 3, "epoch": 1, "controller": "a", "routes": {}, "bad": [],
        "verdicts": [], "ends": [], "recent": [], "services": {
        "bookings": {"stable": "v2", "previous": "v1", "ticket": 2, "moving": null, "policy": {}},
        "payments": {"stable": "v1", "previous": null, "ticket": 3, "moving": null, "policy": {}}}}"#;
    let mut state: State = serde_json::from_str(text).unwrap();
    let rolled_back = RolloutOutcome::RolledBack {
        reason: "errors".into(),
    };
    state.ends = VecDeque::from([
        end(2, "bookings", RolloutOutcome::Done),
        end(3, "payments", rolled_back),
    ]);
    Status {
        daemon: "a".into(),
        incarnation: 1,
        zone: "suva-a".into(),
        next: 9,
        ticket: 3,
        epoch: 1,
        controller: Some("a".into()),
        members: Vec::new(),
        state,
    }
}

fn record(id: String, outcome: Outcome) -> CallRecord {
    CallRecord::new(id.into(), outcome, Duration::from_millis(1))
}

/// Returns observations with which all checks pass.
fn good() -> Observations {
    let ids: Vec<String> = (0..100).map(|n| format!("o.payments.1.{n}")).collect();
    let record = |id: &String| record(id.clone(), Outcome::Ok("v1".into()));
    Observations {
        records: ids.iter().map(record).collect(),
        runs: ids.iter().map(|id| (id.into(), 1)).collect(),
        statuses: vec![status(), status()],
        bad_runs: [5, 5],
        stops: [3, 3],
        watched: WatchCounts {
            reads: 10,
            regressed: 0,
        },
        refusals: [2, 2],
    }
}

fn failed(observed: &Observations) -> Vec<&'static str> {
    let checks = all(observed);
    let failed = checks.iter().filter(|check| check.held == Held::No);
    failed.map(|check| check.name).collect()
}

/// Checks that a change of good observations fails only the named check.
#[track_caller]
fn check(name: &str, change: impl FnOnce(&mut Observations)) {
    let mut observed = good();
    change(&mut observed);
    assert_eq!(failed(&observed), [name]);
}

#[test]
fn good_observations_pass_every_check() {
    assert_eq!(failed(&good()), [""; 0]);
}

#[test]
fn each_call_fault_fails_its_check() {
    let with = |outcome| {
        move |observed: &mut Observations| {
            observed
                .records
                .push(record("o.payments.1.x".to_owned(), outcome));
        }
    };
    check("answers cut short or crossed", with(Outcome::Wrong));
    check("requests cut", with(Outcome::Cut));
    check("calls without an answer in time", with(Outcome::Late));
    check(
        "calls without an answer in time",
        with(Outcome::Unreachable),
    );
    check("calls of unknown outcome", with(Outcome::Unknown));
    let without = Outcome::RefusedWithoutRetryAfter;
    check("refusals without Retry-After", with(without));
    check("answered calls that ran", with(Outcome::Ok("v1".into())));
    check("calls answered", |observed| {
        let refused = |n| record(format!("o.payments.1.r{n}"), Outcome::Refused);
        observed.records.extend((0..100).map(refused));
    });
    check("runs of calls refused as not run", |observed| {
        observed.records[7].outcome = Outcome::Refused;
    });
    check("doubled runs of at-most-once calls", |observed| {
        observed.runs.insert("o.payments.1.7".into(), 2);
    });
}

#[test]
fn each_rollout_or_ticket_fault_fails_its_check() {
    check("payments that reached the bad version", |observed| {
        observed.bad_runs = [11, 11];
    });
    check("of them, later than it was taken back", |observed| {
        observed.bad_runs = [5, 6];
    });
    check("planned stops", |observed| observed.stops = [3, 2]);
    check("statuses older than before", |observed| {
        observed.watched.regressed = 1;
    });
    check("faulty tickets refused", |observed| {
        observed.refusals = [2, 1];
    });
    check("daemons with the last ticket", |observed| {
        observed.statuses[1].ticket = 2;
    });
    check("move of bookings in time", |observed| {
        for status in &mut observed.statuses {
            status.state.ends[0].end = RolloutOutcome::DoneLate { by_ms: 1 };
        }
    });
    check("end of the move of payments", |observed| {
        observed.statuses[0].state.ends.pop_back();
    });
    check("payments back on v1", |observed| {
        let services = &mut observed.statuses[1].state.services;
        services.get_mut("payments").unwrap().stable = "v2".into();
    });
}

#[test]
fn an_older_status_is_detected_before_and_after_a_restart() {
    let at = |incarnation, next, ticket| Status {
        incarnation,
        next,
        ticket,
        ..status()
    };
    let mut mark = HighWaterMark::default();
    assert!(!mark.observe(&at(1, 9, 3)));
    assert!(mark.observe(&at(1, 8, 3)));
    assert!(!mark.observe(&at(2, 0, 0)));
    assert!(mark.observe(&at(2, 5, 2)));
    assert!(!mark.observe(&at(2, 9, 3)));
}

#[test]
fn columns_are_as_wide_as_their_widest_cell() {
    let rows = [["a".to_owned(), "1".to_owned()]];
    assert_eq!(table::format(["name", "n"], &rows), "name  n\na     1\n");
}
