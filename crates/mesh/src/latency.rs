//! Latency of one instance relative to the other instances of its service.
//!
//! Handles instances of different speed in fleets where each caller sends an instance only a few
//! requests a minute: the daemon beside the instance sees all of its requests, compares each with
//! the mean latency of its route, and reports the average to all callers.

use std::time::Duration;

/// Weight of the latest request: averages over the last sixteen, some seconds of one instance.
const SMOOTHING: f64 = 1.0 / 16.0;

/// Requests without which no average is reported.
const MIN_SAMPLES: u32 = 8;

/// Bounds of one sample, so that a single outlier does not dominate.
const SAMPLE_BOUNDS: (f64, f64) = (0.1, 8.0);

/// Shortest mean latency that a sample is compared with.
const MIN_MEAN: Duration = Duration::from_micros(100);

/// Moving average of the relative latency of one instance.
#[derive(Debug, Clone, Default)]
pub struct RelativeLatency {
    average: f64,
    samples: u32,
}

impl RelativeLatency {
    /// Records a request that took this long, on a route with this mean latency over all instances.
    pub fn record(&mut self, took: Duration, route_mean: Duration) {
        let ratio = took.as_secs_f64() / route_mean.max(MIN_MEAN).as_secs_f64();
        let ratio = ratio.clamp(SAMPLE_BOUNDS.0, SAMPLE_BOUNDS.1);
        // Until the window is full, all samples have the same weight.
        let weight = SMOOTHING.max(1.0 / f64::from(self.samples + 1));
        self.average += weight * (ratio - self.average);
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the average in thousandths, or 0 while there are too few samples.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn permille(&self) -> u16 {
        if self.samples < MIN_SAMPLES {
            return 0;
        }
        (self.average * 1000.0) as u16
    }
}
