//! What the gate before an instance counted of its answers.

use std::time::Duration;

use base::ServiceName;
use base::UnixMillis;
use base::VersionName;
use serde::Deserialize;
use serde::Serialize;

use crate::config::RouteName;

/// Routes of which evidence is told: at up to 64 bytes each they take about half of a datagram.
const MAX_ROUTES: usize = 12;

/// Answers of one route at one instance since the instance's start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteStats {
    /// Answers.
    pub answers: u32,
    /// Answers that were failures.
    pub failures: u32,
    /// Requests that ended without a whole answer, which are no answers.
    pub missing: u32,
    /// Sum of the times of the answers, in milliseconds.
    pub total_ms: u64,
    /// Answers by their time, against the bounds in [`LATENCY_BOUNDS_MS`].
    pub times: [u32; LATENCY_BOUNDS_MS.len() + 1],
}

/// Bounds of the counts of answers by their time, in milliseconds: powers of two around the users'
/// service times of 22 to 290 ms.
pub const LATENCY_BOUNDS_MS: [u64; 5] = [64, 128, 256, 512, 1024];

impl RouteStats {
    /// Counts an answer.
    pub fn record_answer(&mut self, took: Duration, is_failure: bool) {
        let ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        self.answers += 1;
        self.failures += u32::from(is_failure);
        self.total_ms += ms;
        self.times[LATENCY_BOUNDS_MS.partition_point(|bound| *bound <= ms)] += 1;
    }

    /// What was counted since an earlier count.
    pub(crate) fn since(&self, before: Option<&Self>) -> Self {
        let Some(before) = before else {
            return self.clone();
        };
        let mut times = self.times;
        for (count, before) in times.iter_mut().zip(before.times) {
            *count = count.saturating_sub(before);
        }
        Self {
            answers: self.answers.saturating_sub(before.answers),
            failures: self.failures.saturating_sub(before.failures),
            missing: self.missing.saturating_sub(before.missing),
            total_ms: self.total_ms.saturating_sub(before.total_ms),
            times,
        }
    }

    /// Share of the answers that took longer than the first bound above a time.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(crate) fn share_above(&self, ms: f64) -> f64 {
        let slow_ms = ms as u64;
        let first = LATENCY_BOUNDS_MS.partition_point(|bound| *bound < slow_ms);
        let above: u32 = self.times.iter().skip(first + 1).sum();
        f64::from(above) / f64::from(self.answers.max(1))
    }
}

/// What one instance did since its start. Counts only grow, so merging takes the larger ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Service of the instance.
    pub service: ServiceName,
    /// Its version.
    pub version: VersionName,
    /// Start of its incarnation.
    pub born: UnixMillis,
    /// Counts by route.
    pub routes: Vec<(RouteName, RouteStats)>,
}

impl Evidence {
    /// Evidence of the busiest routes, so that it fits one datagram.
    #[must_use]
    pub fn of_busiest(
        service: ServiceName,
        version: VersionName,
        born: UnixMillis,
        counts: impl Iterator<Item = (RouteName, RouteStats)>,
    ) -> Self {
        let mut routes: Vec<(RouteName, RouteStats)> = counts.collect();
        routes.sort_by_key(|(_, count)| std::cmp::Reverse(count.answers + count.missing));
        routes.truncate(MAX_ROUTES);
        Self {
            service,
            version,
            born,
            routes,
        }
    }

    pub(crate) fn route(&self, name: &RouteName) -> Option<&RouteStats> {
        let mut counts = self.routes.iter();
        counts
            .find(|(route, _)| route == name)
            .map(|(_, count)| count)
    }

    pub(crate) fn answers(&self) -> u32 {
        let counts = self.routes.iter().map(|(_, count)| count);
        counts.map(|count| count.answers + count.missing).sum()
    }
}
