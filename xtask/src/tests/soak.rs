//! Tests that the soak's checker detects violations, and that a plan depends only on its seed.

use std::time::Duration;
use std::time::Instant;

use crate::soak::checker::CONFIG_APPLY_TIME;
use crate::soak::checker::Checker;
use crate::soak::checker::DRAIN_TIME;
use crate::soak::checker::Exposure;
use crate::soak::checker::Guarantees;
use crate::soak::checker::Probe;
use crate::soak::notices::NoticeChecker;
use crate::soak::notices::Stated;
use crate::soak::notices::Statement;
use crate::soak::plan::PlanKind;
use crate::soak::plan::draw;

const MS: Duration = Duration::from_millis(1);

/// Passes observations to a new checker and compares the number of violations.
fn check(what: &str, observe: impl Fn(&mut Checker, Instant), expected: usize) {
    let mut checker = Checker::new(Guarantees::All);
    observe(&mut checker, Instant::now());
    assert_eq!(checker.violations().len(), expected, "{what}: {checker:?}");
}

#[test]
fn duplicate_runs_and_runs_of_refused_requests_are_violations() {
    check(
        "one run",
        |checker, _| checker.request_ran("1", "a", "/a/1", false),
        0,
    );
    let twice = |is_repeatable: bool| {
        move |checker: &mut Checker, _| {
            checker.request_ran("1", "a", "/a/1", is_repeatable);
            checker.request_ran("1", "a", "/a/1", is_repeatable);
        }
    };
    check("two runs of an idempotent request", twice(true), 0);
    check("two runs of an at-most-once request", twice(false), 1);
    check(
        "request for another service",
        |checker, _| checker.request_ran("1", "b", "/a/1", true),
        1,
    );
    let run_then_refuse = |checker: &mut Checker, _| {
        checker.request_ran("1", "a", "/a/1", true);
        checker.request_refused("1");
    };
    check("refused after it ran", run_then_refuse, 1);
    let refuse_then_run = |checker: &mut Checker, _| {
        checker.request_refused("1");
        checker.request_ran("1", "a", "/a/1", true);
    };
    check("ran after it was refused", refuse_then_run, 1);
}

#[test]
fn truncated_or_foreign_responses_are_violations() {
    let answer = |body: &'static [u8], stamp: Option<&'static str>| {
        move |checker: &mut Checker, _| checker.request_succeeded("1", body, b"whole", stamp)
    };
    check("complete and stamped", answer(b"whole", Some("1")), 0);
    check("truncated", answer(b"whol", Some("1")), 1);
    check(
        "stamped for another request",
        answer(b"whole", Some("2")),
        1,
    );
    check("without a stamp", answer(b"whole", None), 1);
}

#[test]
fn a_request_cut_during_planned_operations_is_a_violation() {
    let cut = |runs: bool, waited: Duration, fault_age: Option<Duration>| {
        move |checker: &mut Checker, now: Instant| {
            if let Some(ago) = fault_age {
                checker.note_fault(
                    now.checked_sub(ago)
                        .expect("the monotonic clock is past the offset"),
                );
            }
            if runs {
                checker.request_ran("1", "a", "/a/1", true);
            }
            checker.request_cut("1", now, now + waited);
        }
    };
    check(
        "cut while the connection closed",
        cut(false, 10 * MS, None),
        0,
    );
    check("cut after it ran", cut(true, 10 * MS, None), 1);
    check("cut after it was read", cut(false, 300 * MS, None), 1);
    check(
        "cut shortly after an unplanned fault",
        cut(true, 300 * MS, Some(1000 * MS)),
        0,
    );
    check(
        "cut long after an unplanned fault",
        cut(true, 300 * MS, Some(4000 * MS)),
        1,
    );
}

#[test]
fn late_or_regressed_configurations_are_violations() {
    let probe = |version: u64, age: Duration, is_known: bool, now: Instant| Probe {
        machine: 1,
        process: 1,
        version,
        acknowledged: now,
        sent: now + age,
        answered: now + age,
        is_known,
        is_settled: true,
    };
    let late = CONFIG_APPLY_TIME + MS;
    check(
        "unknown before it is due",
        |checker, now| checker.probe_answered(&probe(4, MS, false, now)),
        0,
    );
    check(
        "unknown after it is due",
        |checker, now| checker.probe_answered(&probe(4, late, false, now)),
        1,
    );
    let back = |age: Duration, process: u32| {
        move |checker: &mut Checker, now: Instant| {
            checker.probe_answered(&probe(4, MS, true, now));
            checker.probe_answered(&Probe {
                process,
                ..probe(4, age, false, now)
            });
        }
    };
    check("older response within the slack", back(100 * MS, 1), 0);
    check("back to an older configuration", back(500 * MS, 1), 1);
    check("not yet known to a new process", back(500 * MS, 2), 0);
}

#[test]
fn excess_requests_to_draining_instances_or_bad_versions_are_violations() {
    let reach = |age: Duration| {
        move |checker: &mut Checker, now: Instant| checker.reached_draining("1", now, now + age)
    };
    check("request within the drain time", reach(DRAIN_TIME), 0);
    check("request after the drain time", reach(DRAIN_TIME + MS), 1);
    let expose = |all: u32, target: u32| {
        move |checker: &mut Checker, _| checker.check_exposure(Exposure { all, target })
    };
    check("at the limit of a tenth and 50", expose(1000, 150), 0);
    check("above the limit", expose(1000, 151), 1);
}

#[test]
fn a_plan_depends_on_its_seed_alone() {
    let length = Duration::from_mins(1);
    for seed in 0..30 {
        let (plan_kind, steps) = draw(seed, length, 24);
        assert_eq!(steps, draw(seed, length, 24).1);
        assert_ne!(steps, draw(seed + 3, length, 24).1);
        let is_planned = steps.iter().all(|step| step.action.is_planned());
        assert_eq!(is_planned, plan_kind == PlanKind::Planned, "seed {seed}");
    }
}

/// Returns the number of violations when an instance states the limits one after the other, each for 10 s, and gets so
/// many requests in each of these seconds.
fn violations_of_limits(periods: &[(f64, u32)]) -> usize {
    let mut notices = NoticeChecker::default();
    let mut now = Instant::now();
    let mut violations = 0;
    for (period, (per_sec, arrivals)) in periods.iter().enumerate() {
        let statement = Statement {
            limit: Some((*per_sec, now)),
            is_leaving: false,
        };
        for number in 0..10 * arrivals {
            let id = format!("{period}-{number}");
            notices.request_sent(&id, 1, now);
            let violation = notices.arrived(&id, "i", statement, now);
            violations += usize::from(violation.is_some());
            let stated = Stated {
                limit: Some(*per_sec),
                leaving: false,
            };
            notices.answer_passed_on(&id, "i", stated, now);
            now += Duration::from_secs(1) / *arrivals;
        }
    }
    violations
}

/// Guards against requests under an earlier limit that count against a lower one.
#[test]
fn each_limit_that_an_instance_states_is_held() {
    assert_eq!(violations_of_limits(&[(10.0, 10)]), 0);
    assert_eq!(violations_of_limits(&[(25.0, 20), (1.0, 1)]), 0);
    assert!(violations_of_limits(&[(1.0, 10)]) > 0);
    assert!(violations_of_limits(&[(25.0, 20), (1.0, 10)]) > 0);
    assert_eq!(violations_of_limits(&[(1.0, 1), (25.0, 20)]), 0);
}
