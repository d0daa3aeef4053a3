//! Prints what the decisions on moves do with versions drawn at random: how far bad ones exceed their share of the
//! requests, and how many good ones are rolled back or late.
//!
//! Arguments: number of moves, first seed. Moves are a function of their seeds.

mod play;
mod summary;
mod trial;

use std::num::NonZero;
use std::thread;

use crate::play::Outcome;
use crate::play::play;
use crate::summary::Summary;
use crate::trial::Trial;

/// Moves without an argument.
const DEFAULT_MOVES: u64 = 10_000;

/// Simulated moves and what became of them, by seed.
type Results = Vec<(u64, Trial, Outcome)>;

fn main() {
    let mut args = std::env::args().skip(1);
    let mut number = |default| args.next().map_or(Ok(default), |text| text.parse());
    let (Ok(moves), Ok(first)) = (number(DEFAULT_MOVES), number(0)) else {
        eprintln!("usage: move_trials [MOVES [FIRST_SEED]]");
        std::process::exit(2);
    };
    print!("{}", Summary::new(&run(first, moves)));
}

/// Plays moves on all cores.
fn run(first: u64, moves: u64) -> Results {
    let threads = thread::available_parallelism().map_or(1, NonZero::get);
    let stride = u64::try_from(threads).expect("a number of cores");
    let mut results: Results = thread::scope(|scope| {
        let parts: Vec<_> = (0..stride)
            .map(|part| scope.spawn(move || run_part(first + part, first + moves, threads)))
            .collect();
        let joined = parts
            .into_iter()
            .flat_map(|part| part.join().expect("a simulation without panics"));
        joined.collect()
    });
    results.sort_unstable_by_key(|(seed, ..)| *seed);
    results
}

fn run_part(first: u64, end: u64, stride: usize) -> Results {
    let seeds = (first..end).step_by(stride);
    seeds
        .map(|seed| {
            let trial = Trial::draw(seed);
            let outcome = play(&trial, seed);
            (seed, trial, outcome)
        })
        .collect()
}
