//! How even the load of the instances of a service is, as operators see it.

use std::time::Duration;
use std::time::Instant;

use crate::balancer::Balancer;
use crate::balancer::slots;
use crate::directory::Entry;

/// Age up to which a report counts: two gossip rounds.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);

/// Part of the slots in use from which an instance counts as overrun: requests wait there.
const OVERRUN_ABOVE: f64 = 1.0;

/// Part of the slots in use below which an instance counts as idle.
const IDLE_BELOW: f64 = 0.5;

/// Use of the slots of several instances, 1 if all are in use; more if requests wait.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Evenness {
    /// Instances with a recent report.
    pub instances: u32,
    /// Mean use.
    pub mean: f64,
    /// Use of the busiest one.
    pub busiest: f64,
    /// Instances at which requests wait.
    pub overrun: u32,
    /// Instances with less than half of their slots in use.
    pub idle: u32,
}

impl Evenness {
    /// Whether requests wait at one instance while another idles.
    #[must_use]
    pub fn is_uneven(&self) -> bool {
        self.overrun > 0 && self.idle > 0
    }
}

impl Balancer {
    /// Returns the use of these instances by their recent reports; `None` without any.
    #[must_use]
    pub fn evenness<'a>(
        &self,
        instances: impl IntoIterator<Item = &'a Entry>,
        now: Instant,
    ) -> Option<Evenness> {
        let used: Vec<f64> = instances
            .into_iter()
            .filter_map(|entry| {
                let reported = self.current_stats(entry)?.reported?;
                let is_recent = reported.age(now) <= MAX_REPORT_AGE;
                is_recent.then(|| reported.requests() / slots(entry))
            })
            .collect();
        let count = |keep: fn(f64) -> bool| {
            let kept = used.iter().filter(|used| keep(**used)).count();
            u32::try_from(kept).unwrap_or(u32::MAX)
        };
        let instances = count(|_| true);
        (instances > 0).then(|| Evenness {
            instances,
            mean: used.iter().sum::<f64>() / f64::from(instances),
            busiest: used.iter().copied().fold(0.0, f64::max),
            overrun: count(|used| used > OVERRUN_ABOVE),
            idle: count(|used| used < IDLE_BELOW),
        })
    }
}
