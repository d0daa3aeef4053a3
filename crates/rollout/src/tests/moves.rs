//! Whole moves with simulated calls: error rates, calls on bad versions, time.

use std::time::Duration;

use crate::policy;
use crate::simulation::Behaviour;
use crate::simulation::Simulation;
use crate::simulation::summarize;

/// Trials of one kind of version.
const TRIALS: u32 = 40;

fn by_day(behaviour: Behaviour) -> Simulation {
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
        ..by_day(Behaviour::Good)
    };
    for trial in [by_day(Behaviour::Good), cold] {
        let row = summarize(&trial, TRIALS);
        assert_eq!((row.on_time, row.taken_back), (TRIALS, 0), "{row}");
    }
}

#[test]
fn bad_versions_are_taken_back_whatever_their_fault() {
    for behaviour in Behaviour::BAD {
        let row = summarize(&by_day(behaviour), TRIALS);
        assert_eq!(row.taken_back, TRIALS, "{row}");
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
        let row = summarize(&by_day(behaviour), TRIALS);
        let most = row.calls.last().copied().unwrap_or_default();
        assert!(most <= limit, "{most} calls, at most {limit}: {row}");
    }
}

#[test]
fn versions_that_fail_at_once_are_found_within_few_calls() {
    let night = Simulation {
        calls_per_second: 1.0,
        ..by_day(Behaviour::FailsAtOnce)
    };
    let row = summarize(&night, TRIALS);
    let most = row.calls.last().copied().unwrap_or_default();
    assert!(row.taken_back == TRIALS && most <= 10, "{row}");
}

#[test]
fn scarce_calls_hold_for_safety_and_go_on_for_the_time() {
    let night = Simulation {
        calls_per_second: 0.3,
        ticks: 600,
        ..by_day(Behaviour::Good)
    };
    let row = summarize(&night, TRIALS);
    assert_eq!((row.done, row.taken_back), (0, 0), "{row}");
    let on_time = Simulation {
        policy: policy::glykotheke(),
        ..night
    };
    let row = summarize(&on_time, TRIALS);
    assert_eq!(row.on_time, TRIALS, "{row}");
}

#[test]
fn faults_that_come_late_are_found_as_fast_as_early_ones() {
    for behaviour in [Behaviour::FailsLater, Behaviour::FailsUnderLoad] {
        let row = summarize(&by_day(behaviour), TRIALS);
        let most = row.ticks.last().copied().unwrap_or_default();
        assert!(most <= 6, "{most} ticks, at most 6: {row}");
    }
}
