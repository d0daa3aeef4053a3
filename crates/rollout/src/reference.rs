//! What calls on the old version lead to expect of the new one.

use protocol::evidence::CallCounts;
use protocol::evidence::SLOW_CALL_STEPS;

/// Calls that the long memory holds; older ones fade out.
const LONG_MEMORY_CALLS: f64 = 2_000.0;

/// What is left of the short memory after one batch.
const SHORT_MEMORY_DECAY: f64 = 0.7;

/// Calls of the long memory that steady the short one.
const SHORT_MEMORY_WEIGHT: f64 = 20.0;

/// Calls that stand for what is believed before the first one came in.
const PRIOR_CALLS: f64 = 20.0;

/// Failures among [`PRIOR_CALLS`].
const PRIOR_FAILURES: f64 = 0.5;

/// Lowest failure rate that is expected of a good version.
const FAILURE_FLOOR: f64 = 0.01;

/// Lowest rate of slow calls that is expected of a good version.
const SLOW_FLOOR: f64 = 0.05;

/// Difference between two good versions that is let pass.
const SLACK: f64 = 0.01;

/// Standard errors by which an estimate is raised.
const STANDARD_ERRORS: f64 = 2.0;

/// Highest rate that is expected; above it a worse version can't be told from the old one.
const RATE_CEILING: f64 = 0.95;

/// Share of the old version's calls that may be slower than its usual latency.
const USUAL_LATENCY_TAIL: f64 = 0.1;

/// Steps above the usual latency from which a call is slow: 1.4 to 2 times the usual one.
const SLOW_STEPS_ABOVE: usize = 2;

/// Timed calls of the old version before slowness is judged.
const MIN_TIMED_CALLS: f64 = 20.0;

/// Fading counts of the old version.
#[derive(Debug, Clone, Default)]
pub(crate) struct Reference {
    long: Sums,
    short: Sums,
}

/// The bound of a slow call, and how many of a good version's calls may pass it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Slowness {
    /// Index into [`SLOW_CALL_STEPS`].
    pub(crate) step: usize,
    /// Expected rate of calls beyond the step.
    pub(crate) rate: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    calls: f64,
    failed: f64,
    timed: f64,
    slower: [f64; SLOW_CALL_STEPS.len()],
}

impl Reference {
    /// Takes in what the old version's calls did in one batch.
    pub(crate) fn add(&mut self, batch: &CallCounts) {
        let batch = Sums::new(batch);
        self.long.add(&batch);
        if self.long.calls > LONG_MEMORY_CALLS {
            self.long.scale(LONG_MEMORY_CALLS / self.long.calls);
        }
        self.short.scale(SHORT_MEMORY_DECAY);
        self.short.add(&batch);
    }

    /// Failure rate that a good version may have, on the high side.
    pub(crate) fn failure_rate(&self) -> f64 {
        let long = (self.long.failed + PRIOR_FAILURES) / (self.long.calls + PRIOR_CALLS);
        let high = raised(long, self.long.calls + PRIOR_CALLS).max(FAILURE_FLOOR);
        let lately = steadied(self.short.failed, self.short.calls, long);
        (high.max(lately) + SLACK).min(RATE_CEILING)
    }

    /// What a slow call is; `None` until enough calls of the old version were timed.
    pub(crate) fn slowness(&self) -> Option<Slowness> {
        if self.long.timed < MIN_TIMED_CALLS {
            return None;
        }
        let rate = |step: usize| self.long.slower[step] / self.long.timed;
        let last = SLOW_CALL_STEPS.len() - 1;
        let usual = (0..last)
            .find(|step| rate(*step) <= USUAL_LATENCY_TAIL)
            .unwrap_or(last);
        let step = (usual + SLOW_STEPS_ABOVE).min(last);
        let high = raised(rate(step), self.long.timed).max(SLOW_FLOOR);
        let lately = steadied(self.short.slower[step], self.short.timed, rate(step));
        let rate = (high.max(lately) + SLACK).min(RATE_CEILING);
        Some(Slowness { step, rate })
    }
}

impl Sums {
    #[allow(clippy::cast_precision_loss)]
    fn new(counts: &CallCounts) -> Self {
        Self {
            calls: counts.calls() as f64,
            failed: counts.failed as f64,
            timed: counts.timed as f64,
            slower: counts.slower.map(|count| count as f64),
        }
    }

    fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.failed += other.failed;
        self.timed += other.timed;
        for (sum, more) in self.slower.iter_mut().zip(other.slower) {
            *sum += more;
        }
    }

    fn scale(&mut self, factor: f64) {
        self.calls *= factor;
        self.failed *= factor;
        self.timed *= factor;
        for sum in &mut self.slower {
            *sum *= factor;
        }
    }
}

fn raised(rate: f64, calls: f64) -> f64 {
    rate + STANDARD_ERRORS * (rate * (1.0 - rate) / calls).sqrt()
}

fn steadied(hits: f64, calls: f64, rate: f64) -> f64 {
    (hits + SHORT_MEMORY_WEIGHT * rate) / (calls + SHORT_MEMORY_WEIGHT)
}
