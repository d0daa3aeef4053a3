//! Tests of rollouts with several daemons: their outcomes, and failures of the controller.

mod fleet;

use std::time::Duration;

use http_edge::block_on;
use ledger::RolloutOutcome;
use ledger::State;
use rollout::lease::LEASE_DURATION;
use standin_log::Outage;
use standin_upstream::Faults;

use crate::fleet::Fleet;
use crate::fleet::rollout_share;

/// Most calls that a bad version may run: the `probe_calls` of its ticket.
const PROBE_CALLS: u64 = 400;

fn rollout_outcome(state: &State) -> Option<&RolloutOutcome> {
    let report = state.ends.iter().find(|report| report.ticket == 2)?;
    Some(&report.end)
}

fn is_rolled_back(state: &State) -> bool {
    matches!(
        rollout_outcome(state),
        Some(RolloutOutcome::RolledBack { .. })
    )
}

/// Checks that a bad version is rolled back within its probe calls, with a reason that starts with
/// `want`.
fn check_rollback(name: &str, want: &str, faults: &Faults) {
    block_on(async {
        let fleet = Fleet::start().await;
        fleet.set_faults(faults);
        fleet.start_rollout().await;
        let state = fleet
            .wait_until("the rollout ends", |state| rollout_outcome(state).is_some())
            .await;
        let Some(RolloutOutcome::RolledBack { reason }) = rollout_outcome(&state) else {
            panic!("{name}: {:?}", rollout_outcome(&state));
        };
        assert!(reason.starts_with(want), "{name}: {reason}");
        let runs = fleet.runs();
        assert!(runs > 0 && runs <= PROBE_CALLS, "{name}: {runs} calls");
        monoio::time::sleep(LEASE_DURATION).await;
        assert_eq!(fleet.runs(), runs, "{name}: calls after the rollback");
    });
}

#[test]
fn good_version_is_rolled_out_completely() {
    block_on(async {
        let fleet = Fleet::start().await;
        fleet.start_rollout().await;
        let state = fleet
            .wait_until("the rollout ends", |state| rollout_outcome(state).is_some())
            .await;
        assert_eq!(rollout_outcome(&state), Some(&RolloutOutcome::Done));
        assert_eq!(state.services["bookings"].stable, "v2");
    });
}

#[test]
fn version_that_fails_at_once_is_rolled_back() {
    let faults = Faults {
        fail: 1.0,
        ..Faults::default()
    };
    check_rollback("fails at once", "calls fail", &faults);
}

#[test]
fn version_that_fails_some_calls_is_rolled_back() {
    let faults = Faults {
        fail: 0.3,
        ..Faults::default()
    };
    check_rollback("fails some calls", "calls fail", &faults);
}

#[test]
fn version_that_slows_down_is_rolled_back() {
    let faults = Faults {
        slow: 8.0,
        ..Faults::default()
    };
    check_rollback("slow", "calls are slow", &faults);
}

#[test]
fn version_that_fails_on_one_route_is_rolled_back() {
    let faults = Faults {
        fail: 1.0,
        route: "/pay".into(),
        ..Faults::default()
    };
    check_rollback("fails on one route", "calls fail on /pay", &faults);
}

#[test]
fn version_that_fails_later_is_rolled_back() {
    let faults = Faults {
        fail: 1.0,
        after_calls: 30,
        ..Faults::default()
    };
    check_rollback("fails later", "calls fail", &faults);
}

#[test]
fn another_daemon_finishes_the_rollout_when_the_controller_is_killed() {
    block_on(async {
        let fleet = Fleet::start().await;
        fleet.start_rollout().await;
        let state = fleet
            .wait_until("a share", |state| rollout_share(state) > Some(0))
            .await;
        let killed = state.controller.expect("a controller");
        fleet.kill(&killed);
        let state = fleet
            .wait_until("the rollout ends", |state| rollout_outcome(state).is_some())
            .await;
        assert_eq!(rollout_outcome(&state), Some(&RolloutOutcome::Done));
        assert_ne!(state.controller, Some(killed));
    });
}

#[test]
fn controller_that_wakes_past_its_lease_changes_nothing() {
    block_on(async {
        let fleet = Fleet::start().await;
        fleet.start_rollout().await;
        let state = fleet
            .wait_until("a share", |state| rollout_share(state) > Some(0))
            .await;
        let paused = state.controller.expect("a controller");
        fleet.pause(&paused, 4 * LEASE_DURATION);
        let state = fleet
            .wait_until("the rollout ends", |state| rollout_outcome(state).is_some())
            .await;
        assert_eq!(rollout_outcome(&state), Some(&RolloutOutcome::Done));
        assert_eq!(state.epoch, 2, "the controller changes once");
        assert_ne!(state.controller, Some(paused));
    });
}

#[test]
fn version_that_turns_bad_while_the_log_is_down_gets_no_calls() {
    block_on(async {
        let fleet = Fleet::start().await;
        fleet.start_rollout().await;
        fleet
            .wait_until("a share", |state| rollout_share(state) > Some(0))
            .await;
        fleet.log.set_faults(&outage(Outage::Refuse));
        fleet.set_faults(&Faults {
            fail: 1.0,
            ..Faults::default()
        });
        let before = fleet.runs();
        let runs = wait_until_no_calls(&fleet).await;
        assert!(runs - before <= PROBE_CALLS, "{} calls", runs - before);
        let states = fleet.states().await;
        assert!(!states.iter().any(is_rolled_back), "the log is down");
        fleet.log.set_faults(&outage(Outage::None));
        fleet.wait_until("the record follows", is_rolled_back).await;
    });
}

/// Waits until the bad version gets no call for one lease duration; returns the number of its calls.
async fn wait_until_no_calls(fleet: &Fleet) -> u64 {
    for _ in 0..20 {
        let runs = fleet.runs();
        monoio::time::sleep(LEASE_DURATION).await;
        if fleet.runs() == runs {
            return runs;
        }
    }
    panic!("the bad version still gets calls");
}

fn outage(outage: Outage) -> standin_log::Faults {
    standin_log::Faults {
        outage: Some(outage),
        latency: Some(Duration::ZERO),
        ..standin_log::Faults::default()
    }
}
