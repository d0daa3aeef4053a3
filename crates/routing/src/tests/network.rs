//! Promises of calls, checked at each step of a model network.

mod model;

use quickcheck::QuickCheck;

use self::model::World;
use crate::attempts::FinalOutcome;

const STEPS: usize = 600;
const SEEDS: u64 = 2000;

fn run(seed: u64) -> World {
    let mut world = World::new(seed);
    for _ in 0..STEPS {
        world.step();
        world.check();
    }
    world.check_ends();
    world.check();
    world
}

#[test]
fn calls_keep_their_promises_over_any_interleaving() {
    fn property(seed: u64) -> bool {
        run(seed);
        true
    }
    QuickCheck::new()
        .tests(SEEDS)
        .quickcheck(property as fn(u64) -> bool);
}

/// The model would prove nothing if its calls met no trouble.
#[test]
fn model_meets_every_kind_of_end() {
    let worlds: Vec<_> = (0..50).map(run).collect();
    let count = |is: fn(&FinalOutcome) -> bool| {
        let ends = worlds.iter().flat_map(|world| &world.calls);
        ends.flat_map(|call| &call.finals)
            .filter(|end| is(end))
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
