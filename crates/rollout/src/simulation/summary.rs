//! Measurements over many trials, for benchmarks.

use std::fmt;

use crate::simulation::Behaviour;
use crate::simulation::Ending;
use crate::simulation::Outcome;
use crate::simulation::Simulation;

/// What many trials of one kind of version gave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// What the new version does.
    pub behaviour: Behaviour,
    /// Trials.
    pub runs: u32,
    /// Moves that were done.
    pub done: u32,
    /// Moves that were done by the ticket's time.
    pub on_time: u32,
    /// Moves that were taken back.
    pub taken_back: u32,
    /// Of those, the ones that spent their probe calls unproven, without an alarm.
    pub unproven: u32,
    /// Calls on the faulty version up to its take-back, sorted.
    pub calls: Vec<u64>,
    /// Ticks of a second from the first faulty call to the take-back in force, sorted.
    pub ticks: Vec<u32>,
}

/// Runs `runs` simulations with seeds that follow from that of `base`.
#[must_use]
pub fn summarize(base: &Simulation, runs: u32) -> Summary {
    let mut row = Summary::new(base.behaviour);
    for index in 0..runs {
        let trial = Simulation {
            seed: base.seed.wrapping_mul(1_000_003) + u64::from(index),
            ..base.clone()
        };
        row.add(&trial.run());
    }
    row.calls.sort_unstable();
    row.ticks.sort_unstable();
    row
}

impl Summary {
    fn new(behaviour: Behaviour) -> Self {
        Self {
            behaviour,
            runs: 0,
            done: 0,
            on_time: 0,
            taken_back: 0,
            unproven: 0,
            calls: Vec::new(),
            ticks: Vec::new(),
        }
    }

    fn add(&mut self, outcome: &Outcome) {
        self.runs += 1;
        match &outcome.ending {
            Ending::Done { is_on_time, .. } => {
                self.done += 1;
                self.on_time += u32::from(*is_on_time);
            }
            Ending::TakenBack { reason } => {
                self.taken_back += 1;
                self.unproven += u32::from(reason.starts_with("not proven"));
                self.calls.push(outcome.calls_since_fault);
                self.ticks.push(outcome.ticks_since_fault);
            }
            Ending::Open => {}
        }
    }
}

impl Summary {
    /// Calls on the faulty version up to its take-back, at a percentile.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn calls_percentile(&self, percent: usize) -> f64 {
        at(&self.calls, percent) as f64
    }

    /// Seconds from the first faulty call to the take-back in force, at a percentile.
    #[must_use]
    pub fn ticks_percentile(&self, percent: usize) -> f64 {
        f64::from(at(&self.ticks, percent))
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?}: {} trials, {} done, {} on time, {} taken back ({} unproven), calls {}/{}/{}, ticks {}/{}/{}",
            self.behaviour,
            self.runs,
            self.done,
            self.on_time,
            self.taken_back,
            self.unproven,
            at(&self.calls, 50),
            at(&self.calls, 99),
            at(&self.calls, 100),
            at(&self.ticks, 50),
            at(&self.ticks, 99),
            at(&self.ticks, 100),
        )
    }
}

/// The percentile of sorted values; 0 when there are none.
fn at<T: Copy + Default>(sorted: &[T], percent: usize) -> T {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or_default()
}
