//! Correction of expected waits by actual ones.
//!
//! Expected waits follow from mean service times. Where these are off, as at an instance that slows
//! down when it is full, actual waits are longer by a ratio that changes slowly.

use std::time::Duration;

/// Weight of the latest wait in the ratio of actual to expected waits: averages over the last
/// twenty.
const WAIT_RATIO_SMOOTHING: f64 = 0.05;

/// Lower bound of the expected wait, in seconds, in its comparison with the actual one: the error
/// of timers is as large.
const MIN_EXPECTED_WAIT_SECS: f64 = 0.005;

/// Upper bound of the ratio of actual to expected waits: above it an instance is stalled, which
/// missing replies show sooner.
const MAX_WAIT_RATIO: f64 = 4.0;

/// Moving average of the ratio of actual to expected waits of long requests, at least 1.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitRatio(f64);

impl Default for WaitRatio {
    fn default() -> Self {
        Self(1.0)
    }
}

impl WaitRatio {
    /// Records the wait of a request whose `expected` wait was corrected by this ratio.
    pub(super) fn record(&mut self, actual: Duration, expected: Duration) {
        let uncorrected = expected.as_secs_f64() / self.0;
        let ratio = actual.as_secs_f64() / uncorrected.max(MIN_EXPECTED_WAIT_SECS);
        self.0 += WAIT_RATIO_SMOOTHING * (ratio.clamp(1.0, MAX_WAIT_RATIO) - self.0);
    }

    pub(super) fn value(self) -> f64 {
        self.0
    }
}
