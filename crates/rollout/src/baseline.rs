//! Baseline of the old version: the failure and slow-call rates expected of a good new version.

use protocol::evidence::CallCounts;
use protocol::evidence::LATENCY_BOUNDS_MICROS;

/// Upper limit of calls in the long-term counts; above it, older calls are scaled down.
const LONG_TERM_CALLS: f64 = 2_000.0;

/// Fraction of the short-term counts that remains after each batch.
const SHORT_TERM_DECAY: f64 = 0.7;

/// Pseudo-calls at the long-term rate that smooth the short-term rate.
const SHORT_TERM_PRIOR_CALLS: f64 = 20.0;

/// Pseudo-calls of the prior, which holds before the first call.
const PRIOR_CALLS: f64 = 20.0;

/// Failures among [`PRIOR_CALLS`].
const PRIOR_FAILURES: f64 = 0.5;

/// Lower limit of the expected failure rate.
const FAILURE_FLOOR: f64 = 0.01;

/// Lower limit of the expected rate of slow calls.
const SLOW_FLOOR: f64 = 0.05;

/// Tolerated difference between the rates of two good versions.
const RATE_TOLERANCE: f64 = 0.01;

/// Standard errors between an estimate and its upper bound.
const UPPER_BOUND_STANDARD_ERRORS: f64 = 2.0;

/// Upper limit of an expected rate; above it, a worse version can't be told from the old one.
const RATE_CEILING: f64 = 0.95;

/// Fraction of the old version's calls that may exceed its usual latency.
const USUAL_LATENCY_TAIL: f64 = 0.1;

/// Latency bounds from the usual latency to the slow-call threshold, which is 1.4 to 2 times as
/// high.
const SLOW_BOUNDS_ABOVE: usize = 2;

/// Timed calls of the old version required before slow calls are judged.
const MIN_TIMED_CALLS: f64 = 20.0;

/// Exponentially decayed call counts of the old version.
#[derive(Debug, Clone, Default)]
pub(crate) struct Baseline {
    long_term: CallSums,
    short_term: CallSums,
}

/// Latency above which a call is slow, and the expected rate of slow calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct SlowThreshold {
    /// Index into [`LATENCY_BOUNDS_MICROS`].
    pub(crate) bound: usize,
    /// Expected rate of calls slower than the bound.
    pub(crate) rate: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct CallSums {
    calls: f64,
    failed: f64,
    timed: f64,
    slower: [f64; LATENCY_BOUNDS_MICROS.len()],
}

impl Baseline {
    /// Adds one batch of calls on the old version.
    pub(crate) fn add(&mut self, batch: &CallCounts) {
        let batch = CallSums::new(batch);
        self.long_term.add(&batch);
        if self.long_term.calls > LONG_TERM_CALLS {
            self.long_term.scale(LONG_TERM_CALLS / self.long_term.calls);
        }
        self.short_term.scale(SHORT_TERM_DECAY);
        self.short_term.add(&batch);
    }

    /// Upper estimate of a good version's failure rate.
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

    /// Slow-call threshold; `None` until enough calls on the old version were timed.
    pub(crate) fn slow_threshold(&self) -> Option<SlowThreshold> {
        if self.long_term.timed < MIN_TIMED_CALLS {
            return None;
        }
        let rate = |bound: usize| self.long_term.slower[bound] / self.long_term.timed;
        let last = LATENCY_BOUNDS_MICROS.len() - 1;
        let usual = (0..last)
            .find(|bound| rate(*bound) <= USUAL_LATENCY_TAIL)
            .unwrap_or(last);
        let bound = (usual + SLOW_BOUNDS_ABOVE).min(last);
        let upper = upper_bound(rate(bound), self.long_term.timed).max(SLOW_FLOOR);
        let recent = smoothed(
            self.short_term.slower[bound],
            self.short_term.timed,
            rate(bound),
        );
        let rate = (upper.max(recent) + RATE_TOLERANCE).min(RATE_CEILING);
        Some(SlowThreshold { bound, rate })
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
