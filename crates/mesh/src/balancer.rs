//! Load balancing: chooses the instance for a request.
//!
//! Handles instances of different speed, slow, cold and failing ones, and avoids herding of callers
//! on the same idle instance. The cost of an instance is the latency expected there, relative to the
//! other instances: its measured latency, times the stated time that work takes on its machine at the
//! moment, times a wait that grows as its slots fill up, plus a penalty for a failure rate above theirs.
//! Load, failures and latency are measured by the daemon
//! beside the instance and reported to all callers, because in a fleet of hundreds each caller sends
//! an instance a few requests a minute. An instance that has used up its stated limit costs as much as
//! one whose slots are full. What callers know is a little old, and many of them choose at the same
//! moment, so the load is estimated from the age of a report (module `present`), and only a few random
//! instances are compared. Instances of other zones are compared too once those of the local zone are
//! nearly full, at a cost for the hop, so that work moves before a zone queues, and moves back with it.
//! The estimate by age and the early move hold for deployments with customers or with stated work times
//! ([`BalancerCfg::even_load`]); elsewhere a report counts in full for a second.

mod cfg;
mod evenness;
mod present;
mod redirect;
mod sample;
mod stats;

use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;
use base::ServiceName;
use base::ZoneName;

pub use self::cfg::BalancerCfg;
pub use self::evenness::Evenness;
use self::present::ZoneMeans;
use self::present::present_load;
use self::sample::index_of;
use self::sample::pick;
use self::stats::InstanceStats;
pub use self::stats::ReportSource;
use crate::config::RouteName;
use crate::directory::Entry;
use crate::health::decay_factor;
use crate::latency::aged_work_time;
use crate::rate_limit::RequestRate;
use crate::wire::LoadReport;

/// What the end of an attempt shows about the instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Observation {
    /// It answered with this latency.
    Success(Duration),
    /// It answered with a failure, rejected an admitted request, or broke the connection.
    Failed,
    /// Its daemon could not be reached or stopped responding.
    Unreachable,
    /// The attempt shows nothing about the instance.
    Neutral,
}

/// Chooses instances by the statistics of earlier attempts.
#[derive(Debug)]
pub struct Balancer {
    cfg: BalancerCfg,
    zone: ZoneName,
    stats: FastMap<DaemonId, InstanceStats>,
    /// Mean latency of each route over all instances, in milliseconds.
    route_ms: FastMap<RouteName, f64>,
    /// Mean latency of each service over its routes and instances, in milliseconds.
    service_ms: FastMap<ServiceName, f64>,
}

/// What the instances of one choice have in common.
#[derive(Debug, Default)]
struct Common<'a> {
    /// Failure rate without penalty.
    accepted_rate: f64,
    means: ZoneMeans<'a>,
}

/// Two independent random numbers for one choice.
#[derive(Debug, Clone, Copy)]
pub struct RandomPair(pub u64, pub u64);

/// Bounds of the relative latency, so that a single outlier does not exclude an instance; the
/// users' slow instances take up to four times as long.
const RELATIVE_LATENCY_BOUNDS: (f64, f64) = (0.3, 6.0);

/// Weight of the latest answer in the mean latency of its route: averages over the last fifty
/// answers of all instances.
const ROUTE_LATENCY_SMOOTHING: f64 = 0.02;

/// Bodies from this size on count as large: they take a slow link longer than a hop between zones.
const LARGE_BODY_BYTES: usize = 16 * 1024;

/// Number of random instances of the local zone that a choice compares. More would send all callers
/// that have the same reports to the same instance.
const LOCAL_SAMPLE: u64 = 3;

/// Time after which a reported latency is ignored; it changes slowly.
const LATENCY_MAX_AGE: Duration = Duration::from_secs(10);

/// Time in which the requests of a report end, as a multiple of the mean latency of their service; long
/// requests hold slots for most of the time.
const DRAIN_FACTOR: f64 = 1.5;

/// Mean latency of a service assumed before any answer, in milliseconds.
const ASSUMED_SERVICE_MS: f64 = 200.0;

/// Latencies below this, in milliseconds, are compared as this value.
const MIN_LATENCY_MS: f64 = 0.1;

/// Maximum doublings of the pause after unreachability; prevents overflow, as `max_pause` is
/// reached before.
const MAX_DOUBLINGS: u32 = 8;

impl Balancer {
    /// Starts without statistics; `zone` is the local availability zone.
    #[must_use]
    pub fn new(cfg: BalancerCfg, zone: ZoneName) -> Self {
        Self {
            cfg,
            zone,
            stats: FastMap::default(),
            route_ms: FastMap::default(),
            service_ms: FastMap::default(),
        }
    }

    /// Counts on uneven instances or demand from now on.
    pub fn expect_uneven_load(&mut self) {
        self.cfg = BalancerCfg::even_load();
    }

    /// Chooses one of the candidates; `None` if there is none. Recently unreachable instances are
    /// chosen only if there are no others and `allow_unreachable` is set.
    #[must_use]
    pub fn choose<'a>(
        &self,
        candidates: &[&'a Entry],
        random_pair: RandomPair,
        allow_unreachable: bool,
        now: Instant,
    ) -> Option<&'a Entry> {
        let reachable: Vec<&Entry> = candidates
            .iter()
            .copied()
            .filter(|entry| !self.is_paused(entry, now))
            .collect();
        if reachable.is_empty() {
            let last = pick(candidates, random_pair.0).copied();
            return last.filter(|_| allow_unreachable);
        }
        let accepted_rate = self
            .common_failure_rate(&reachable, now)
            .max(self.cfg.tolerated_failure_rate);
        let common = Common {
            accepted_rate,
            means: if self.cfg.ages_reports {
                self.zone_means(&reachable, now)
            } else {
                ZoneMeans::default()
            },
        };
        let cost_of = |entry: &Entry| self.cost_among(entry, &common, now);
        let best_local = self
            .sample_local(&reachable, random_pair)
            .map(|entry| (entry, cost_of(entry)))
            .min_by(|a, b| a.1.total_cmp(&b.1));
        if let Some((local, local_cost)) = best_local
            && local_cost < self.cfg.local_zone_max_cost
        {
            return Some(local);
        }
        let zone_cost = |entry: &Entry| {
            if entry.member.zone == self.zone {
                cost_of(entry) * self.cfg.local_zone_factor
            } else {
                cost_of(entry) + self.cfg.zone_hop_cost
            }
        };
        let first_choice = *pick(&reachable, random_pair.0)?;
        let second_choice = *pick(&reachable, random_pair.1)?;
        [
            Some(first_choice),
            Some(second_choice),
            best_local.map(|local| local.0),
        ]
        .into_iter()
        .flatten()
        .min_by(|a, b| zone_cost(a).total_cmp(&zone_cost(b)))
    }

    /// Whether a request with a body of this size stays on this machine, whose instance is given: a
    /// large body then takes no link a second time.
    #[must_use]
    pub fn stays_local(&self, own: &Entry, body_bytes: usize, now: Instant) -> bool {
        body_bytes >= LARGE_BODY_BYTES
            && !self.is_paused(own, now)
            && self.cost(own, self.cfg.tolerated_failure_rate, now) < self.cfg.local_zone_max_cost
    }

    /// Returns up to [`LOCAL_SAMPLE`] random instances of the local zone, each once.
    fn sample_local<'a>(
        &self,
        reachable: &[&'a Entry],
        random_pair: RandomPair,
    ) -> impl Iterator<Item = &'a Entry> {
        let mut local: Vec<&Entry> = reachable
            .iter()
            .copied()
            .filter(|entry| entry.member.zone == self.zone)
            .collect();
        let mut sample = Vec::new();
        for round in 0..LOCAL_SAMPLE {
            let random = base::hash::stable(&[
                &random_pair.0.to_be_bytes(),
                &random_pair.1.to_be_bytes(),
                &round.to_be_bytes(),
            ]);
            if let Some(index) = index_of(local.len(), random) {
                sample.push(local.swap_remove(index));
            }
        }
        sample.into_iter()
    }

    /// Returns the failure rate that a quarter of the instances does not exceed. The lowest rate of
    /// hundreds that all fail alike is far below the others by chance.
    fn common_failure_rate(&self, instances: &[&Entry], now: Instant) -> f64 {
        let mut rates: Vec<f64> = instances
            .iter()
            .map(|entry| self.failure_rate(entry, now))
            .collect();
        let index = rates.len().saturating_sub(1) / 4;
        if rates.is_empty() {
            return 0.0;
        }
        *rates.select_nth_unstable_by(index, f64::total_cmp).1
    }

    /// Returns the recent failure rate of an instance: the higher of the one that its daemon
    /// reported and the one of this daemon's requests.
    fn failure_rate(&self, entry: &Entry, now: Instant) -> f64 {
        let Some(stats) = self.current_stats(entry) else {
            return 0.0;
        };
        let reported_rate = stats.reported.map_or(0.0, |reported| {
            let rate = f64::from(reported.report.failures_permille) / 1e3;
            rate * decay_factor(now.saturating_duration_since(reported.at))
        });
        reported_rate.max(stats.health.failure_rate(now))
    }

    /// Returns the mean utilization of the instances, by zone.
    fn zone_means<'a>(&self, instances: &[&'a Entry], now: Instant) -> ZoneMeans<'a> {
        let mut means = ZoneMeans::default();
        for entry in instances {
            if let Some(stats) = self.current_stats(entry) {
                means.add(&entry.member.zone, stats, slots(entry), now);
            }
        }
        means
    }

    /// Returns the cost of the next request to an instance: 1 is the mean latency of an idle one.
    /// Failures count above `accepted_rate`.
    #[must_use]
    pub fn cost(&self, entry: &Entry, accepted_rate: f64, now: Instant) -> f64 {
        let common = Common {
            accepted_rate,
            ..Common::default()
        };
        self.cost_among(entry, &common, now)
    }

    fn cost_among(&self, entry: &Entry, common: &Common<'_>, now: Instant) -> f64 {
        let excess_rate = (self.failure_rate(entry, now) - common.accepted_rate).max(0.0);
        let utilization = self
            .current_stats(entry)
            .map_or(0.0, |stats| {
                let link = stats.link_utilization(entry.member.link_mbps, &self.cfg, now);
                (self.cfg.link_factor * link).max(stats.limit_utilization(&self.cfg, now))
            })
            .max(self.slot_utilization(entry, common, now));
        let excess_utilization = (utilization - self.cfg.wait_above).max(0.0);
        let wait =
            self.cfg.wait_when_full * (excess_utilization / (1.0 - self.cfg.wait_above)).powi(2);
        let slowdown = self.cfg.slowdown_when_full * utilization;
        self.relative_latency(entry, now) * (1.0 + slowdown + wait)
            + self.cfg.failure_penalty * excess_rate
    }

    /// Returns the part of the slots that is in use, including the next request.
    fn slot_utilization(&self, entry: &Entry, common: &Common<'_>, now: Instant) -> f64 {
        let slots = slots(entry);
        if !self.cfg.ages_reports {
            let stats = self.current_stats(entry);
            let load = stats.map_or(0.0, |stats| stats.reported_load(self.cfg.load_max_age, now));
            return (load + 1.0) / slots;
        }
        let mean = common.means.of(&entry.member.zone);
        let load = match self.current_stats(entry) {
            Some(stats) => present_load(stats, slots, mean, self.drain_time(entry), now),
            None => mean.unwrap_or_default() * slots,
        };
        (load + 1.0) / slots
    }

    /// Returns the time in which the requests that an instance had at a report end.
    fn drain_time(&self, entry: &Entry) -> Duration {
        self.service_time(entry).mul_f64(DRAIN_FACTOR)
    }

    /// Returns the mean latency of the service of an instance.
    fn service_time(&self, entry: &Entry) -> Duration {
        let instance = entry.member.instance.as_ref();
        let ms = instance.and_then(|info| self.service_ms.get(&info.service));
        Duration::from_secs_f64(ms.copied().unwrap_or(ASSUMED_SERVICE_MS) / 1e3)
    }

    /// Returns the latency of an instance relative to the others: as its daemon measured it, or else
    /// as this daemon did. The stated work time of its machine counts on top.
    fn relative_latency(&self, entry: &Entry, now: Instant) -> f64 {
        let cold_factor = if entry.cold_left(now).is_zero() {
            1.0
        } else {
            self.cfg.cold_latency_factor
        };
        let Some(stats) = self.current_stats(entry) else {
            return cold_factor;
        };
        let measured = stats.reported.and_then(|reported| {
            let is_recent = now.saturating_duration_since(reported.at) <= LATENCY_MAX_AGE;
            let permille = reported.report.latency_permille;
            (is_recent && permille > 0).then(|| f64::from(permille) / 1e3)
        });
        let work_time = stats.reported.map_or(1.0, |reported| {
            let stated = reported.report.work_time_permille;
            stated.map_or(1.0, |permille| aged_work_time(permille, reported.age(now)))
        });
        measured
            .unwrap_or(stats.relative_latency)
            .clamp(RELATIVE_LATENCY_BOUNDS.0, RELATIVE_LATENCY_BOUNDS.1)
            * work_time
            * cold_factor
    }

    /// Records that a request is sent to an instance.
    pub fn attempt_started(&mut self, entry: &Entry, now: Instant) {
        self.stats_mut(entry).record_send(now);
    }

    /// Records the size of a request that is sent to an instance over the network.
    pub fn bytes_sent(&mut self, entry: &Entry, bytes: u64) {
        self.stats_mut(entry).bytes_since += bytes;
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(
        &mut self,
        entry: &Entry,
        route: &RouteName,
        observation: Observation,
        now: Instant,
    ) {
        let (latency_smoothing, first, max) = (
            self.cfg.latency_smoothing,
            self.cfg.first_pause,
            self.cfg.max_pause,
        );
        let ratio = match observation {
            Observation::Success(latency) => {
                self.record_service_latency(entry, latency);
                Some(self.latency_ratio(route, latency))
            }
            _ => None,
        };
        let stats = self.stats_mut(entry);
        stats.record_end();
        match observation {
            Observation::Success(_) => {
                if let Some(ratio) = ratio {
                    let relative_latency = stats.relative_latency
                        + latency_smoothing * (ratio - stats.relative_latency);
                    stats.relative_latency = relative_latency
                        .clamp(RELATIVE_LATENCY_BOUNDS.0, RELATIVE_LATENCY_BOUNDS.1);
                }
                stats.health.record(false, now);
                stats.pauses = 0;
                stats.paused_until = None;
            }
            Observation::Failed => stats.health.record(true, now),
            Observation::Unreachable => {
                let pause = first
                    .saturating_mul(1 << stats.pauses.min(MAX_DOUBLINGS))
                    .min(max);
                stats.pauses += 1;
                stats.paused_until = Some(now + pause);
            }
            Observation::Neutral => {}
        }
    }

    /// Records the state that an instance's daemon reported.
    pub fn record_report(
        &mut self,
        entry: &Entry,
        report: LoadReport,
        source: ReportSource,
        now: Instant,
    ) {
        if report.work_time_permille.is_some() && !self.cfg.ages_reports {
            self.expect_uneven_load();
        }
        self.stats_mut(entry).record_report(report, source, now);
    }

    /// Returns the limit that an instance stated last, if its daemon reported it recently.
    #[must_use]
    pub fn known_limit(&self, entry: &Entry, now: Instant) -> Option<RequestRate> {
        self.current_stats(entry)?.known_limit(now)
    }

    /// Returns the last report of a daemon if it came directly, within `max_age`.
    #[must_use]
    pub fn direct_report(
        &self,
        daemon: &str,
        max_age: Duration,
        now: Instant,
    ) -> Option<LoadReport> {
        let reported = self.stats.get(daemon)?.reported?;
        let is_usable = reported.source == ReportSource::Direct
            && now.saturating_duration_since(reported.at) <= max_age;
        is_usable.then_some(reported.report)
    }

    /// Returns the mean latency of a route over all instances, as this daemon measured it.
    #[must_use]
    pub fn mean_latency(&self, route: &RouteName) -> Option<Duration> {
        let ms = self.route_ms.get(route)?;
        Some(Duration::from_secs_f64(ms / 1e3))
    }

    /// Ends the pause of a daemon from which a message arrived.
    pub fn mark_reachable(&mut self, daemon: &str) {
        if let Some(stats) = self.stats.get_mut(daemon) {
            stats.paused_until = None;
        }
    }

    /// Returns the latency of an answer relative to the mean of its route over all instances.
    fn latency_ratio(&mut self, route: &RouteName, latency: Duration) -> f64 {
        let ms = (latency.as_secs_f64() * 1e3).max(MIN_LATENCY_MS);
        let mean = self.route_ms.entry(route.clone()).or_insert(ms);
        *mean += ROUTE_LATENCY_SMOOTHING * (ms - *mean);
        ms / mean.max(MIN_LATENCY_MS)
    }

    fn record_service_latency(&mut self, entry: &Entry, latency: Duration) {
        let Some(info) = &entry.member.instance else {
            return;
        };
        let ms = (latency.as_secs_f64() * 1e3).max(MIN_LATENCY_MS);
        let mean = self.service_ms.entry(info.service.clone()).or_insert(ms);
        *mean += ROUTE_LATENCY_SMOOTHING * (ms - *mean);
    }

    fn is_paused(&self, entry: &Entry, now: Instant) -> bool {
        self.current_stats(entry)
            .is_some_and(|stats| stats.paused_until.is_some_and(|until| until > now))
    }

    fn current_stats(&self, entry: &Entry) -> Option<&InstanceStats> {
        let born = entry.member.instance.as_ref()?.born;
        let stats = self.stats.get(&entry.member.daemon)?;
        (stats.born == born).then_some(stats)
    }

    fn stats_mut(&mut self, entry: &Entry) -> &mut InstanceStats {
        let born = entry.member.instance.as_ref().map_or(0, |info| info.born);
        let stats = self
            .stats
            .entry(entry.member.daemon.clone())
            .or_insert_with(|| InstanceStats::new(born));
        if stats.born != born {
            *stats = InstanceStats::new(born);
        }
        stats
    }
}

/// Returns the number of requests that an instance runs concurrently.
fn slots(entry: &Entry) -> f64 {
    let slots = entry.member.instance.as_ref().map_or(1, |info| info.slots);
    f64::from(slots.max(1))
}
