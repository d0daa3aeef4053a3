//! Sequential tests on a stream of faulty and faultless calls.
//!
//! Two statistics run on each stream. The alarm is a CUSUM: the cumulative sum of log-likelihood
//! ratios of several worse rates against the expected rate, with a floor of zero, so that a late
//! fault is detected as fast as an early one. The proof is a Wald sequential probability ratio test
//! of the expected rate against a bad rate.

/// Upper limit of the probability that a good version is rolled back within
/// [`FALSE_ROLLBACK_BATCHES`] batches.
pub const FALSE_ROLLBACK_PROBABILITY: f64 = 0.001;

/// Upper limit of the probability that a version with the bad rate is proven.
pub const MISSED_BAD_PROBABILITY: f64 = 0.01;

/// Batches, at one per second, over which [`FALSE_ROLLBACK_PROBABILITY`] holds.
pub const FALSE_ROLLBACK_BATCHES: f64 = 1_000.0;

/// Worse rates that the alarm tests, as fractions of the distance from the expected rate to 1.
const ALTERNATIVES: [f64; 4] = [0.04, 0.15, 0.5, 0.9];

/// Upper limit of the proof as a multiple of its threshold, so that failing calls soon void it.
const PROOF_CAP: f64 = 2.0;

/// State of both tests on one stream.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Detector {
    alarms: [f64; ALTERNATIVES.len()],
    proof: f64,
}

/// One batch of calls on a stream.
#[derive(Debug, Clone, Copy)]
pub struct Batch {
    /// Calls that failed or were slow.
    pub faulty: u64,
    /// All calls, including the faulty ones.
    pub calls: u64,
    /// Expected rate of faulty calls, above 0 and below 1.
    pub expected: f64,
    /// Rate of faulty calls that the proof must rule out.
    pub bad: f64,
}

impl Detector {
    /// Updates both statistics with a batch.
    pub(crate) fn observe(&mut self, batch: Batch) {
        let expected = batch.expected;
        for (alarm, fraction) in self.alarms.iter_mut().zip(ALTERNATIVES) {
            let worse = expected + (1.0 - expected) * fraction;
            *alarm = (*alarm + batch.log_ratio(worse, expected)).max(0.0);
        }
        let proof = self.proof + batch.log_ratio(expected, batch.bad);
        self.proof = proof.min(PROOF_CAP * proof_threshold());
    }

    /// Resets the proof, so that the next step needs a new one.
    pub(crate) fn reset_proof(&mut self) {
        self.proof = 0.0;
    }

    /// Alarm statistic relative to its threshold; 1 and above is an alarm.
    ///
    /// `streams` is the number of streams that share [`FALSE_ROLLBACK_PROBABILITY`].
    pub(crate) fn alarm_level(&self, streams: usize) -> f64 {
        let highest = self.alarms.iter().copied().fold(0.0, f64::max);
        highest / alarm_threshold(streams)
    }

    /// Whether the stream's rate is proven to be below the bad rate.
    pub(crate) fn is_proven(&self) -> bool {
        self.proof >= proof_threshold()
    }

    /// Faultless calls that would complete the proof.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(crate) fn calls_needed(&self, expected: f64, bad: f64) -> u64 {
        let remaining = (proof_threshold() - self.proof).max(0.0);
        let gain_per_call = ((1.0 - expected) / (1.0 - bad)).ln();
        (remaining / gain_per_call).ceil() as u64
    }
}

impl Batch {
    /// Whether the batch alone proves that the rate is below the bad one.
    #[must_use]
    pub fn is_proof(&self) -> bool {
        self.log_ratio(self.expected, self.bad) >= proof_threshold()
    }

    /// Whether the batch speaks for the bad rate rather than for the expected one.
    #[must_use]
    pub fn is_suspicious(&self) -> bool {
        self.log_ratio(self.bad, self.expected) > 0.0
    }

    /// Whether the batch alone proves that the rate is the bad one rather than the expected one, with
    /// [`MISSED_BAD_PROBABILITY`] of an error.
    #[must_use]
    pub fn is_proof_of_bad(&self) -> bool {
        self.log_ratio(self.bad, self.expected) >= proof_threshold()
    }

    /// Whether the batch alone proves that the rate is the bad one rather than the expected one, as one of
    /// `tests` that share [`FALSE_ROLLBACK_PROBABILITY`].
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn is_alarm(&self, tests: usize) -> bool {
        let threshold = (tests as f64 / FALSE_ROLLBACK_PROBABILITY).ln();
        self.log_ratio(self.bad, self.expected) >= threshold
    }

    /// Log-likelihood ratio of the batch at rate `a` against rate `b`.
    #[allow(clippy::cast_precision_loss)]
    fn log_ratio(&self, a: f64, b: f64) -> f64 {
        let faulty = self.faulty as f64;
        let faultless = self.calls.saturating_sub(self.faulty) as f64;
        faulty * (a / b).ln() + faultless * ((1.0 - a) / (1.0 - b)).ln()
    }
}

#[allow(clippy::cast_precision_loss)]
fn alarm_threshold(streams: usize) -> f64 {
    let tests = streams as f64 * ALTERNATIVES.len() as f64;
    (tests * FALSE_ROLLBACK_BATCHES / FALSE_ROLLBACK_PROBABILITY).ln()
}

fn proof_threshold() -> f64 {
    -MISSED_BAD_PROBABILITY.ln()
}
