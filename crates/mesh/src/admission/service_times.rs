//! Service times of the instance by route.

use std::time::Duration;

use base::FastMap;

use crate::config::RouteName;

/// Inverse weight of the latest request in the mean service time: the mean adapts within some dozen
/// requests, about a second of one instance. The first requests weigh more.
const SERVICE_TIME_INVERSE_WEIGHT: u32 = 16;

/// A request is short if its service time is below this part of the mean, in thousandths. The
/// users' calls take a fifth to a third of the time of their pages.
const SHORT_PERMILLE: u32 = 750;

/// Decay factor of the service time sums per ended request: they cover about the last hundred
/// requests.
const SLOT_TIME_DECAY: f64 = 0.99;

/// Upper bound of the estimated share of slot time used by short requests; leaves long requests at
/// least a fifth of the slots in the estimate, so that they are not all refused.
const MAX_SHORT_SHARE: f64 = 0.8;

/// Expected service time of a request relative to the mean.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Length {
    /// Much shorter than the mean.
    Short,
    /// All other requests.
    Long,
}

/// Deviations above the mean within which nearly all requests end, as in the retransmission timeout of
/// TCP.
const DEVIATIONS: u32 = 4;

/// Moving average of service times, which starts with an assumed one.
#[derive(Debug, Clone, Copy, Default)]
struct MeanTime {
    mean: Duration,
    /// Mean absolute deviation from the mean.
    deviation: Duration,
    samples: u32,
}

impl MeanTime {
    fn assumed(mean: Duration) -> Self {
        Self {
            mean,
            ..Self::default()
        }
    }

    fn record(&mut self, latest: Duration) {
        self.samples = self.samples.saturating_add(1);
        let inverse_weight = (self.samples + 1).min(SERVICE_TIME_INVERSE_WEIGHT);
        let average = |earlier: Duration, latest: Duration| {
            (earlier * (inverse_weight - 1) + latest) / inverse_weight
        };
        if self.samples > 1 {
            self.deviation = average(self.deviation, latest.abs_diff(self.mean));
        }
        self.mean = average(self.mean, latest);
    }
}

/// Mean service times of one instance.
#[derive(Debug, Default)]
pub(super) struct ServiceTimes {
    overall: MeanTime,
    by_route: FastMap<RouteName, MeanTime>,
    /// Decaying sums of the slot time of short and of all requests, in milliseconds.
    short_slot_time: f64,
    total_slot_time: f64,
}

impl ServiceTimes {
    /// Assumes a service time until requests of the route have ended.
    pub(super) fn assume(&mut self, route: &RouteName, time: Duration) {
        let assumed = MeanTime::assumed(time);
        if !self.by_route.contains_key(route) {
            self.by_route.insert(route.clone(), assumed);
        }
        if self.overall.samples == 0 {
            self.overall = assumed;
        }
    }

    /// Records the service time of an ended request.
    pub(super) fn record(&mut self, route: &RouteName, time: Duration) {
        let ms = time.as_secs_f64() * 1e3;
        self.total_slot_time = self.total_slot_time * SLOT_TIME_DECAY + ms;
        self.short_slot_time *= SLOT_TIME_DECAY;
        if self.length_of(route) == Length::Short {
            self.short_slot_time += ms;
        }
        self.overall.record(time);
        self.by_route
            .entry(route.clone())
            .or_insert(MeanTime::assumed(time))
            .record(time);
    }

    /// Returns the mean service time of all requests.
    pub(super) fn mean(&self) -> Duration {
        self.overall.mean
    }

    /// Returns the mean service time of a route.
    pub(super) fn of(&self, route: &RouteName) -> Duration {
        self.by_route
            .get(route)
            .map_or(self.overall.mean, |time| time.mean)
    }

    /// Returns the service time that nearly all requests of a route stay below.
    pub(super) fn upper_bound_of(&self, route: &RouteName) -> Duration {
        let deviation = self
            .by_route
            .get(route)
            .map_or(Duration::ZERO, |time| time.deviation);
        self.of(route) + deviation * DEVIATIONS
    }

    /// Returns the length of the route's requests relative to the others.
    pub(super) fn length_of(&self, route: &RouteName) -> Length {
        if self.of(route) * 1000 < self.overall.mean * SHORT_PERMILLE {
            Length::Short
        } else {
            Length::Long
        }
    }

    /// Returns the part of the slot time that short requests use.
    pub(super) fn short_share(&self) -> f64 {
        (self.short_slot_time / self.total_slot_time.max(1.0)).min(MAX_SHORT_SHARE)
    }
}
