//! Moves by several daemons: their ends, and the controller's failures.

mod fleet;

use std::time::Duration;

use http_edge::block_on;
use ledger::RolloutOutcome;
use ledger::State;
use rollout::lease::LEASE_DURATION;
use standin_log::Outage;
use standin_upstream::Faults;

use crate::fleet::Fleet;
use crate::fleet::moving_share;

/// Most calls that a version may begin after it shows itself bad: its probe calls.
const PROBE_CALLS: u64 = 400;

fn end(state: &State) -> Option<&RolloutOutcome> {
    let report = state.ends.iter().find(|report| report.ticket == 2)?;
    Some(&report.end)
}

fn is_taken_back(state: &State) -> bool {
    matches!(end(state), Some(RolloutOutcome::RolledBack { .. }))
}

/// A version that is bad from the start is taken back within its probe calls, for that reason.
fn check_bad(name: &str, want: &str, faults: &Faults) {
    block_on(async {
        let fleet = Fleet::start().await;
        fleet.set_faults(faults);
        fleet.begin_move().await;
        let state = fleet
            .until("the move ends", |state| end(state).is_some())
            .await;
        let Some(RolloutOutcome::RolledBack { reason }) = end(&state) else {
            panic!("{name}: {:?}", end(&state));
        };
        assert!(reason.starts_with(want), "{name}: {reason}");
        let runs = fleet.runs();
        assert!(runs > 0 && runs <= PROBE_CALLS, "{name}: {runs} calls");
        monoio::time::sleep(LEASE_DURATION).await;
        assert_eq!(fleet.runs(), runs, "{name}: calls after the take-back");
    });
}

#[test]
fn good_version_moves_to_the_end() {
    block_on(async {
        let fleet = Fleet::start().await;
        fleet.begin_move().await;
        let state = fleet
            .until("the move ends", |state| end(state).is_some())
            .await;
        assert_eq!(end(&state), Some(&RolloutOutcome::Done));
        assert_eq!(state.services["bookings"].stable, "v2");
    });
}

#[test]
fn version_that_fails_at_once_is_taken_back() {
    let faults = Faults {
        fail: 1.0,
        ..Faults::default()
    };
    check_bad("fails at once", "calls fail", &faults);
}

#[test]
fn version_that_fails_some_calls_is_taken_back() {
    let faults = Faults {
        fail: 0.3,
        ..Faults::default()
    };
    check_bad("fails some calls", "calls fail", &faults);
}

#[test]
fn version_that_slows_down_is_taken_back() {
    let faults = Faults {
        slow: 8.0,
        ..Faults::default()
    };
    check_bad("slow", "calls are slow", &faults);
}

#[test]
fn version_that_fails_on_one_route_is_taken_back() {
    let faults = Faults {
        fail: 1.0,
        route: "/pay".into(),
        ..Faults::default()
    };
    check_bad("fails on one route", "calls fail on /pay", &faults);
}

#[test]
fn version_that_fails_later_is_taken_back() {
    let faults = Faults {
        fail: 1.0,
        after_calls: 30,
        ..Faults::default()
    };
    check_bad("fails later", "calls fail", &faults);
}

#[test]
fn another_daemon_ends_the_move_when_the_controller_is_killed() {
    block_on(async {
        let fleet = Fleet::start().await;
        fleet.begin_move().await;
        let state = fleet
            .until("a share", |state| moving_share(state) > Some(0))
            .await;
        let killed = state.controller.expect("a controller");
        fleet.kill(&killed);
        let state = fleet
            .until("the move ends", |state| end(state).is_some())
            .await;
        assert_eq!(end(&state), Some(&RolloutOutcome::Done));
        assert_ne!(state.controller, Some(killed));
    });
}

#[test]
fn controller_that_wakes_past_its_lease_changes_nothing() {
    block_on(async {
        let fleet = Fleet::start().await;
        fleet.begin_move().await;
        let state = fleet
            .until("a share", |state| moving_share(state) > Some(0))
            .await;
        let frozen = state.controller.expect("a controller");
        fleet.freeze(&frozen, 4 * LEASE_DURATION);
        let state = fleet
            .until("the move ends", |state| end(state).is_some())
            .await;
        assert_eq!(end(&state), Some(&RolloutOutcome::Done));
        assert_eq!(state.epoch, 2, "one change of the controller");
        assert_ne!(state.controller, Some(frozen));
    });
}

#[test]
fn version_that_turns_bad_while_the_log_is_down_gets_nothing() {
    block_on(async {
        let fleet = Fleet::start().await;
        fleet.begin_move().await;
        fleet
            .until("a share", |state| moving_share(state) > Some(0))
            .await;
        fleet.log.set_faults(&outage(Outage::Refuse));
        fleet.set_faults(&Faults {
            fail: 1.0,
            ..Faults::default()
        });
        let before = fleet.runs();
        let runs = until_silent(&fleet).await;
        assert!(runs - before <= PROBE_CALLS, "{} calls", runs - before);
        let states = fleet.states().await;
        assert!(!states.iter().any(is_taken_back), "the log is down");
        fleet.log.set_faults(&outage(Outage::None));
        fleet.until("the record follows", is_taken_back).await;
    });
}

/// Waits until the bad version has had no call for the life of a lease; gives its calls.
async fn until_silent(fleet: &Fleet) -> u64 {
    for _ in 0..20 {
        let runs = fleet.runs();
        monoio::time::sleep(LEASE_DURATION).await;
        if fleet.runs() == runs {
            return runs;
        }
    }
    panic!("the bad version still has calls");
}

fn outage(outage: Outage) -> standin_log::Faults {
    standin_log::Faults {
        outage: Some(outage),
        latency: Some(Duration::ZERO),
        ..standin_log::Faults::default()
    }
}
