//! The judge of the soak finds what it looks for, and a plan depends on its seed alone.

use std::time::Duration;
use std::time::Instant;

use crate::soak::judge::Bounds;
use crate::soak::judge::CONFIG_APPLY;
use crate::soak::judge::DRAIN;
use crate::soak::judge::Exposure;
use crate::soak::judge::Judge;
use crate::soak::judge::Probe;
use crate::soak::plan::Flavour;
use crate::soak::plan::draw;

const MS: Duration = Duration::from_millis(1);

/// Judges what happens and compares the number of violations.
fn check(what: &str, happen: impl Fn(&mut Judge, Instant), expected: usize) {
    let mut judge = Judge::new(Bounds::Timed);
    happen(&mut judge, Instant::now());
    assert_eq!(judge.violations().len(), expected, "{what}: {judge:?}");
}

#[test]
fn requests_run_once_and_what_was_refused_never() {
    check("one run", |judge, _| judge.ran("1", "a", "/a/1", false), 0);
    let twice = |is_repeatable: bool| {
        move |judge: &mut Judge, _| {
            judge.ran("1", "a", "/a/1", is_repeatable);
            judge.ran("1", "a", "/a/1", is_repeatable);
        }
    };
    check("two runs of a safe one", twice(true), 0);
    check("two runs of an unsafe one", twice(false), 1);
    check(
        "another service",
        |judge, _| judge.ran("1", "b", "/a/1", true),
        1,
    );
    let run_then_refuse = |judge: &mut Judge, _| {
        judge.ran("1", "a", "/a/1", true);
        judge.told_not_run("1");
    };
    check("refused after it ran", run_then_refuse, 1);
    let refuse_then_run = |judge: &mut Judge, _| {
        judge.told_not_run("1");
        judge.ran("1", "a", "/a/1", true);
    };
    check("ran after it was refused", refuse_then_run, 1);
}

#[test]
fn answers_are_whole_and_own() {
    let answer = |body: &'static [u8], stamp: Option<&'static str>| {
        move |judge: &mut Judge, _| judge.succeeded("1", body, b"whole", stamp)
    };
    check("whole", answer(b"whole", Some("1")), 0);
    check("short", answer(b"whol", Some("1")), 1);
    check("of another", answer(b"whole", Some("2")), 1);
    check("unsigned", answer(b"whole", None), 1);
}

#[test]
fn planned_work_cuts_no_request() {
    let cut = |runs: bool, waited: Duration, disturbed: Option<Duration>| {
        move |judge: &mut Judge, now: Instant| {
            if let Some(before) = disturbed {
                judge.disturb(now.checked_sub(before).expect("a late clock"));
            }
            if runs {
                judge.ran("1", "a", "/a/1", true);
            }
            judge.cut("1", now, now + waited);
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
fn configurations_come_in_time_and_never_go_back() {
    let probe = |version: u64, age: Duration, is_known: bool, now: Instant| Probe {
        machine: 1,
        process: 1,
        version,
        acknowledged: now,
        sent: now + age,
        answered: now + age,
        is_known,
        is_in_touch: true,
    };
    let late = CONFIG_APPLY + MS;
    check(
        "early",
        |judge, now| judge.probed(&probe(4, MS, false, now)),
        0,
    );
    check(
        "late",
        |judge, now| judge.probed(&probe(4, late, false, now)),
        1,
    );
    let back = |age: Duration, process: u32| {
        move |judge: &mut Judge, now: Instant| {
            judge.probed(&probe(4, MS, true, now));
            judge.probed(&Probe {
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
fn draining_instances_and_bad_versions_get_little() {
    let reach = |age: Duration| {
        move |judge: &mut Judge, now: Instant| judge.reached_draining("1", now, now + age)
    };
    check("soon", reach(DRAIN), 0);
    check("late", reach(DRAIN + MS), 1);
    let expose =
        |all: u32, target: u32| move |judge: &mut Judge, _| judge.exposed(Exposure { all, target });
    check("a tenth and fifty", expose(1000, 150), 0);
    check("more", expose(1000, 151), 1);
}

#[test]
fn a_plan_depends_on_its_seed_alone() {
    let length = Duration::from_mins(1);
    for seed in 0..30 {
        let (flavour, steps) = draw(seed, length, 24);
        assert_eq!(steps, draw(seed, length, 24).1);
        assert_ne!(steps, draw(seed + 3, length, 24).1);
        let is_planned = steps.iter().all(|step| step.act.is_planned());
        assert_eq!(is_planned, flavour == Flavour::Planned, "seed {seed}");
    }
}
