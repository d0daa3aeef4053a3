//! What calls on the old version lead to expect of the new one.

use protocol::evidence::CallCounts;
use protocol::evidence::SLOW_CALL_STEPS;

/// Calls that the long_term memory holds; older ones fade out.
const LONG_TERM_CALLS: f64 = 2_000.0;

/// What is left of the short_term memory after one batch.
const SHORT_TERM_DECAY: f64 = 0.7;

/// Calls of the long_term memory that steady the short_term one.
const SHORT_TERM_PRIOR_CALLS: f64 = 20.0;

/// Calls that stand for what is believed before the first one came in.
const PRIOR_CALLS: f64 = 20.0;

/// Failures among [`PRIOR_CALLS`].
const PRIOR_FAILURES: f64 = 0.5;

/// Lowest failure rate that is expected of a good version.
const FAILURE_FLOOR: f64 = 0.01;

/// Lowest rate of slow calls that is expected of a good version.
const SLOW_FLOOR: f64 = 0.05;

/// Difference between two good versions that is let pass.
const RATE_TOLERANCE: f64 = 0.01;

/// Standard errors by which an estimate is upper_bound.
const UPPER_BOUND_STANDARD_ERRORS: f64 = 2.0;

/// Highest rate that is expected; above it a worse version can't be told from the old one.
const RATE_CEILING: f64 = 0.95;

/// Share of the old version's calls that may be slower than its usual latency.
const USUAL_LATENCY_TAIL: f64 = 0.1;

/// Steps above the usual latency from which a call is slow: 1.4 to 2 times the usual one.
const SLOW_STEPS_ABOVE: usize = 2;

/// Timed calls of the old version before slow_threshold is judged.
const MIN_TIMED_CALLS: f64 = 20.0;

/// Fading counts of the old version.
#[derive(Debug, Clone, Default)]
pub(crate) struct Baseline {
    long_term: CallSums,
    short_term: CallSums,
}

/// The bound of a slow call, and how many of a good version's calls may pass it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct SlowThreshold {
    /// Index into [`SLOW_CALL_STEPS`].
    pub(crate) step: usize,
    /// Expected rate of calls beyond the step.
    pub(crate) rate: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct CallSums {
    calls: f64,
    failed: f64,
    timed: f64,
    slower: [f64; SLOW_CALL_STEPS.len()],
}

impl Baseline {
    /// Takes in what the old version's calls did in one batch.
    pub(crate) fn add(&mut self, batch: &CallCounts) {
        let batch = CallSums::new(batch);
        self.long_term.add(&batch);
        if self.long_term.calls > LONG_TERM_CALLS {
            self.long_term.scale(LONG_TERM_CALLS / self.long_term.calls);
        }
        self.short_term.scale(SHORT_TERM_DECAY);
        self.short_term.add(&batch);
    }

    /// Failure rate that a good version may have, on the upper side.
    pub(crate) fn failure_rate(&self) -> f64 {
        let long_term_rate =
            (self.long_term.failed + PRIOR_FAILURES) / (self.long_term.calls + PRIOR_CALLS);
        let upper =
            upper_bound(long_term_rate, self.long_term.calls + PRIOR_CALLS).max(FAILURE_FLOOR);
        let recent = smoothed(
            self.short_term.failed,
            self.short_term.calls,
            long_term_rate,
        );
        (upper.max(recent) + RATE_TOLERANCE).min(RATE_CEILING)
    }

    /// What a slow call is; `None` until enough calls of the old version were timed.
    pub(crate) fn slow_threshold(&self) -> Option<SlowThreshold> {
        if self.long_term.timed < MIN_TIMED_CALLS {
            return None;
        }
        let rate = |step: usize| self.long_term.slower[step] / self.long_term.timed;
        let last = SLOW_CALL_STEPS.len() - 1;
        let usual = (0..last)
            .find(|step| rate(*step) <= USUAL_LATENCY_TAIL)
            .unwrap_or(last);
        let step = (usual + SLOW_STEPS_ABOVE).min(last);
        let upper = upper_bound(rate(step), self.long_term.timed).max(SLOW_FLOOR);
        let recent = smoothed(
            self.short_term.slower[step],
            self.short_term.timed,
            rate(step),
        );
        let rate = (upper.max(recent) + RATE_TOLERANCE).min(RATE_CEILING);
        Some(SlowThreshold { step, rate })
    }
}

impl CallSums {
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

fn upper_bound(rate: f64, calls: f64) -> f64 {
    rate + UPPER_BOUND_STANDARD_ERRORS * (rate * (1.0 - rate) / calls).sqrt()
}

fn smoothed(events: f64, calls: f64, rate: f64) -> f64 {
    (events + SHORT_TERM_PRIOR_CALLS * rate) / (calls + SHORT_TERM_PRIOR_CALLS)
}
