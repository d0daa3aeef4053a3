//! Statistics over many simulated rollouts, for benchmarks.

use std::fmt;

use crate::simulation::Behaviour;
use crate::simulation::Ending;
use crate::simulation::Outcome;
use crate::simulation::Simulation;

/// Statistics over the simulations of one behaviour.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// Behaviour of the new version.
    pub behaviour: Behaviour,
    /// Simulations run.
    pub runs: u32,
    /// Rollouts that finished.
    pub done: u32,
    /// Rollouts that finished by the deadline.
    pub on_time: u32,
    /// Rollouts that were rolled back.
    pub rolled_back: u32,
    /// Rollbacks because the version spent its probe calls unproven, without an alarm.
    pub unproven: u32,
    /// Calls on the new version while its fault was active, one value per rollback, sorted.
    pub calls_until_rollback: Vec<u64>,
    /// Ticks from the first call with the fault active to the rollback in force, sorted.
    pub ticks_until_rollback: Vec<u32>,
}

/// Runs `runs` simulations with seeds derived from that of `base`.
#[must_use]
pub fn summarize(base: &Simulation, runs: u32) -> Summary {
    let mut summary = Summary::new(base.behaviour);
    for index in 0..runs {
        let simulation = Simulation {
            seed: base.seed.wrapping_mul(1_000_003) + u64::from(index),
            ..base.clone()
        };
        summary.add(&simulation.run());
    }
    summary.calls_until_rollback.sort_unstable();
    summary.ticks_until_rollback.sort_unstable();
    summary
}

impl Summary {
    fn new(behaviour: Behaviour) -> Self {
        Self {
            behaviour,
            runs: 0,
            done: 0,
            on_time: 0,
            rolled_back: 0,
            unproven: 0,
            calls_until_rollback: Vec::new(),
            ticks_until_rollback: Vec::new(),
        }
    }

    fn add(&mut self, outcome: &Outcome) {
        self.runs += 1;
        match &outcome.ending {
            Ending::Done { is_on_time, .. } => {
                self.done += 1;
                self.on_time += u32::from(*is_on_time);
            }
            Ending::RolledBack { reason } => {
                self.rolled_back += 1;
                self.unproven += u32::from(reason.starts_with("not proven"));
                self.calls_until_rollback.push(outcome.calls_since_fault);
                self.ticks_until_rollback.push(outcome.ticks_since_fault);
            }
            Ending::Unfinished => {}
        }
    }
}

impl Summary {
    /// Percentile of the calls on the faulty version up to its rollback.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn calls_percentile(&self, percent: usize) -> f64 {
        percentile(&self.calls_until_rollback, percent) as f64
    }

    /// Percentile of the seconds from the first faulty call to the rollback in force.
    #[must_use]
    pub fn ticks_percentile(&self, percent: usize) -> f64 {
        f64::from(percentile(&self.ticks_until_rollback, percent))
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?}: {} runs, {} done, {} on time, {} rolled back ({} unproven), calls {}/{}/{}, ticks {}/{}/{}",
            self.behaviour,
            self.runs,
            self.done,
            self.on_time,
            self.rolled_back,
            self.unproven,
            percentile(&self.calls_until_rollback, 50),
            percentile(&self.calls_until_rollback, 99),
            percentile(&self.calls_until_rollback, 100),
            percentile(&self.ticks_until_rollback, 50),
            percentile(&self.ticks_until_rollback, 99),
            percentile(&self.ticks_until_rollback, 100),
        )
    }
}

/// Returns a percentile of sorted values; zero when there are none.
fn percentile<T: Copy + Default>(sorted: &[T], percent: usize) -> T {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or_default()
}
