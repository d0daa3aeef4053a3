//! Long work that fills the slots before urgent requests arrive.

use super::simulation::CFG;
use super::simulation::Kind;
use super::simulation::Outcome;
use super::simulation::SECS;
use super::simulation::Spread;
use super::simulation::Stream;
use super::simulation::compare;
use super::simulation::keeping_slots;
use super::simulation::replay;
use super::simulation::total;
use crate::admission::AdmissionController;

const SUBMIT: Kind = Kind {
    route: "submit",
    rank: 0,
    work_ms: 84,
    aim_ms: 250,
    budget_ms: 600,
    spread: Spread::Narrow,
};

const FETCH: Kind = Kind {
    route: "fetch",
    rank: 2,
    work_ms: 480,
    aim_ms: 2000,
    budget_ms: 3000,
    spread: Spread::Narrow,
};

/// Calls that running requests wait for.
const CALL: Kind = Kind {
    route: "call",
    rank: 1,
    work_ms: 38,
    aim_ms: 150,
    budget_ms: 500,
    spread: Spread::Narrow,
};

const ARCHIVE: Kind = Kind {
    route: "archive",
    rank: 2,
    work_ms: 320,
    aim_ms: 1000,
    budget_ms: 2000,
    spread: Spread::Narrow,
};

/// Requests a second of one instance of 30 at the usual load.
const SUBMITS: f64 = 10.9;
const FETCHES: f64 = 7.7;

/// Seeds of the replays.
const SEEDS: u64 = 30;

fn rush(usual: f64, factor: f64) -> [f64; SECS] {
    let mut per_sec = [usual; SECS];
    per_sec[5..15].fill(usual * factor);
    per_sec
}

fn outcomes(submits: [f64; SECS], fetches: [f64; SECS], slowness: f64) -> [[Outcome; 2]; 2] {
    played([SUBMIT, FETCH], &[submits, fetches], slowness)
}

fn streams(kinds: [Kind; 2], rates: &[[f64; SECS]; 2]) -> [Stream; 2] {
    let stream = |kind, per_sec| Stream {
        kind,
        customer: None,
        per_sec,
    };
    [stream(kinds[0], rates[0]), stream(kinds[1], rates[1])]
}

/// Outcomes of the urgent and of the long requests over all seeds, with the present and with the former
/// admission control.
fn played(kinds: [Kind; 2], rates: &[[f64; SECS]; 2], slowness: f64) -> [[Outcome; 2]; 2] {
    let streams = streams(kinds, rates);
    let mut sums = [[Outcome::default(); 2]; 2];
    for seed in 0..SEEDS {
        for (sum, outcomes) in sums.iter_mut().zip(compare(&streams, slowness, seed)) {
            for (sum, outcome) in sum.iter_mut().zip(outcomes) {
                *sum = total(&[*sum, outcome]);
            }
        }
    }
    println!("slowness {slowness}: {sums:?}");
    sums
}

#[test]
fn urgent_requests_find_room_while_long_work_at_2_2_times_its_usual_fills_the_slots() {
    let check = |slowness, least_gain: f64, least_in_time: f64| {
        let [present, former] = outcomes([SUBMITS; SECS], rush(FETCHES, 2.2), slowness);
        let (urgent, before) = (present[0].in_time_share(), former[0].in_time_share());
        assert!(urgent >= least_in_time, "{urgent:.3} in time");
        assert!(urgent - before >= least_gain, "{before:.3} to {urgent:.3}");
        // The urgent ones are worth several times the long ones: what both earn must rise.
        let earned = |[submit, fetch]: [Outcome; 2]| {
            4.6 * f64::from(submit.in_time)
                + 0.91 * f64::from(submit.late)
                + 0.4 * f64::from(fetch.in_time)
                + 0.3 * f64::from(fetch.late)
        };
        let (now, then) = (earned(present), earned(former));
        assert!(now > then, "{then:.0} to {now:.0} earned");
    };
    check(1.0, 0.005, 0.95);
    // Slower instances of the same service.
    check(1.5, 0.1, 0.9);
    check(2.0, 0.2, 0.7);
}

#[test]
fn calls_of_running_requests_find_room_while_archives_fill_the_slots() {
    let check = |slowness, least_gain: f64, most_loss: f64| {
        let [present, former] = played([CALL, ARCHIVE], &[[50.0; SECS], rush(10.0, 2.2)], slowness);
        let (calls, before) = (present[0].in_time_share(), former[0].in_time_share());
        assert!(calls - before >= least_gain, "{before:.3} to {calls:.3}");
        let (archives, before) = (present[1].in_time_share(), former[1].in_time_share());
        assert!(
            archives >= before - most_loss,
            "{before:.3} to {archives:.3}"
        );
    };
    check(1.0, 0.05, 0.03);
    check(1.5, 0.1, 0.08);
}

#[test]
fn nothing_is_kept_free_from_long_work_below_saturation() {
    for slowness in [0.6, 1.0] {
        let [present, former] = outcomes([SUBMITS; SECS], [FETCHES; SECS], slowness);
        let served = present.map(Outcome::served_share);
        let before = former.map(Outcome::served_share);
        assert!(served[0] >= before[0] - 0.002, "{before:?} to {served:?}");
        assert!(served[1] >= before[1] - 0.01, "{before:?} to {served:?}");
    }
}

#[test]
fn long_work_alone_uses_all_slots() {
    let fetches = rush(FETCHES, 4.0);
    assert_nothing_kept([0.0; SECS], fetches);
    let [present, former] = outcomes([0.0; SECS], fetches, 1.0);
    assert!(present[1].in_time >= former[1].in_time);
}

#[test]
fn kept_room_is_given_back_within_a_second_after_the_rush() {
    let mut submits = [0.0; SECS];
    submits[..8].fill(4.0 * SUBMITS);
    let mut fetches = [0.0; SECS];
    fetches[9..].fill(3.0 * FETCHES);
    assert_nothing_kept(submits, fetches);
    let [present, former] = outcomes(submits, fetches, 1.0);
    assert!(present[1].in_time >= former[1].in_time);
}

/// Asserts that the fetches end exactly as they do where no slots are kept free.
fn assert_nothing_kept(submits: [f64; SECS], fetches: [f64; SECS]) {
    let streams = streams([SUBMIT, FETCH], &[submits, fetches]);
    for seed in 0..SEEDS {
        let kept = replay(keeping_slots(), &streams, 1.0, seed);
        let all = replay(AdmissionController::new(CFG), &streams, 1.0, seed);
        assert_eq!(kept[1], all[1]);
    }
}
