//! Choice of the instance for a request.
//!
//! Answers instances of unlike speed, slow, cold and failing ones, and callers that all see the
//! same idle instance at once. An instance is judged by the share of its room that is taken: the
//! load that it told last, the requests sent there since, its pace against its siblings, and how many
//! more of its requests it fails than they do. The own availability zone comes first while it has room. Among the others the better of two random
//! ones is taken, so that callers with the same news do not all choose the same instance.

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

/// Settings of the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BalancerCfg {
    /// A told load that is older than this is ignored.
    pub load_max_age: Duration,
    /// Own zone is preferred while its room is taken by less than this share.
    pub near_until: f64,
    /// Factor on the taken room of an instance in the own zone: traffic between zones costs time.
    pub near_factor: f64,
    /// Weight of the latest answer in the pace.
    pub smoothing: f64,
    /// How much a share of failures of 1 adds to the room taken, as far as it lies beyond that of the
    /// best sibling and what is tolerated.
    pub failure_penalty: f64,
    /// Share of failures that rules no instance out: calls of its requests fail now and then.
    pub failures_tolerated: f64,
    /// Factor on the room of an instance that is slow after its start.
    pub cold_room: f64,
    /// First pause after an instance could not be reached; each further one is twice as long.
    pub first_pause: Duration,
    /// Longest such pause.
    pub max_pause: Duration,
}

impl Default for BalancerCfg {
    fn default() -> Self {
        Self {
            // Replies come many times a second from a busy instance.
            load_max_age: Duration::from_secs(1),
            // Leaves a tenth of the slots for bursts within a round trip.
            near_until: 0.9,
            // Between zones a request takes some milliseconds more, a few percent of its time.
            near_factor: 0.75,
            // The pace tells of the last ten answers, about a second of one caller.
            smoothing: 0.1,
            // An idle instance that failed one of its last five requests counts as nearly full.
            failure_penalty: 8.0,
            failures_tolerated: 0.1,
            // The platform's instances take twice the time while cold.
            cold_room: 0.5,
            // A restart of a daemon takes about as long as the first, a machine's the longest.
            first_pause: Duration::from_millis(300),
            max_pause: Duration::from_secs(3),
        }
    }
}

/// What the caller side knows about one instance.
#[derive(Debug, Clone)]
struct Seen {
    born: UnixMillis,
    in_flight: u32,
    told: Option<(Load, Instant)>,
    /// Share of failures that the instance's daemon told, and when.
    told_failures: Option<(f64, Instant)>,
    /// Requests sent since the load was told.
    sent_since: u32,
    pace: f64,
    /// What this daemon saw of its own requests there.
    health: Health,
    pauses: u32,
    paused_until: Option<Instant>,
}

/// How an attempt ended, as far as it tells of the instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Observation {
    /// It answered after this time.
    Success(Duration),
    /// It answered with a failure, rejected what should have fitted, or broke off.
    Failed,
    /// Its daemon could not be reached or went silent.
    Unreachable,
    /// Nothing can be said about it.
    Neutral,
}

/// Chooses instances.
#[derive(Debug)]
pub struct Balancer {
    cfg: BalancerCfg,
    zone: ZoneName,
    seen: FastMap<DaemonId, Seen>,
    /// Mean time of each route over all instances, in milliseconds.
    route_ms: FastMap<RouteName, f64>,
}

/// Two random numbers for one choice.
#[derive(Debug, Clone, Copy)]
pub struct RandomPair(pub u64, pub u64);

/// Bounds of the pace, so that one odd answer rules no instance out: the users' slow instances take up
/// to four times as long.
const PACE_BOUNDS: (f64, f64) = (0.3, 6.0);

/// Weight of the latest answer in the mean time of its route: it tells of the last fifty, over all
/// instances.
const ROUTE_SMOOTHING: f64 = 0.02;

/// Shortest time of an answer, in milliseconds, that is compared.
const MIN_ANSWER_MS: f64 = 0.1;

/// Doublings of the pause of an instance that cannot be reached; the longest pause comes before.
const MAX_DOUBLINGS: u32 = 8;

impl Balancer {
    /// Knows nothing about any instance.
    #[must_use]
    pub fn new(cfg: BalancerCfg, zone: ZoneName) -> Self {
        Self {
            cfg,
            zone,
            seen: FastMap::default(),
            route_ms: FastMap::default(),
        }
    }

    /// Chooses one of the candidates; `None` when there is none. Instances that could not be
    /// reached lately come last, and only where the request has `is_last_resort`.
    #[must_use]
    pub fn choose<'a>(
        &self,
        candidates: &[&'a Entry],
        random_pair: RandomPair,
        is_last_resort: bool,
        now: Instant,
    ) -> Option<&'a Entry> {
        let open: Vec<&Entry> = candidates
            .iter()
            .copied()
            .filter(|entry| !self.is_paused(entry, now))
            .collect();
        if open.is_empty() {
            let last = pick(candidates, random_pair.0).copied();
            return last.filter(|_| is_last_resort);
        }
        let best = open
            .iter()
            .map(|entry| self.failures(entry, now))
            .fold(1.0, f64::min);
        let excused = best.max(self.cfg.failures_tolerated);
        let taken = |entry: &Entry| {
            let excess = (self.failures(entry, now) - excused).max(0.0);
            self.busy(entry, now) + self.cfg.failure_penalty * excess
        };
        let near = open
            .iter()
            .copied()
            .filter(|entry| entry.member.zone == self.zone)
            .map(|entry| (entry, taken(entry)))
            .min_by(|a, b| a.1.total_cmp(&b.1));
        if let Some((near, near_taken)) = near
            && near_taken < self.cfg.near_until
        {
            return Some(near);
        }
        let cost = |entry: &Entry| {
            let is_near = entry.member.zone == self.zone;
            taken(entry) * if is_near { self.cfg.near_factor } else { 1.0 }
        };
        let one = *pick(&open, random_pair.0)?;
        let other = *pick(&open, random_pair.1)?;
        [Some(one), Some(other), near.map(|near| near.0)]
            .into_iter()
            .flatten()
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Share of its latest requests that an instance failed, as its daemon told or this one saw.
    fn failures(&self, entry: &Entry, now: Instant) -> f64 {
        let Some(seen) = self.known(entry) else {
            return 0.0;
        };
        let told = match seen.told_failures {
            Some((failures, at)) => failures * decay_factor(now.saturating_duration_since(at)),
            None => 0.0,
        };
        told.max(seen.health.failure_rate(now))
    }

    /// Share of the instance's room that is taken with this request, where failures take room too.
    #[must_use]
    pub fn utilization(&self, entry: &Entry, now: Instant) -> f64 {
        self.busy(entry, now) + self.cfg.failure_penalty * self.failures(entry, now)
    }

    fn busy(&self, entry: &Entry, now: Instant) -> f64 {
        let slots = entry.member.instance.as_ref().map_or(1, |info| info.slots);
        let mut room = f64::from(slots.max(1));
        if !entry.cold_left(now).is_zero() {
            room *= self.cfg.cold_room;
        }
        let Some(seen) = self.known(entry) else {
            return 1.0 / room;
        };
        let told = match seen.told {
            Some((load, at)) if now.saturating_duration_since(at) <= self.cfg.load_max_age => {
                load.running + load.queued + seen.sent_since
            }
            _ => 0,
        };
        let busy = f64::from(told.max(seen.in_flight) + 1);
        busy * seen.pace / room
    }

    /// Notes that a request goes to an instance.
    pub fn attempt_started(&mut self, entry: &Entry) {
        let seen = self.seen_mut(entry);
        seen.in_flight += 1;
        seen.sent_since += 1;
    }

    /// Notes how an attempt ended.
    pub fn attempt_ended(
        &mut self,
        entry: &Entry,
        route: &RouteName,
        observation: Observation,
        now: Instant,
    ) {
        let (smoothing, first, max) =
            (self.cfg.smoothing, self.cfg.first_pause, self.cfg.max_pause);
        let ratio = match observation {
            Observation::Success(took) => Some(self.ratio_to_route(route, took)),
            _ => None,
        };
        let seen = self.seen_mut(entry);
        seen.in_flight = seen.in_flight.saturating_sub(1);
        match observation {
            Observation::Success(_) => {
                if let Some(ratio) = ratio {
                    let pace = seen.pace + smoothing * (ratio - seen.pace);
                    seen.pace = pace.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
                }
                seen.health.record(false, now);
                seen.pauses = 0;
                seen.paused_until = None;
            }
            Observation::Failed => seen.health.record(true, now),
            Observation::Unreachable => {
                let pause = first
                    .saturating_mul(1 << seen.pauses.min(MAX_DOUBLINGS))
                    .min(max);
                seen.pauses += 1;
                seen.paused_until = Some(now + pause);
            }
            Observation::Neutral => {}
        }
    }

    /// Notes the load and the share of failures, in thousandths, that an instance's daemon told.
    pub fn record_load(&mut self, entry: &Entry, load: Load, failures: u16, now: Instant) {
        let seen = self.seen_mut(entry);
        seen.told = Some((load, now));
        seen.told_failures = Some((f64::from(failures) / 1e3, now));
        seen.sent_since = 0;
    }

    /// Notes that a daemon was heard: it can be reached again.
    pub fn mark_reachable(&mut self, daemon: &str) {
        if let Some(seen) = self.seen.get_mut(daemon) {
            seen.paused_until = None;
        }
    }

    /// Time of an answer against the mean of its route over all instances.
    fn ratio_to_route(&mut self, route: &RouteName, took: Duration) -> f64 {
        let ms = (took.as_secs_f64() * 1e3).max(MIN_ANSWER_MS);
        let mean = self.route_ms.entry(route.clone()).or_insert(ms);
        *mean += ROUTE_SMOOTHING * (ms - *mean);
        ms / mean.max(MIN_ANSWER_MS)
    }

    fn is_paused(&self, entry: &Entry, now: Instant) -> bool {
        self.known(entry)
            .is_some_and(|seen| seen.paused_until.is_some_and(|until| until > now))
    }

    fn known(&self, entry: &Entry) -> Option<&Seen> {
        let born = entry.member.instance.as_ref()?.born;
        let seen = self.seen.get(&entry.member.daemon)?;
        (seen.born == born).then_some(seen)
    }

    fn seen_mut(&mut self, entry: &Entry) -> &mut Seen {
        let born = entry.member.instance.as_ref().map_or(0, |info| info.born);
        let seen = self
            .seen
            .entry(entry.member.daemon.clone())
            .or_insert_with(|| Seen::new(born));
        if seen.born != born {
            *seen = Seen::new(born);
        }
        seen
    }
}

impl Seen {
    fn new(born: UnixMillis) -> Self {
        Self {
            born,
            in_flight: 0,
            told: None,
            told_failures: None,
            sent_since: 0,
            pace: 1.0,
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
