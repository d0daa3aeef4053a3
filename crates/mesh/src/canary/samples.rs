//! Sums over the answers of several instances.

use std::time::Instant;

use crate::canary::MIN_ANSWERS;
use crate::evidence::RouteStats;
use crate::health::Health;

/// Answers of one instance, or the sum over several.
pub(super) trait Sample: Default {
    /// Returns the number of answers.
    fn answers(&self) -> f64;

    /// Returns the sort key of instances; lower is better.
    fn badness(&self) -> f64;

    /// Adds the answers of another sample.
    fn add(&mut self, other: &Self);
}

/// Sums the better half of a version's instances, since a few failing or slow instances indicate a
/// fault of their machines and not of the version. Sums all where the better half has too few
/// answers.
pub(super) fn sum_better_half<S: Sample>(samples: Vec<S>) -> S {
    let half = samples.len().div_ceil(2);
    sum_best(samples, half)
}

/// As [`sum_better_half`], without the worst quarter only: the better half of a few instances of a bad version
/// has much fewer failures than all of them.
pub(super) fn sum_but_worst_quarter<S: Sample>(samples: Vec<S>) -> S {
    let most = samples.len() - samples.len().div_ceil(4);
    sum_best(samples, most.max(1))
}

fn sum_best<S: Sample>(mut samples: Vec<S>, count: usize) -> S {
    samples.sort_by(|a, b| a.badness().total_cmp(&b.badness()));
    let best = sum_all(samples.iter().take(count));
    if best.answers() >= f64::from(MIN_ANSWERS) {
        best
    } else {
        sum_all(samples.iter())
    }
}

pub(super) fn sum_all<'a, S: Sample + 'a>(samples: impl Iterator<Item = &'a S>) -> S {
    samples.fold(S::default(), |mut sum, sample| {
        sum.add(sample);
        sum
    })
}

/// Mean latency, in milliseconds, that counts as much as a failure rate of 1; clients do not wait
/// this long.
const LATENCY_SCALE_MS: f64 = 10_000.0;

impl Sample for RouteStats {
    fn answers(&self) -> f64 {
        f64::from(self.answers)
    }

    /// Orders by the share of failed requests, then by mean latency.
    fn badness(&self) -> f64 {
        let failed = f64::from(self.failures + self.missing);
        let failure_rate = failed / f64::from((self.answers + self.missing).max(1));
        failure_rate + self.mean_ms() / LATENCY_SCALE_MS
    }

    fn add(&mut self, other: &Self) {
        Self::add(self, other);
    }
}

/// Decayed counts of the recent answers on one route.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RecentAnswers {
    good: f64,
    pub(super) failed: f64,
}

/// Recent answers of the target and of the other versions.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RecentPair {
    pub(super) new: RecentAnswers,
    pub(super) old: RecentAnswers,
}

impl RecentAnswers {
    pub(super) fn of(health: &Health, at: Instant) -> Self {
        let (good, failed) = health.decayed_counts(at);
        Self { good, failed }
    }

    pub(super) fn failure_rate(self) -> f64 {
        self.failed / self.answers().max(1.0)
    }
}

impl Sample for RecentAnswers {
    fn answers(&self) -> f64 {
        self.good + self.failed
    }

    fn badness(&self) -> f64 {
        self.failure_rate()
    }

    fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.failed += other.failed;
    }
}
