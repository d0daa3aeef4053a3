//! Steps of moves after outages: orders whose offsets went back, and stages that are due all at once.

use std::time::Duration;
use std::time::Instant;

use crate::canary::CanaryAnalysis;
use crate::move_decision::MoveDecider;
use crate::moves::MoveOrder;
use crate::moves::MoveRecord;
use crate::moves::Moves;
use crate::moves::Stage;
use crate::tests::canary::evidence;
use crate::tests::moves::order;
use crate::tests::moves::record;

#[test]
fn an_order_after_the_offsets_went_back_replaces_the_known_one() {
    let mut moves = Moves::default();
    moves.merge(record(90, Stage::Complete));
    let next = MoveOrder {
        target: "v3".into(),
        ..order(4)
    };
    // A lower offset of the same log is an earlier order.
    assert_eq!(moves.number(next.clone()), next);
    moves.offsets_went_back();
    let numbered = moves.number(next.clone());
    assert_eq!(numbered.offset, 91);
    let begun = MoveRecord {
        order: numbered.clone(),
        ..record(0, Stage::Sharing(0))
    };
    assert!(moves.merge(begun));
    // Read again, it is the same order; so is one that the store holds under another offset.
    assert_eq!(moves.number(next), numbered);
    let reread = MoveOrder {
        offset: 2,
        ..numbered.clone()
    };
    assert_eq!(moves.number(reread), numbered);
    assert_eq!(moves.number(order(95)).offset, 95);
}

/// After an outage most of the time of a move is over, and a bad version has given few answers.
#[test]
fn a_move_gets_new_answers_at_each_raised_share_before_the_next_step() {
    let start = Instant::now();
    let mut canary = CanaryAnalysis::default();
    let mut decider = MoveDecider::default();
    let old = evidence("v1", &[("browse", 400, 2, 90)]);
    canary.merge(&"a".into(), 1, old, start);
    let late = Duration::from_secs(9);
    let mut step = |stage, at_ms, answers| {
        let now = start + Duration::from_millis(at_ms);
        let new = evidence("v2", &[("browse", answers, 0, 90)]);
        canary.merge(&"b".into(), 1, new, now);
        let decision = decider.decide(&record(1, stage), &mut canary, 1, late, now);
        decision.record.stage
    };
    let (first, half) = (Stage::Sharing(30), Stage::Sharing(500));
    let full = Stage::Sharing(base::FULL_SHARE);
    assert_eq!(step(first, 0, 12), half);
    assert_eq!(step(half, 100, 12), half);
    assert_eq!(step(half, 200, 35), half);
    assert_eq!(step(half, 300, 36), full);
    assert_eq!(step(full, 400, 40), full);
    // Enough answers, but not yet at the full load.
    assert_eq!(step(full, 800, 90), full);
    // Time enough, but too few answers at it for a version that fails a tenth there.
    assert_eq!(step(full, 1700, 100), full);
    assert_eq!(step(full, 1800, 110), Stage::Complete);
}

/// The answers at the full share count, not those from before it.
#[test]
fn a_move_does_not_complete_on_answers_from_before_its_full_share() {
    let start = Instant::now();
    let mut canary = CanaryAnalysis::default();
    let mut decider = MoveDecider::default();
    let routes = [("browse", 400, 2, 90), ("hold", 100, 1, 90)];
    canary.merge(&"a".into(), 1, evidence("v1", &routes), start);
    let full = Stage::Sharing(base::FULL_SHARE);
    let mut step = |at_ms, browse, hold| {
        let now = start + Duration::from_millis(at_ms);
        let routes = [("browse", browse, 0, 90), ("hold", hold, 0, 90)];
        canary.merge(&"b".into(), 1, evidence("v2", &routes), now);
        let late = Duration::from_secs(9);
        let decision = decider.decide(&record(1, full), &mut canary, 1, late, now);
        (decision.record.stage, decision.unproven)
    };
    assert_eq!(
        step(0, 60, 60),
        (full, vec!["browse".into(), "hold".into()])
    );
    assert_eq!(step(2000, 160, 65), (full, vec!["hold".into()]));
    assert_eq!(step(2100, 160, 90), (Stage::Complete, vec![]));
}

/// Fault seen on a day with freezes, cuts and a slow store: a version was good at a small share and suspicious
/// at the raised one by turns, on the same answers.
#[test]
fn a_share_that_a_suspicion_reduced_is_not_raised_on_the_same_answers() {
    let start = Instant::now();
    let within = Duration::from_secs(10);
    for failures in 0..=16 {
        for at_stage_s in [0, 20] {
            let mut canary = CanaryAnalysis::default();
            let mut decider = MoveDecider::default();
            let old = [("hold", 219, 10, 90), ("lookup", 611, 0, 50)];
            canary.merge(&"a".into(), 1, evidence("v1", &old), start);
            let mut record = record(1, Stage::Sharing(30));
            let mut was_reduced = false;
            for step in 0..40 {
                let new = [("hold", 32, failures, 90), ("lookup", 62, 0, 50)];
                let now = start + Duration::from_millis(step * 125);
                canary.merge(&"b".into(), 1, evidence("v2", &new), now);
                let elapsed = within + Duration::from_secs(at_stage_s);
                let decision = decider.decide(&record, &mut canary, 1, elapsed, now);
                let next = decision.record;
                assert!(
                    !was_reduced || next.stage <= record.stage || !next.is_open(),
                    "{failures} of 32 failed: {:?} after {:?}, {:?}",
                    next.stage,
                    record.stage,
                    decision.verdict
                );
                was_reduced |= next.stage < record.stage;
                record = next;
            }
        }
    }
}

/// Guards against a target that gets more than its share since all routes of the service have few requests.
#[test]
fn boosted_routes_have_less_than_a_tenth_of_the_requests_together() {
    let now = Instant::now();
    let mut canary = CanaryAnalysis::default();
    let names: Vec<String> = (0..16).map(|number| format!("route-{number:02}")).collect();
    let requests = |route: usize| if route == 15 { 30 } else { 65 };
    let answers = |requests: &dyn Fn(usize) -> u32| -> Vec<(&str, u32, u32, u64)> {
        let numbered = names.iter().enumerate();
        numbered
            .map(|(route, name)| (name.as_str(), requests(route), 0, 90))
            .collect()
    };
    canary.merge(&"a".into(), 1, evidence("v1", &answers(&requests)), now);
    canary.merge(&"b".into(), 1, evidence("v2", &answers(&|_| 1)), now);
    let decision = MoveDecider::default().decide(
        &record(1, Stage::Sharing(30)),
        &mut canary,
        1,
        Duration::from_secs(4),
        now,
    );
    assert_eq!(decision.record.stage, Stage::Sharing(50));
    // The route with the fewest requests, which waits longest for answers, and one of the others.
    assert_eq!(decision.record.boosted, ["route-15", "route-00"]);
}
