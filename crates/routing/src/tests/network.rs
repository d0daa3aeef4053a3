//! Property test of the guarantees for calls, checked after each step of a model cluster.

mod model;

use quickcheck::QuickCheck;

use self::model::ClusterModel;
use crate::attempts::FinalOutcome;

const STEPS: usize = 600;
const SEEDS: u64 = 2000;

fn run(seed: u64) -> ClusterModel {
    let mut cluster = ClusterModel::new(seed);
    for _ in 0..STEPS {
        cluster.step();
        cluster.check_invariants();
    }
    cluster.finish_calls();
    cluster.check_invariants();
    cluster
}

#[test]
fn call_guarantees_hold_for_any_interleaving() {
    fn property(seed: u64) -> bool {
        run(seed);
        true
    }
    QuickCheck::new()
        .tests(SEEDS)
        .quickcheck(property as fn(u64) -> bool);
}

/// Guards against a model in which faults or outcomes are too rare to test anything.
#[test]
fn model_reaches_every_kind_of_outcome() {
    let clusters: Vec<_> = (0..50).map(run).collect();
    let count = |predicate: fn(&FinalOutcome) -> bool| {
        let ends = clusters.iter().flat_map(|cluster| &cluster.calls);
        ends.flat_map(|call| &call.outcomes)
            .filter(|end| predicate(end))
            .count()
    };
    let ends = [
        count(|end| matches!(end, FinalOutcome::Answer(0))),
        count(|end| matches!(end, FinalOutcome::Answer(1..))),
        count(|end| matches!(end, FinalOutcome::NotRun(_))),
        count(|end| matches!(end, FinalOutcome::Unknown)),
    ];
    assert!(ends.iter().all(|count| *count >= 100), "{ends:?}");
}
