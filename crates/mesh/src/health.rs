//! Failure rate of an instance over its recent requests, with exponential decay.
//!
//! Detects instances that fail some of their requests while their heartbeats report them ready, and
//! that appear idle because they fail immediately. The daemon beside the instance counts for all
//! callers, so that each caller learns of a failure with its next reply.

use std::time::Duration;
use std::time::Instant;

/// Half-life of the recorded counts; lets an instance be tried again some seconds after its last
/// failure.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Successful requests assumed in addition to the recorded ones, so that a single failure gives a
/// rate of one fifth.
const ASSUMED_SUCCESSES: f64 = 4.0;

/// Increase of the failure rate, in thousandths, at which all callers are notified immediately: the
/// rate that the balancer tolerates.
const NOTIFY_STEP_PERMILLE: u16 = 100;

/// Failure rate, in thousandths, below which the next increase counts from zero again: half a step.
const REARM_BELOW_PERMILLE: u16 = 50;

/// Decides when all callers must be notified that the failure rate of an instance has increased.
#[derive(Debug, Clone, Copy, Default)]
pub struct Alarm {
    /// Failure rate at the last notification, in thousandths; 0 once the instance has recovered.
    last_notified: u16,
}

impl Alarm {
    /// Returns whether callers must be notified of this rate now, and records the notification.
    pub fn should_notify(&mut self, failures_permille: u16) -> bool {
        if failures_permille < REARM_BELOW_PERMILLE {
            self.last_notified = 0;
        }
        if failures_permille < self.last_notified + NOTIFY_STEP_PERMILLE {
            return false;
        }
        self.last_notified = failures_permille;
        true
    }
}

/// Exponentially decaying counts of successful and failed requests of one instance.
#[derive(Debug, Clone, Default)]
pub struct Health {
    good: f64,
    failed: f64,
    last_recorded: Option<Instant>,
}

impl Health {
    /// Records one request.
    pub fn record(&mut self, is_failure: bool, now: Instant) {
        let failed = u32::from(is_failure);
        self.record_all(1 - failed, failed, now);
    }

    /// Records a number of successful and failed requests.
    pub fn record_all(&mut self, good: u32, failed: u32, now: Instant) {
        let decay = self.decay(now);
        self.good = self.good * decay + f64::from(good);
        self.failed = self.failed * decay + f64::from(failed);
        self.last_recorded = Some(now);
    }

    /// Returns the share of recent requests that failed, 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let decay = self.decay(now);
        self.failed * decay / ((self.good + self.failed) * decay + ASSUMED_SUCCESSES)
    }

    /// Returns the time of the last recorded request.
    #[must_use]
    pub fn last_recorded(&self) -> Option<Instant> {
        self.last_recorded
    }

    /// Returns the counts of successful and failed requests, decayed to `time`.
    #[must_use]
    pub fn decayed_counts(&self, time: Instant) -> (f64, f64) {
        let decay = self.decay(time);
        (self.good * decay, self.failed * decay)
    }

    /// Returns the failure rate in thousandths, as other daemons receive it.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn failures_permille(&self, now: Instant) -> u16 {
        (self.failure_rate(now) * 1000.0) as u16
    }

    fn decay(&self, now: Instant) -> f64 {
        let age = self
            .last_recorded
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        decay_factor(age)
    }
}

/// Returns the weight of an observation of this age, 0 to 1.
#[must_use]
pub fn decay_factor(age: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
}
