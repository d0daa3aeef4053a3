//! Latency of one instance relative to the other instances of its service.
//!
//! Handles instances of different speed in fleets where each caller sends an instance only a few
//! requests a minute: the daemon beside the instance sees all of its requests, compares each with
//! the mean latency of its route, and reports the average to all callers.
//!
//! Some instances share their machines with other work and state how long work takes there at this
//! moment. That changes faster than an average follows, so it is kept apart: each latency is divided by
//! the stated work time before it enters the average.

use std::time::Duration;
use std::time::Instant;

/// Weight of the latest request: averages over the last sixteen, some seconds of one instance.
const SMOOTHING: f64 = 1.0 / 16.0;

/// Requests without which no average is reported.
const MIN_SAMPLES: u32 = 8;

/// Bounds of one sample, so that a single outlier does not dominate.
const SAMPLE_BOUNDS: (f64, f64) = (0.1, 8.0);

/// Shortest mean latency that a sample is compared with.
const MIN_MEAN: Duration = Duration::from_micros(100);

/// Age at which a stated work time has lost most of its weight; the load of shared machines changes
/// about as often.
const WORK_TIME_PERIOD: Duration = Duration::from_millis(600);

/// Range of readable work times, in thousandths.
const WORK_TIME_RANGE: std::ops::RangeInclusive<u16> = 100..=20_000;

/// What an instance states about the time that work takes on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkTimeNotice {
    /// Nothing.
    Absent,
    /// The time relative to its usual one, in thousandths.
    Stated(u16),
    /// The statement cannot be read or is out of range.
    Unreadable,
}

impl WorkTimeNotice {
    /// Returns the notice of a work time in thousandths of the usual one.
    #[must_use]
    pub fn from_permille(permille: u32) -> Self {
        match u16::try_from(permille) {
            Ok(permille) if WORK_TIME_RANGE.contains(&permille) => Self::Stated(permille),
            _ => Self::Unreadable,
        }
    }

    /// Returns what the log says about the notice; the stated value changes too often for it.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Absent => "absent",
            Self::Stated(_) => "stated",
            Self::Unreadable => "unreadable",
        }
    }
}

/// The work time that one instance stated last.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkTime {
    stated: Option<(u16, Instant)>,
}

impl WorkTime {
    /// Records a notice; one without a readable work time leaves the last one to age.
    pub fn record(&mut self, notice: WorkTimeNotice, now: Instant) {
        if let WorkTimeNotice::Stated(permille) = notice {
            self.stated = Some((permille, now));
        }
    }

    /// Returns how long work takes now relative to its usual time.
    #[must_use]
    pub fn factor(&self, now: Instant) -> f64 {
        self.stated.map_or(1.0, |(permille, at)| {
            aged_work_time(permille, now.saturating_duration_since(at))
        })
    }

    /// Returns the factor in thousandths, as other daemons receive it; `None` if none was ever stated.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn permille(&self, now: Instant) -> Option<u16> {
        self.stated?;
        Some((self.factor(now) * 1000.0) as u16)
    }
}

/// Returns the expected work time, relative to the usual one, if this was stated `age` ago.
#[must_use]
pub fn aged_work_time(permille: u16, age: Duration) -> f64 {
    let weight = (-age.as_secs_f64() / WORK_TIME_PERIOD.as_secs_f64()).exp();
    1.0 + (f64::from(permille) / 1e3 - 1.0) * weight
}

/// Moving average of the relative latency of one instance.
#[derive(Debug, Clone, Default)]
pub struct RelativeLatency {
    average: f64,
    samples: u32,
}

impl RelativeLatency {
    /// Records a request that took this long, on a route with this mean latency over all instances,
    /// while work took `work_time` of its usual time.
    pub fn record(&mut self, took: Duration, route_mean: Duration, work_time: f64) {
        let ratio = took.as_secs_f64() / route_mean.max(MIN_MEAN).as_secs_f64() / work_time;
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
