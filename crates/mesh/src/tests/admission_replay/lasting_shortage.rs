//! More work than the slots serve, for many seconds, as after the loss of instances.

use std::time::Duration;
use std::time::Instant;

use super::simulation::CFG;
use super::simulation::Kind;
use super::simulation::Outcome;
use super::simulation::SECS;
use super::simulation::Spread;
use super::simulation::Stream;
use super::simulation::replay;
use super::simulation::total;
use crate::admission::AdmissionCfg;
use crate::admission::AdmissionController;
use crate::admission::AdmissionDecision;
use crate::admission::AdmissionRequest;
use crate::tests::former::admission::FormerController;

const PAGE: Kind = Kind {
    route: "page",
    rank: 2,
    work_ms: 140,
    aim_ms: 384,
    budget_ms: 1000,
    spread: Spread::Wide,
};

const INSTANCE: AdmissionCfg = AdmissionCfg { slots: 18, ..CFG };

/// Requests a second that its slots serve.
const CAPACITY: f64 = 128.0;

/// Seeds of the replays.
const SEEDS: u64 = 30;

/// Outcomes over all seeds, with the present and with the former admission control.
fn played(kind: Kind, per_sec: [f64; SECS]) -> [Outcome; 2] {
    let stream = Stream {
        kind,
        customer: None,
        per_sec,
    };
    let mut sums = [Outcome::default(); 2];
    for seed in 0..SEEDS {
        let outcomes = [
            replay(AdmissionController::new(INSTANCE), &[stream], 1.0, seed),
            replay(FormerController::new(INSTANCE), &[stream], 1.0, seed),
        ];
        for (sum, outcomes) in sums.iter_mut().zip(outcomes) {
            *sum = total(&[*sum, total(&outcomes)]);
        }
    }
    sums
}

/// Plays pages at a multiple of the capacity, which lasts to the end.
fn overload(factor: f64) -> [Outcome; 2] {
    let mut per_sec = [0.5 * CAPACITY; SECS];
    per_sec[3..].fill(factor * CAPACITY);
    played(PAGE, per_sec)
}

#[test]
fn a_lasting_shortage_makes_half_as_many_answers_late_and_serves_as_many() {
    for factor in [1.3, 2.0] {
        let [present, former] = overload(factor);
        let (now, before) = (present.in_time_share(), former.in_time_share());
        assert!(now - before >= 0.04, "{before:.3} to {now:.3}");
        let (now, before) = (present.late, former.late);
        assert!(2 * now <= before, "{before} late to {now}");
        let (now, before) = (present.served_share(), former.served_share());
        assert!(now >= before - 0.02, "{before:.3} to {now:.3} served");
    }
}

#[test]
fn load_just_above_what_the_slots_serve_keeps_its_answers_in_time() {
    for factor in [0.9, 1.0, 1.1] {
        let [present, former] = overload(factor);
        let (now, before) = (present.in_time_share(), former.in_time_share());
        assert!(now >= before - 0.015, "{before:.3} to {now:.3}");
    }
}

#[test]
fn a_rush_of_one_second_is_absorbed() {
    let mut per_sec = [0.6 * CAPACITY; SECS];
    for second in [4, 8, 12, 16] {
        per_sec[second] = 1.3 * CAPACITY;
    }
    let [present, former] = played(PAGE, per_sec);
    let (now, before) = (present.served_share(), former.served_share());
    assert!(now >= before - 0.015, "{before:.3} to {now:.3} served");
    let (now, before) = (present.in_time_share(), former.in_time_share());
    assert!(now >= before - 0.01, "{before:.3} to {now:.3} in time");
}

/// A page that arrives at a time.
fn page(key: u32, now: Instant) -> AdmissionRequest<u32> {
    AdmissionRequest {
        key,
        route: PAGE.route.into(),
        rank: PAGE.rank,
        full_value_until: now + Duration::from_millis(PAGE.aim_ms),
        deadline: now + Duration::from_millis(PAGE.budget_ms),
        expected_service_time: Duration::from_millis(PAGE.work_ms),
    }
}

#[test]
fn one_request_after_a_pause_shows_no_lasting_shortage() {
    let now = Instant::now();
    let mut controller = AdmissionController::new(INSTANCE);
    for key in 0..=INSTANCE.slots {
        controller.offer(page(key, now), now);
    }
    let later = now + Duration::from_secs(3);
    let decision = controller.offer(page(99, later), later);
    assert_eq!(decision, AdmissionDecision::Queued);
    assert!(!controller.has_lasting_shortage());
}

#[test]
fn work_whose_aim_leaves_time_waits_as_before() {
    let patient = Kind {
        aim_ms: 4000,
        budget_ms: 6000,
        ..PAGE
    };
    let [present, former] = played(patient, [1.2 * CAPACITY; SECS]);
    let (now, before) = (present.in_time_share(), former.in_time_share());
    assert!(now >= before - 0.005, "{before:.3} to {now:.3}");
}
