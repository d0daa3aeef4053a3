//! The present load of instances, estimated from reports that are a little old.
//!
//! Handles many callers that choose at the same moment with the same reports: an instance that was idle
//! when it reported is found by all of them, and is overrun while others idle. A report loses weight
//! with its age, at the rate at which the requests that it counts end, in favour of the mean of its
//! zone. The own requests in flight that a report cannot contain are added, each counted several times, as
//! other callers with the same report likely chose the same.

use std::time::Duration;
use std::time::Instant;

use base::ZoneName;

use crate::balancer::InstanceStats;

/// Time in which a report loses most of its weight in the mean of its zone: two gossip rounds.
const MEAN_PERIOD: Duration = Duration::from_millis(500);

/// Weight of the reports of a zone below which its mean counts as unknown: one report of 2 s ago.
const MIN_WEIGHT: f64 = 0.02;

/// Utilization assumed in a zone without recent reports, relative to the mean of the others. The lower
/// value sends it the few requests whose replies bring reports.
const UNKNOWN_ZONE_FACTOR: f64 = 0.5;

/// Requests that one own request stands for until a report can contain it.
const OWN_REQUEST_WEIGHT: f64 = 3.0;

/// Weighted mean of utilizations.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    sum: f64,
    weight: f64,
}

impl Mean {
    fn add(&mut self, utilization: f64, weight: f64) {
        self.sum += utilization * weight;
        self.weight += weight;
    }

    fn value(self) -> Option<f64> {
        (self.weight >= MIN_WEIGHT).then(|| self.sum / self.weight)
    }
}

/// Mean utilization of the instances of a service, by zone.
#[derive(Debug, Default)]
pub(super) struct ZoneMeans<'a> {
    zones: Vec<(&'a ZoneName, Mean)>,
    all: Mean,
}

impl<'a> ZoneMeans<'a> {
    /// Adds the last report of an instance.
    pub(super) fn add(
        &mut self,
        zone: &'a ZoneName,
        stats: &InstanceStats,
        slots: f64,
        now: Instant,
    ) {
        let Some(reported) = &stats.reported else {
            return;
        };
        let weight = remaining(reported.age(now), MEAN_PERIOD);
        let utilization = reported.requests() / slots;
        self.all.add(utilization, weight);
        if let Some((_, mean)) = self.zones.iter_mut().find(|(name, _)| *name == zone) {
            mean.add(utilization, weight);
        } else {
            let mut mean = Mean::default();
            mean.add(utilization, weight);
            self.zones.push((zone, mean));
        }
    }

    /// Returns the mean utilization in a zone as far as known; `None` without any recent report.
    pub(super) fn of(&self, zone: &ZoneName) -> Option<f64> {
        let known = self.zones.iter().find(|(name, _)| *name == zone);
        known
            .and_then(|(_, mean)| mean.value())
            .or_else(|| self.all.value().map(|mean| mean * UNKNOWN_ZONE_FACTOR))
    }
}

/// Returns the requests that are expected at an instance with this many slots now. `mean` is the
/// utilization of its zone; half of the requests there end in a little less than `drain_time`.
pub(super) fn present_load(
    stats: &InstanceStats,
    slots: f64,
    mean: Option<f64>,
    drain_time: Duration,
    now: Instant,
) -> f64 {
    let (reported, weight, taken_at) = match &stats.reported {
        Some(reported) => (
            reported.requests(),
            remaining(reported.age(now), drain_time),
            Some(reported.taken_at()),
        ),
        None => (0.0, 0.0, None),
    };
    let usual = mean.map_or(reported, |mean| mean * slots);
    let unseen: f64 = stats
        .in_flight()
        .filter(|sent| taken_at.is_none_or(|taken_at| *sent >= taken_at))
        .map(|sent| remaining(now.saturating_duration_since(sent), drain_time))
        .sum();
    let estimate = usual + (reported - usual) * weight + OWN_REQUEST_WEIGHT * unseen;
    let own = u32::try_from(stats.in_flight().len()).unwrap_or(u32::MAX);
    estimate.max(f64::from(own))
}

/// Returns the part that is left of something that decays, at this age.
fn remaining(age: Duration, period: Duration) -> f64 {
    (-age.as_secs_f64() / period.as_secs_f64()).exp()
}
