//! Load balancing: chooses the instance for a request.
//!
//! Handles instances of different speed, slow, cold and failing ones, and avoids herding of callers
//! on the same idle instance. The cost of an instance is its utilization: the last reported load
//! and the requests sent since, relative to its slots, times its latency relative to the other
//! instances, plus a penalty for a failure rate above theirs. The local availability zone is
//! preferred until its least utilized instance is nearly full. Otherwise the better of two random
//! instances is chosen (power of two choices), so that callers with the same information spread
//! their requests.

use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;
use base::UnixMillis;
use base::ZoneName;
use protocol::call::Load;

use crate::config::RouteName;
use crate::directory::Entry;
use crate::health::Health;
use crate::health::decay_factor;

/// Parameters of the load balancer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BalancerCfg {
    /// A reported load older than this is ignored.
    pub load_max_age: Duration,
    /// The local zone is preferred while its least utilized instance is below this utilization.
    pub local_zone_max_utilization: f64,
    /// Factor on the utilization of instances in the local zone, since requests to other zones take
    /// longer.
    pub local_zone_factor: f64,
    /// Weight of the latest answer in the moving average of the relative latency.
    pub latency_smoothing: f64,
    /// Utilization added at a failure rate of 1; applies to the part of the rate above both that of
    /// the best candidate and the tolerated rate.
    pub failure_penalty: f64,
    /// Failure rate without penalty: calls that an instance makes for its requests fail
    /// occasionally.
    pub tolerated_failure_rate: f64,
    /// Factor on the capacity of an instance that is still cold after its start.
    pub cold_capacity_factor: f64,
    /// First pause after an instance could not be reached; doubles with each further failure.
    pub first_pause: Duration,
    /// Longest pause after an instance could not be reached.
    pub max_pause: Duration,
}

impl Default for BalancerCfg {
    fn default() -> Self {
        Self {
            // A busy instance replies many times a second.
            load_max_age: Duration::from_secs(1),
            // Leaves a tenth of the slots for bursts within a round trip.
            local_zone_max_utilization: 0.9,
            // A request to another zone takes some milliseconds more, a few percent of its latency.
            local_zone_factor: 0.75,
            // Averages over the last ten answers, about a second of one caller.
            latency_smoothing: 0.1,
            // An idle instance that failed one of its last five requests counts as nearly full.
            failure_penalty: 8.0,
            tolerated_failure_rate: 0.1,
            // The platform's instances take twice as long while cold.
            cold_capacity_factor: 0.5,
            // The first is about the restart time of a daemon, the longest that of a machine.
            first_pause: Duration::from_millis(300),
            max_pause: Duration::from_secs(3),
        }
    }
}

/// Statistics of one instance, as the caller side knows them.
#[derive(Debug, Clone)]
struct InstanceStats {
    born: UnixMillis,
    in_flight: u32,
    reported_load: Option<(Load, Instant)>,
    /// Failure rate that the instance's daemon reported, and when.
    reported_failures: Option<(f64, Instant)>,
    /// Requests sent since the load was reported.
    sent_since: u32,
    relative_latency: f64,
    /// Results of this daemon's own requests to the instance.
    health: Health,
    pauses: u32,
    paused_until: Option<Instant>,
}

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
        }
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
        let lowest_rate = reachable
            .iter()
            .map(|entry| self.failure_rate(entry, now))
            .fold(1.0, f64::min);
        let accepted_rate = lowest_rate.max(self.cfg.tolerated_failure_rate);
        let utilization_of = |entry: &Entry| {
            let excess_rate = (self.failure_rate(entry, now) - accepted_rate).max(0.0);
            self.base_utilization(entry, now) + self.cfg.failure_penalty * excess_rate
        };
        let least_utilized_local = reachable
            .iter()
            .copied()
            .filter(|entry| entry.member.zone == self.zone)
            .map(|entry| (entry, utilization_of(entry)))
            .min_by(|a, b| a.1.total_cmp(&b.1));
        if let Some((local, local_utilization)) = least_utilized_local
            && local_utilization < self.cfg.local_zone_max_utilization
        {
            return Some(local);
        }
        let cost = |entry: &Entry| {
            let is_local = entry.member.zone == self.zone;
            utilization_of(entry)
                * if is_local {
                    self.cfg.local_zone_factor
                } else {
                    1.0
                }
        };
        let first_choice = *pick(&reachable, random_pair.0)?;
        let second_choice = *pick(&reachable, random_pair.1)?;
        [
            Some(first_choice),
            Some(second_choice),
            least_utilized_local.map(|local| local.0),
        ]
        .into_iter()
        .flatten()
        .min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Returns the recent failure rate of an instance: the higher of the one that its daemon
    /// reported and the one of this daemon's requests.
    fn failure_rate(&self, entry: &Entry, now: Instant) -> f64 {
        let Some(stats) = self.current_stats(entry) else {
            return 0.0;
        };
        let reported_rate = match stats.reported_failures {
            Some((rate, at)) => rate * decay_factor(now.saturating_duration_since(at)),
            None => 0.0,
        };
        reported_rate.max(stats.health.failure_rate(now))
    }

    /// Returns the utilization of the instance including the next request and the failure penalty.
    #[must_use]
    pub fn utilization(&self, entry: &Entry, now: Instant) -> f64 {
        self.base_utilization(entry, now) + self.cfg.failure_penalty * self.failure_rate(entry, now)
    }

    fn base_utilization(&self, entry: &Entry, now: Instant) -> f64 {
        let slots = entry.member.instance.as_ref().map_or(1, |info| info.slots);
        let mut capacity = f64::from(slots.max(1));
        if !entry.cold_left(now).is_zero() {
            capacity *= self.cfg.cold_capacity_factor;
        }
        let Some(stats) = self.current_stats(entry) else {
            return 1.0 / capacity;
        };
        let reported_load = match stats.reported_load {
            Some((load, at)) if now.saturating_duration_since(at) <= self.cfg.load_max_age => {
                load.running + load.queued + stats.sent_since
            }
            _ => 0,
        };
        let requests = f64::from(reported_load.max(stats.in_flight) + 1);
        requests * stats.relative_latency / capacity
    }

    /// Records that a request is sent to an instance.
    pub fn attempt_started(&mut self, entry: &Entry) {
        let stats = self.stats_mut(entry);
        stats.in_flight += 1;
        stats.sent_since += 1;
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
            Observation::Success(latency) => Some(self.latency_ratio(route, latency)),
            _ => None,
        };
        let stats = self.stats_mut(entry);
        stats.in_flight = stats.in_flight.saturating_sub(1);
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

    /// Records the load and the failure rate, in thousandths, that an instance's daemon reported.
    pub fn record_load(&mut self, entry: &Entry, load: Load, failures_permille: u16, now: Instant) {
        let stats = self.stats_mut(entry);
        stats.reported_load = Some((load, now));
        stats.reported_failures = Some((f64::from(failures_permille) / 1e3, now));
        stats.sent_since = 0;
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

impl InstanceStats {
    fn new(born: UnixMillis) -> Self {
        Self {
            born,
            in_flight: 0,
            reported_load: None,
            reported_failures: None,
            sent_since: 0,
            relative_latency: 1.0,
            health: Health::default(),
            pauses: 0,
            paused_until: None,
        }
    }
}

fn pick<T>(pool: &[T], random: u64) -> Option<&T> {
    let len = u64::try_from(pool.len()).ok()?;
    let index = random.checked_rem(len)?;
    pool.get(usize::try_from(index).ok()?)
}
