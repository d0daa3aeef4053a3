//! Error rates and detection speed of the sequential tests.

use crate::sequential::Batch;
use crate::sequential::Detector;
use crate::sequential::FALSE_ROLLBACK_BATCHES;
use crate::sequential::FALSE_ROLLBACK_PROBABILITY;
use crate::sequential::MISSED_BAD_PROBABILITY;
use crate::simulation::SplitMix64;

const EXPECTED: f64 = 0.02;
const BAD: f64 = 0.12;
const CALLS: u64 = 20;

/// Streams that share the false-alarm probability: one service with one route.
const STREAMS: usize = 4;

fn batch(random: &mut SplitMix64, rate: f64) -> Batch {
    let faulty = (0..CALLS).filter(|_| random.next_bool(rate)).count();
    Batch {
        faulty: faulty as u64,
        calls: CALLS,
        expected: EXPECTED,
        bad: BAD,
    }
}

/// Number of `streams` streams at `rate` that meet the condition within `batches` batches.
fn count(streams: u32, batches: u32, rate: f64, is_met: impl Fn(&Detector) -> bool) -> u32 {
    let mut random = SplitMix64::new(11);
    let mut met = 0;
    for _ in 0..streams {
        let mut detector = Detector::default();
        let is_met = (0..batches).any(|_| {
            detector.observe(batch(&mut random, rate));
            is_met(&detector)
        });
        met += u32::from(is_met);
    }
    met
}

#[test]
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn false_alarms_stay_within_the_stated_rate() {
    let streams = 2_000;
    let limit = (f64::from(streams) * FALSE_ROLLBACK_PROBABILITY).ceil() as u32;
    let alarms = count(
        streams,
        FALSE_ROLLBACK_BATCHES as u32,
        EXPECTED,
        |detector| detector.alarm_level(STREAMS) >= 1.0,
    );
    assert!(alarms <= limit, "{alarms} of {streams}, at most {limit}");
}

#[test]
fn proofs_of_bad_versions_stay_within_the_stated_rate() {
    let streams = 2_000;
    let mean = f64::from(streams) * MISSED_BAD_PROBABILITY;
    // Three standard deviations above the mean.
    let limit = mean + 3.0 * mean.sqrt();
    let missed = count(streams, 100, BAD, Detector::is_proven);
    assert!(f64::from(missed) <= limit, "{missed}, at most {limit:.0}");
}

#[test]
fn alarm_delay_does_not_grow_with_the_good_calls_before() {
    let check = |good: u64| {
        let mut detector = Detector::default();
        let mut calls = Batch {
            faulty: 0,
            calls: good,
            expected: EXPECTED,
            bad: BAD,
        };
        detector.observe(calls);
        calls.calls = 1;
        calls.faulty = 1;
        let needed = (1..1_000).find(|_| {
            detector.observe(calls);
            detector.alarm_level(STREAMS) >= 1.0
        });
        assert_eq!(needed, Some(5), "after {good} good calls");
    };
    check(0);
    check(10_000);
}
