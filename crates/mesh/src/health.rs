//! How many of its latest requests an instance failed.
//!
//! Answers instances that fail a part of their requests while they say that they are well, and that
//! seem idle because they fail at once. The daemon beside the instance counts for all callers, so
//! one failure is known to all of them with the next reply.

use std::time::Duration;
use std::time::Instant;

/// Time in which what was counted loses half of its weight, so that an instance is tried again some
/// seconds after its last failure.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Good requests that are assumed beside the counted ones, so that one failure counts as a fifth.
const ASSUMED_GOOD: f64 = 4.0;

/// Rise of the share of failures, in thousandths, at which all callers are told at once: what placing
/// tolerates.
const ALARM_STEP: u16 = 100;

/// Share of failures, in thousandths, below which the next rise counts from zero again: half a step.
const CALM_BELOW: u16 = 50;

/// Tells when all callers should hear that an instance fails more of its requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Alarm {
    /// Highest share that was told since the instance was last well.
    told: u16,
}

impl Alarm {
    /// Whether all callers should be told of this share now.
    pub fn should_notify(&mut self, failures_permille: u16) -> bool {
        if failures_permille < CALM_BELOW {
            self.told = 0;
        }
        if failures_permille < self.told + ALARM_STEP {
            return false;
        }
        self.told = failures_permille;
        true
    }
}

/// Requests of one instance, good and failed, fading.
#[derive(Debug, Clone, Default)]
pub struct Health {
    good: f64,
    failed: f64,
    counted: Option<Instant>,
}

impl Health {
    /// Counts a request.
    pub fn record(&mut self, is_failure: bool, now: Instant) {
        let failed = u32::from(is_failure);
        self.record_all(1 - failed, failed, now);
    }

    /// Counts good and failed requests.
    pub fn record_all(&mut self, good: u32, failed: u32, now: Instant) {
        let kept = self.kept(now);
        self.good = self.good * kept + f64::from(good);
        self.failed = self.failed * kept + f64::from(failed);
        self.counted = Some(now);
    }

    /// Share of the latest requests that failed, 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let kept = self.kept(now);
        self.failed * kept / ((self.good + self.failed) * kept + ASSUMED_GOOD)
    }

    /// When a request was counted last.
    #[must_use]
    pub fn last_recorded(&self) -> Option<Instant> {
        self.counted
    }

    /// Weights of good and failed requests at a time.
    #[must_use]
    pub fn decayed_counts(&self, then: Instant) -> (f64, f64) {
        let kept = self.kept(then);
        (self.good * kept, self.failed * kept)
    }

    /// The same in thousandths, as it is told to others.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn failures_permille(&self, now: Instant) -> u16 {
        (self.failure_rate(now) * 1000.0) as u16
    }

    fn kept(&self, now: Instant) -> f64 {
        let age = self
            .counted
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        decay_factor(age)
    }
}

/// Weight of what was learned this long ago, 0 to 1.
#[must_use]
pub fn decay_factor(age: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
}
