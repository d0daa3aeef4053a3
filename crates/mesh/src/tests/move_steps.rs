//! Steps of moves after outages: orders whose offsets went back, and stages that are due all at once.

use std::time::Duration;

use crate::canary::Verdict;
use crate::move_decision::StageEvidence;
use crate::moves::MoveOrder;
use crate::moves::MoveRecord;
use crate::moves::Moves;
use crate::moves::Stage;
use crate::moves::advance;
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
    let mut evidence = StageEvidence::default();
    let late = Duration::from_secs(9);
    let first = record(1, Stage::Sharing(30));
    let good = Verdict::Good;
    assert_eq!(evidence.verdict_at_stage(&first, 12, good), good);
    let raised = advance(&first, late, good);
    assert_eq!(raised.stage, Stage::Sharing(base::FULL_SHARE));
    let mut step = |answers, verdict| {
        let verdict = evidence.verdict_at_stage(&raised, answers, verdict);
        advance(&raised, late, verdict).stage
    };
    assert_eq!(step(12, good), Stage::Sharing(base::FULL_SHARE));
    assert_eq!(step(30, good), Stage::Sharing(base::FULL_SHARE));
    assert_eq!(step(30, Verdict::Bad), Stage::RolledBack);
    assert_eq!(step(36, good), Stage::Complete);
    // The counts were reset.
    assert_eq!(step(3, good), Stage::Sharing(base::FULL_SHARE));
    assert_eq!(step(27, good), Stage::Complete);
}
