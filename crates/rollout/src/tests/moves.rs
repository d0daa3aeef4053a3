//! Simulations of whole rollouts: wrong verdicts, calls on bad versions, detection time.

use std::time::Duration;

use crate::policy;
use crate::simulation::Behaviour;
use crate::simulation::Simulation;
use crate::simulation::summarize;

/// Simulations per behaviour.
const RUNS: u32 = 40;

fn daytime(behaviour: Behaviour) -> Simulation {
    Simulation {
        calls_per_second: 60.0,
        finish_within: Some(Duration::from_mins(4)),
        ..Simulation::new(behaviour, 7)
    }
}

#[test]
fn good_versions_finish_in_time() {
    let cold = Simulation {
        cold_start: Duration::from_mins(1),
        ..daytime(Behaviour::Good)
    };
    for simulation in [daytime(Behaviour::Good), cold] {
        let summary = summarize(&simulation, RUNS);
        assert_eq!(
            (summary.on_time, summary.rolled_back),
            (RUNS, 0),
            "{summary}"
        );
    }
}

#[test]
fn bad_versions_are_rolled_back_whatever_their_fault() {
    for behaviour in Behaviour::BAD {
        let summary = summarize(&daytime(behaviour), RUNS);
        assert_eq!(summary.rolled_back, RUNS, "{summary}");
    }
}

#[test]
fn versions_bad_from_the_start_stay_within_their_probe_calls() {
    let limit = u64::from(policy::tanoa().probe_calls);
    for behaviour in [
        Behaviour::FailsAtOnce,
        Behaviour::FailsSome,
        Behaviour::Slow,
        Behaviour::FailsOnOneRoute,
    ] {
        let summary = summarize(&daytime(behaviour), RUNS);
        let highest = summary
            .calls_until_rollback
            .last()
            .copied()
            .unwrap_or_default();
        assert!(
            highest <= limit,
            "{highest} calls, at most {limit}: {summary}"
        );
    }
}

#[test]
fn versions_that_fail_at_once_are_found_within_few_calls() {
    let night = Simulation {
        calls_per_second: 1.0,
        ..daytime(Behaviour::FailsAtOnce)
    };
    let summary = summarize(&night, RUNS);
    let highest = summary
        .calls_until_rollback
        .last()
        .copied()
        .unwrap_or_default();
    assert!(summary.rolled_back == RUNS && highest <= 10, "{summary}");
}

#[test]
fn few_calls_hold_the_rollout_under_safety_and_not_under_on_time() {
    let night = Simulation {
        calls_per_second: 0.3,
        max_ticks: 600,
        ..daytime(Behaviour::Good)
    };
    let summary = summarize(&night, RUNS);
    assert_eq!((summary.done, summary.rolled_back), (0, 0), "{summary}");
    let on_time = Simulation {
        policy: policy::glykotheke(),
        ..night
    };
    let summary = summarize(&on_time, RUNS);
    assert_eq!(summary.on_time, RUNS, "{summary}");
}

#[test]
fn faults_that_come_late_are_found_as_fast_as_early_ones() {
    for behaviour in [Behaviour::FailsLater, Behaviour::FailsUnderLoad] {
        let summary = summarize(&daytime(behaviour), RUNS);
        let highest = summary
            .ticks_until_rollback
            .last()
            .copied()
            .unwrap_or_default();
        assert!(highest <= 6, "{highest} ticks, at most 6: {summary}");
    }
}
