//! Statistics of an instance's answers, counted by the daemon beside it, as evidence for judging
//! the version that it runs.

use std::cmp::Reverse;
use std::time::Duration;

use base::FastMap;
use base::ServiceName;
use base::UnixMillis;
use base::VersionName;
use protocol::codec;
use serde::Deserialize;
use serde::Serialize;

use crate::config::RouteName;

/// Most bytes of the routes of one message: half of a datagram.
const MAX_PAGE_BYTES: usize = 700;

/// Part of a page for the routes with faults that no message has told, so that they are told first.
const FAULTY_PAGE_BYTES: usize = MAX_PAGE_BYTES / 2;

/// How many times as often a route with new answers is told as one without. The others are repeated since a
/// message may be lost.
const NEWS_FACTOR: u64 = 8;

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

    /// Returns the number of requests, whether or not they got an answer.
    pub(crate) fn requests(&self) -> u32 {
        self.answers + self.missing
    }

    /// Returns the number of requests that failed or got no answer.
    fn faults(&self) -> u32 {
        self.failures + self.missing
    }

    /// Returns the mean latency of the answers, in milliseconds.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn mean_ms(&self) -> f64 {
        self.total_ms as f64 / f64::from(self.answers.max(1))
    }
}

/// Statistics of one instance since its start, of all routes or of some. Counts only grow, so merging keeps the
/// larger ones of each route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Service that the instance runs.
    pub service: ServiceName,
    /// Version of its software.
    pub version: VersionName,
    /// Start time of its incarnation, by the instance's clock.
    pub born: UnixMillis,
    /// Statistics by route.
    pub routes: Vec<(RouteName, RouteStats)>,
}

impl Evidence {
    /// Sets the counts of a route.
    pub(crate) fn set(&mut self, name: &RouteName, stats: RouteStats) {
        match self.routes.iter_mut().find(|(route, _)| route == name) {
            Some((_, known)) => *known = stats,
            None => self.routes.push((name.clone(), stats)),
        }
    }

    pub(crate) fn route_stats(&self, name: &RouteName) -> Option<&RouteStats> {
        let mut stats_by_route = self.routes.iter();
        stats_by_route
            .find(|(route, _)| route == name)
            .map(|(_, stats)| stats)
    }
}

/// What the messages to a receiver have told of a route.
#[derive(Debug, Default)]
struct Told {
    /// Number of the last message with the route.
    message: u64,
    requests: u32,
    faults: u32,
}

/// Selects the routes of each message with evidence, which holds only some. Routes with new faults come
/// first, and each route comes in its turn.
#[derive(Debug, Default)]
pub struct EvidencePages {
    born: UnixMillis,
    /// Number of the latest message.
    message: u64,
    told: FastMap<RouteName, Told>,
}

impl EvidencePages {
    /// Reduces the evidence of an instance to what the next message holds.
    #[must_use]
    pub fn next_page(&mut self, evidence: Evidence) -> Evidence {
        if self.born != evidence.born {
            *self = Self {
                born: evidence.born,
                ..Self::default()
            };
        }
        self.message += 1;
        let mut routes = evidence.routes;
        routes.sort_by_cached_key(|(name, stats)| Reverse(self.urgency(name, stats)));
        let has_news = |(name, stats): &(RouteName, RouteStats)| self.new_faults(name, stats) > 0;
        let (faulty, others): (Vec<_>, Vec<_>) = routes.into_iter().partition(has_news);
        let mut page = Page::default();
        let postponed = page.add(faulty, FAULTY_PAGE_BYTES);
        let mut rest = [postponed, others].concat();
        rest.sort_by_cached_key(|(name, stats)| Reverse(self.urgency(name, stats)));
        page.add(rest, MAX_PAGE_BYTES);
        for (name, stats) in &page.routes {
            let told = Told {
                message: self.message,
                requests: stats.requests(),
                faults: stats.faults(),
            };
            self.told.insert(name.clone(), told);
        }
        Evidence {
            routes: page.routes,
            ..evidence
        }
    }

    fn new_faults(&self, name: &RouteName, stats: &RouteStats) -> u32 {
        let told = self.told.get(name).map_or(0, |told| told.faults);
        stats.faults().saturating_sub(told)
    }

    /// Returns for how many messages a route has not been told, weighted by whether there is news, and then its
    /// requests.
    fn urgency(&self, name: &RouteName, stats: &RouteStats) -> (u64, u32) {
        let requests = stats.requests();
        let Some(told) = self.told.get(name) else {
            return (u64::MAX, requests);
        };
        let age = self.message - told.message;
        let factor = if requests > told.requests {
            NEWS_FACTOR
        } else {
            1
        };
        (age.saturating_mul(factor), requests)
    }
}

/// Routes of one message.
#[derive(Default)]
struct Page {
    routes: Vec<(RouteName, RouteStats)>,
    bytes: usize,
}

impl Page {
    /// Adds routes as long as all take at most `max_bytes`; returns the others.
    fn add(
        &mut self,
        routes: Vec<(RouteName, RouteStats)>,
        max_bytes: usize,
    ) -> Vec<(RouteName, RouteStats)> {
        let mut left = Vec::new();
        for route in routes {
            let bytes = codec::encode(&route).len();
            if left.is_empty() && self.bytes + bytes <= max_bytes {
                self.bytes += bytes;
                self.routes.push(route);
            } else {
                left.push(route);
            }
        }
        left
    }
}
