//! Statistics of an instance's answers, counted by the daemon beside it, as evidence for judging
//! the version that it runs.

use std::time::Duration;

use base::ServiceName;
use base::UnixMillis;
use base::VersionName;
use serde::Deserialize;
use serde::Serialize;

use crate::config::RouteName;

/// Maximum number of routes in [`Evidence`]: at up to 64 bytes each they take about half of a
/// datagram.
const MAX_ROUTES: usize = 12;

/// Answers of one instance on one route since the instance's start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteStats {
    /// Number of answers, failures included.
    pub answers: u32,
    /// Number of answers that were failures.
    pub failures: u32,
    /// Number of requests that ended without a complete answer; not part of `answers`.
    pub missing: u32,
    /// Sum of the latencies of all answers, in milliseconds.
    pub total_ms: u64,
    /// Latency histogram of the answers, with the bucket bounds [`LATENCY_BOUNDS_MS`].
    pub times: [u32; LATENCY_BOUNDS_MS.len() + 1],
}

/// Bucket bounds of the latency histogram, in milliseconds: powers of two around the users' service
/// times of 22 to 290 ms.
pub const LATENCY_BOUNDS_MS: [u64; 5] = [64, 128, 256, 512, 1024];

impl RouteStats {
    /// Records an answer and its latency.
    pub fn record_answer(&mut self, latency: Duration, is_failure: bool) {
        let ms = u64::try_from(latency.as_millis()).unwrap_or(u64::MAX);
        self.answers += 1;
        self.failures += u32::from(is_failure);
        self.total_ms += ms;
        self.times[LATENCY_BOUNDS_MS.partition_point(|bound| *bound <= ms)] += 1;
    }

    /// Adds the counts of others.
    pub(crate) fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.missing += other.missing;
        self.total_ms += other.total_ms;
        for (sum, count) in self.times.iter_mut().zip(other.times) {
            *sum += count;
        }
    }

    /// Returns the difference to an earlier snapshot; everything where there is none.
    pub(crate) fn delta_since(&self, earlier: Option<&Self>) -> Self {
        let Some(earlier) = earlier else {
            return self.clone();
        };
        let mut times = self.times;
        for (count, earlier) in times.iter_mut().zip(earlier.times) {
            *count = count.saturating_sub(earlier);
        }
        Self {
            answers: self.answers.saturating_sub(earlier.answers),
            failures: self.failures.saturating_sub(earlier.failures),
            missing: self.missing.saturating_sub(earlier.missing),
            total_ms: self.total_ms.saturating_sub(earlier.total_ms),
            times,
        }
    }

    /// Returns the share of answers slower than the first bucket bound at or above `ms`.
    pub(crate) fn share_slower_than(&self, ms: f64) -> f64 {
        f64::from(self.count_slower_than(ms)) / f64::from(self.answers.max(1))
    }

    /// Returns the number of answers slower than the first bucket bound at or above `ms`.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(crate) fn count_slower_than(&self, ms: f64) -> u32 {
        let bound_ms = ms as u64;
        let bucket = LATENCY_BOUNDS_MS.partition_point(|bound| *bound < bound_ms);
        self.times.iter().skip(bucket + 1).sum()
    }

    /// Returns the mean latency of the answers, in milliseconds.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn mean_ms(&self) -> f64 {
        self.total_ms as f64 / f64::from(self.answers.max(1))
    }
}

/// Statistics of one instance since its start. Counts only grow, so merging keeps the larger ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Service that the instance runs.
    pub service: ServiceName,
    /// Version of its software.
    pub version: VersionName,
    /// Start time of its incarnation, by the instance's clock.
    pub born: UnixMillis,
    /// Statistics by route, the busiest first.
    pub routes: Vec<(RouteName, RouteStats)>,
}

impl Evidence {
    /// Keeps the busiest routes only, so that the evidence fits one datagram.
    #[must_use]
    pub fn of_busiest(
        service: ServiceName,
        version: VersionName,
        born: UnixMillis,
        stats_by_route: impl Iterator<Item = (RouteName, RouteStats)>,
    ) -> Self {
        let mut routes: Vec<(RouteName, RouteStats)> = stats_by_route.collect();
        routes.sort_by_key(|(_, stats)| std::cmp::Reverse(stats.answers + stats.missing));
        routes.truncate(MAX_ROUTES);
        Self {
            service,
            version,
            born,
            routes,
        }
    }

    /// Returns the sum with later counts of the same instance.
    pub(crate) fn plus(&self, later: &Self) -> Self {
        let mut sum = self.clone();
        for (route, stats) in &later.routes {
            match sum.routes.iter_mut().find(|(name, _)| name == route) {
                Some((_, known)) => known.add(stats),
                None => sum.routes.push((route.clone(), stats.clone())),
            }
        }
        sum
    }

    pub(crate) fn route_stats(&self, name: &RouteName) -> Option<&RouteStats> {
        let mut stats_by_route = self.routes.iter();
        stats_by_route
            .find(|(route, _)| route == name)
            .map(|(_, stats)| stats)
    }

    /// Returns the number of requests, whether or not they got an answer.
    pub(crate) fn request_count(&self) -> u32 {
        let stats_by_route = self.routes.iter().map(|(_, stats)| stats);
        stats_by_route
            .map(|stats| stats.answers + stats.missing)
            .sum()
    }
}
