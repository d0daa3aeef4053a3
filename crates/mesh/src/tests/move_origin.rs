//! What a service moves from: orders one after the other, and daemons that learn of them in any order.

use protocol::codec;

use crate::canary::CanaryAnalysis;
use crate::canary::Verdict;
use crate::moves::MoveOrder;
use crate::moves::MoveRecord;
use crate::moves::Moves;
use crate::moves::Origin;
use crate::moves::SettleAction;
use crate::moves::Stage;
use crate::moves::settle;
use crate::tests::canary::evidence;
use crate::tests::moves::order;
use crate::tests::moves::record;

fn origin(version: Option<&str>, withdrawn: &[&str]) -> Origin {
    Origin {
        version: version.map(Into::into),
        withdrawn: withdrawn.iter().copied().map(Into::into).collect(),
    }
}

/// A record as a daemon makes it that knows of no other.
fn ordered(offset: u64, target: &str, stage: Stage) -> MoveRecord {
    MoveRecord {
        order: MoveOrder {
            target: target.into(),
            ..order(offset)
        },
        ..record(offset, stage)
    }
}

/// Returns the origin of the last of some moves, the first of which is from `v1`.
fn origin_of_last(history: &[(&str, Stage)]) -> Origin {
    let mut moves = Moves::default();
    for (offset, (target, stage)) in (1..).zip(history) {
        let mut record = ordered(offset, target, Stage::Sharing(0));
        if offset == 1 {
            record.origin.version = Some("v1".into());
        }
        moves.merge(record);
        moves.merge(ordered(offset, target, *stage));
    }
    moves.get("catalogue").unwrap().origin.clone()
}

/// Guards against requests for a version that was rolled back, once the next one is ordered.
#[test]
fn versions_that_were_rolled_back_get_nothing_during_later_moves() {
    let check = |history: &[(&str, Stage)], expected: Origin| {
        assert_eq!(origin_of_last(history), expected, "{history:?}");
    };
    let (back, done, open) = (Stage::RolledBack, Stage::Complete, Stage::Sharing(30));
    check(&[("v2", open)], origin(Some("v1"), &[]));
    check(&[("v2", back), ("v3", open)], origin(Some("v1"), &["v2"]));
    check(
        &[("v2", back), ("v3", back), ("v4", open)],
        origin(Some("v1"), &["v2", "v3"]),
    );
    // The later order comes while the first move shares the requests.
    check(&[("v2", open), ("v3", open)], origin(Some("v1"), &["v2"]));
    // The same version again, and one from before.
    check(&[("v2", back), ("v2", open)], origin(Some("v1"), &[]));
    check(
        &[("v2", back), ("v3", back), ("v2", open)],
        origin(Some("v1"), &["v3"]),
    );
    check(&[("v2", done), ("v3", back)], origin(Some("v2"), &[]));
    check(
        &[("v2", done), ("v3", back), ("v4", open)],
        origin(Some("v2"), &["v3"]),
    );
    check(
        &[("v2", back), ("v3", done), ("v4", open)],
        origin(Some("v3"), &[]),
    );
    // The version that is in use is ordered.
    check(&[("v2", back), ("v1", back)], origin(Some("v1"), &["v2"]));
    check(
        &[("v2", back), ("v1", back), ("v3", open)],
        origin(Some("v1"), &["v2"]),
    );
    let many = ["v2", "v3", "v4", "v5", "v6"].map(|target| (target, back));
    let history = [&many[..], &[("v7", open)]].concat();
    check(&history, origin(Some("v1"), &["v3", "v4", "v5", "v6"]));
}

/// Guards against a daemon that joins or restarts between two orders and takes a withdrawn version for one in use.
#[test]
fn a_daemon_learns_the_origin_in_whatever_order_the_records_come() {
    let rolled_back = MoveRecord {
        origin: origin(Some("v1"), &[]),
        ..ordered(1, "v2", Stage::RolledBack)
    };
    let begun = ordered(2, "v3", Stage::Sharing(0));
    let decided = MoveRecord {
        origin: origin(Some("v1"), &["v2"]),
        ..ordered(2, "v3", Stage::Sharing(30))
    };
    let expected = origin(Some("v1"), &["v2"]);
    let orders = [
        vec![&rolled_back, &begun],
        vec![&begun, &rolled_back],
        vec![&begun, &decided],
        vec![&decided, &begun],
        vec![&begun, &rolled_back, &decided],
    ];
    for records in orders {
        let mut moves = Moves::default();
        for record in &records {
            moves.merge((*record).clone());
        }
        let known = &moves.get("catalogue").unwrap().origin;
        assert_eq!(*known, expected, "{records:?}");
    }
}

/// Guards against evidence of the version in use that is discarded, as an outdated record shows its move as open.
#[test]
fn an_outdated_record_does_not_withdraw_the_version_in_use() {
    let complete = MoveRecord {
        origin: origin(Some("v1"), &[]),
        ..ordered(1, "v2", Stage::Complete)
    };
    let shared = MoveRecord {
        stage: Stage::Sharing(500),
        ..complete.clone()
    };
    let rolled_back = ordered(0, "v2", Stage::RolledBack);
    let next = ordered(2, "v3", Stage::Sharing(30));
    let mut moves = Moves::default();
    for record in [complete, next, shared, rolled_back] {
        moves.merge(record);
    }
    let known = &moves.get("catalogue").unwrap().origin;
    assert_eq!(*known, origin(Some("v2"), &[]));
}

/// Guards against a controller without a memory of earlier orders that writes a wrong version in use.
#[test]
fn the_store_decides_on_the_origin_of_a_move() {
    let check = |decided: &MoveRecord, stored: &MoveRecord, expected: &Origin| {
        let SettleAction::Write(written) = settle(decided, Some(stored)) else {
            panic!("{stored:?} was adopted");
        };
        assert_eq!(written.origin, *expected, "{stored:?}");
    };
    // The instance that started first has the version that was rolled back.
    let guessed = MoveRecord {
        origin: origin(Some("v2"), &[]),
        ..ordered(2, "v3", Stage::Sharing(30))
    };
    let known = origin(Some("v1"), &["v2"]);
    let rolled_back = MoveRecord {
        origin: origin(Some("v1"), &[]),
        ..ordered(1, "v2", Stage::RolledBack)
    };
    check(&guessed, &rolled_back, &known);
    let shared = MoveRecord {
        origin: known.clone(),
        ..ordered(2, "v3", Stage::Sharing(0))
    };
    check(&guessed, &shared, &known);
    // A record of an earlier release tells no origin.
    let untold = ordered(1, "v4", Stage::RolledBack);
    check(&guessed, &untold, &origin(Some("v2"), &["v4"]));
}

/// Guards against answers of a withdrawn version that make the next one look good beside them.
#[test]
fn a_version_is_not_compared_with_withdrawn_ones() {
    let now = std::time::Instant::now();
    let mut canary = CanaryAnalysis::default();
    let v3 = [("browse", 60, 10, 90)];
    canary.merge(
        &"a".into(),
        1,
        evidence("v1", &[("browse", 500, 1, 90)]),
        now,
    );
    canary.merge(
        &"b".into(),
        1,
        evidence("v2", &[("browse", 400, 200, 90)]),
        now,
    );
    canary.merge(&"c".into(), 1, evidence("v3", &v3), now);
    let verdict =
        |canary: &CanaryAnalysis| canary.verdict(&"catalogue".into(), &"v3".into(), 1, now);
    assert_ne!(verdict(&canary), Verdict::Bad);
    canary.discard_versions(&"catalogue".into(), &["v2".into()]);
    assert_eq!(verdict(&canary), Verdict::Bad);
}

#[test]
fn an_unknown_origin_takes_no_bytes_and_is_decoded_as_absent() {
    let unknown = ordered(1, "v2", Stage::Sharing(30));
    let known = MoveRecord {
        origin: origin(Some("v1"), &["v3"]),
        ..unknown.clone()
    };
    let sizes = [&unknown, &known].map(|record| codec::encode(record).len());
    assert!(sizes[0] < sizes[1]);
    for record in [unknown, known] {
        let decoded: MoveRecord = codec::decode(&codec::encode(&record)).unwrap();
        assert_eq!(decoded, record);
    }
}
