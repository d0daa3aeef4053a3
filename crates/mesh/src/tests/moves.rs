//! Verdicts on good and bad versions, and the progress of moves that follows from them.

use std::time::Duration;

use crate::canary::Verdict;
use crate::moves::MoveOrder;
use crate::moves::MoveRecord;
use crate::moves::Moves;
use crate::moves::Origin;
use crate::moves::SettleAction;
use crate::moves::Stage;
use crate::moves::VersionFilter;
use crate::moves::advance;
use crate::moves::settle;

pub fn order(offset: u64) -> MoveOrder {
    MoveOrder {
        service: "catalogue".into(),
        target: "v2".into(),
        within: Duration::from_secs(10),
        offset,
    }
}

pub fn record(offset: u64, stage: Stage) -> MoveRecord {
    MoveRecord {
        order: order(offset),
        began: 0,
        stage,
        setbacks: 0,
        is_settled: false,
        boosted: Vec::new(),
        elapsed: Duration::ZERO,
        origin: Origin::default(),
    }
}

fn settled(offset: u64, stage: Stage) -> MoveRecord {
    MoveRecord {
        is_settled: true,
        ..record(offset, stage)
    }
}

#[test]
fn version_that_fails_at_full_share_gets_less_than_a_tenth_of_the_requests() {
    // The verdict is bad 1 s after the version starts to fail.
    let (step_ms, verdict_ms, within_ms) = (50, 1000, 16_000);
    let mut record = MoveRecord {
        order: MoveOrder {
            within: Duration::from_millis(within_ms),
            ..order(1)
        },
        ..record(1, Stage::Sharing(0))
    };
    let (mut equivalent_full_ms, mut full_since) = (0, None);
    for at_ms in (0..within_ms).step_by(step_ms) {
        let is_detected = full_since.is_some_and(|since| at_ms - since >= verdict_ms);
        let verdict = if is_detected {
            Verdict::Bad
        } else {
            Verdict::Good
        };
        record = advance(&record, Duration::from_millis(at_ms), verdict);
        if let Stage::Sharing(share) = record.stage {
            equivalent_full_ms += u64::from(share) * u64::try_from(step_ms).unwrap() / 1000;
            if share == base::FULL_SHARE {
                full_since.get_or_insert(at_ms);
            }
        }
    }
    assert_eq!(record.stage, Stage::RolledBack);
    assert!(
        equivalent_full_ms * 10 <= within_ms,
        "{equivalent_full_ms} of {within_ms} ms"
    );
}

#[test]
fn share_grows_late_and_a_bad_verdict_rolls_it_back() {
    let check = |stage: Stage, seconds: u64, verdict: Verdict, expected: Stage| {
        let next = advance(&record(1, stage), Duration::from_secs(seconds), verdict);
        assert_eq!(
            next.stage, expected,
            "{stage:?} after {seconds} s, {verdict:?}"
        );
    };
    check(
        Stage::Sharing(0),
        0,
        Verdict::InsufficientData,
        Stage::Sharing(30),
    );
    check(Stage::Sharing(60), 4, Verdict::Good, Stage::Sharing(60));
    check(
        Stage::Sharing(60),
        9,
        Verdict::InsufficientData,
        Stage::Sharing(60),
    );
    check(Stage::Sharing(60), 6, Verdict::Good, Stage::Sharing(60));
    check(Stage::Sharing(60), 7, Verdict::Good, Stage::Sharing(500));
    // One step at a time, however many are due.
    check(Stage::Sharing(30), 9, Verdict::Good, Stage::Sharing(500));
    check(Stage::Sharing(250), 8, Verdict::Good, Stage::Sharing(500));
    // A route without proof holds the share below the tenth that a bad version may get.
    check(Stage::Sharing(0), 1, Verdict::Unproven, Stage::Sharing(30));
    check(Stage::Sharing(30), 2, Verdict::Unproven, Stage::Sharing(30));
    check(Stage::Sharing(30), 4, Verdict::Unproven, Stage::Sharing(50));
    check(Stage::Sharing(30), 6, Verdict::Unproven, Stage::Sharing(80));
    check(
        Stage::Sharing(30),
        9,
        Verdict::Unproven,
        Stage::Sharing(120),
    );
    check(
        Stage::Sharing(120),
        20,
        Verdict::Unproven,
        Stage::Sharing(120),
    );
    check(
        Stage::Sharing(1000),
        20,
        Verdict::Unproven,
        Stage::Sharing(1000),
    );
    check(
        Stage::Sharing(1000),
        9,
        Verdict::Suspicious,
        Stage::Sharing(30),
    );
    check(
        Stage::Sharing(30),
        9,
        Verdict::Suspicious,
        Stage::Sharing(30),
    );
    check(
        Stage::Sharing(30),
        10,
        Verdict::Suspicious,
        Stage::Sharing(120),
    );
    check(Stage::Sharing(500), 8, Verdict::Good, Stage::Sharing(1000));
    check(Stage::Sharing(1000), 9, Verdict::Good, Stage::Complete);
    check(Stage::Sharing(500), 9, Verdict::Good, Stage::Sharing(1000));
    check(Stage::Sharing(500), 8, Verdict::Bad, Stage::RolledBack);
    check(
        Stage::Sharing(500),
        8,
        Verdict::Inconclusive,
        Stage::Sharing(30),
    );
    check(
        Stage::Sharing(30),
        8,
        Verdict::Inconclusive,
        Stage::Sharing(30),
    );
    check(Stage::RolledBack, 9, Verdict::Good, Stage::RolledBack);
    check(Stage::Complete, 9, Verdict::Bad, Stage::Complete);
}

#[test]
fn version_filter_follows_the_stage() {
    let mut moves = Moves::default();
    assert_eq!(
        moves.version_filter("catalogue", &"browse".into(), 0),
        VersionFilter::Oldest
    );
    let target = "v2".into();
    let sharing = record(1, Stage::Sharing(60));
    assert!(moves.merge(sharing.clone()));
    assert_eq!(
        moves.version_filter("catalogue", &"browse".into(), 59),
        VersionFilter::Target(&sharing)
    );
    assert_eq!(
        moves.version_filter("catalogue", &"browse".into(), 60),
        VersionFilter::Origin(&sharing)
    );
    let rolled_back = record(1, Stage::RolledBack);
    assert!(moves.merge(rolled_back.clone()));
    assert_eq!(
        moves.version_filter("catalogue", &"browse".into(), 0),
        VersionFilter::Origin(&rolled_back)
    );
    let boosted = MoveRecord {
        boosted: vec!["rare".into()],
        ..record(1, Stage::Sharing(80))
    };
    let mut with_boost = Moves::default();
    assert!(with_boost.merge(boosted.clone()));
    let on_route = |route: &str| with_boost.version_filter("catalogue", &route.into(), 399);
    assert_eq!(on_route("rare"), VersionFilter::Target(&boosted));
    assert_eq!(on_route("browse"), VersionFilter::Origin(&boosted));
    // Records of lower precedence are ignored; a later order is not.
    assert!(!moves.merge(record(1, Stage::Sharing(1000))));
    let begun = record(2, Stage::Sharing(0));
    assert!(moves.merge(begun.clone()));
    assert_eq!(
        moves.version_filter("catalogue", &"browse".into(), 0),
        VersionFilter::Origin(&begun)
    );
    assert!(moves.merge(record(2, Stage::Complete)));
    assert_eq!(
        moves.version_filter("catalogue", &"browse".into(), 500),
        VersionFilter::Only(&target)
    );
}

#[test]
fn first_stored_final_stage_wins() {
    let check = |decided: MoveRecord, stored: Option<MoveRecord>, expected: SettleAction| {
        let action = settle(&decided, stored.as_ref());
        assert_eq!(action, expected, "{decided:?} over {stored:?}");
    };
    let (open, complete) = (record(1, Stage::Sharing(30)), record(1, Stage::Complete));
    let bad = record(1, Stage::RolledBack);
    let write = |record: MoveRecord| SettleAction::Write(record);
    check(open.clone(), None, write(open.clone()));
    check(bad.clone(), None, write(settled(1, Stage::RolledBack)));
    check(
        bad.clone(),
        Some(open.clone()),
        write(settled(1, Stage::RolledBack)),
    );
    // Two controllers with different verdicts: the second adopts the decision of the first.
    for end in [Stage::Complete, Stage::RolledBack] {
        for decided in [&open, &complete, &bad] {
            let stored = settled(1, end);
            check(
                decided.clone(),
                Some(stored.clone()),
                SettleAction::Adopt(stored),
            );
        }
    }
    // The reply to a write was lost: the decision is already stored.
    check(
        open.clone(),
        Some(open.clone()),
        SettleAction::Adopt(open.clone()),
    );
    // The final stage of an earlier order does not affect a later one, which supersedes it.
    let next = record(2, Stage::Sharing(30));
    check(
        next.clone(),
        Some(settled(1, Stage::RolledBack)),
        write(next.clone()),
    );
    check(bad, Some(next.clone()), SettleAction::Adopt(next));
}

#[test]
fn settled_final_stage_wins_over_an_unsettled_one() {
    let mut moves = Moves::default();
    assert!(moves.merge(record(1, Stage::RolledBack)));
    assert!(moves.merge(settled(1, Stage::Complete)));
    assert!(!moves.merge(record(1, Stage::RolledBack)));
    let target = "v2".into();
    assert_eq!(
        moves.version_filter("catalogue", &"browse".into(), 0),
        VersionFilter::Only(&target)
    );
}

#[test]
fn reduced_share_replaces_the_larger_one() {
    let mut moves = Moves::default();
    assert!(moves.merge(record(1, Stage::Sharing(500))));
    let reduced = advance(
        &record(1, Stage::Sharing(500)),
        Duration::from_secs(8),
        Verdict::Inconclusive,
    );
    assert!(moves.merge(reduced.clone()));
    assert!(!moves.merge(record(1, Stage::Sharing(1000))));
    assert_eq!(
        moves.version_filter("catalogue", &"browse".into(), 100),
        VersionFilter::Origin(&reduced)
    );
    // A final stage replaces any share.
    assert!(moves.merge(record(1, Stage::RolledBack)));
}
