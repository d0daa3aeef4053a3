//! The checker of the soak finds what it looks for, and a plan depends on its seed alone.

use std::time::Duration;
use std::time::Instant;

use crate::soak::checker::Bounds;
use crate::soak::checker::CONFIG_APPLY_TIME;
use crate::soak::checker::Checker;
use crate::soak::checker::DRAIN_TIME;
use crate::soak::checker::Exposure;
use crate::soak::checker::Probe;
use crate::soak::plan::PlanKind;
use crate::soak::plan::draw;

const MS: Duration = Duration::from_millis(1);

/// Judges what happens and compares the number of violations.
fn check(what: &str, happen: impl Fn(&mut Checker, Instant), expected: usize) {
    let mut checker = Checker::new(Bounds::Timed);
    happen(&mut checker, Instant::now());
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
    check("two runs of a safe one", twice(true), 0);
    check("two runs of an unsafe one", twice(false), 1);
    check(
        "another service",
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
    check("whole", answer(b"whole", Some("1")), 0);
    check("short", answer(b"whol", Some("1")), 1);
    check("of another", answer(b"whole", Some("2")), 1);
    check("unsigned", answer(b"whole", None), 1);
}

#[test]
fn a_request_cut_by_planned_work_is_a_violation() {
    let cut = |runs: bool, waited: Duration, disturbed: Option<Duration>| {
        move |checker: &mut Checker, now: Instant| {
            if let Some(before) = disturbed {
                checker.note_fault(now.checked_sub(before).expect("a late clock"));
            }
            if runs {
                checker.request_ran("1", "a", "/a/1", true);
            }
            checker.request_cut("1", now, now + waited);
        }
    };
    check("crossed the close", cut(false, 10 * MS, None), 0);
    check("it ran", cut(true, 10 * MS, None), 1);
    check("it was read", cut(false, 300 * MS, None), 1);
    check(
        "an unplanned fault",
        cut(true, 300 * MS, Some(1000 * MS)),
        0,
    );
    check("a fault before", cut(true, 300 * MS, Some(4000 * MS)), 1);
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
        "early",
        |checker, now| checker.probe_answered(&probe(4, MS, false, now)),
        0,
    );
    check(
        "late",
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
    check("an older answer that crossed", back(100 * MS, 1), 0);
    check("back", back(500 * MS, 1), 1);
    check("another process", back(500 * MS, 2), 0);
}

#[test]
fn excess_requests_to_draining_instances_or_bad_versions_are_violations() {
    let reach = |age: Duration| {
        move |checker: &mut Checker, now: Instant| {
            checker.reached_draining_instance("1", now, now + age)
        }
    };
    check("soon", reach(DRAIN_TIME), 0);
    check("late", reach(DRAIN_TIME + MS), 1);
    let expose = |all: u32, target: u32| {
        move |checker: &mut Checker, _| checker.check_exposure(Exposure { all, target })
    };
    check("a tenth and fifty", expose(1000, 150), 0);
    check("more", expose(1000, 151), 1);
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
