//! Load balancing: power of two choices with zone preference, slow start and outlier ejection.

use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;
use base::Incarnation;
use base::ZoneName;
use protocol::call::Load;
use protocol::call::NotRunReason;

use crate::endpoint::Endpoint;

/// Settings of the balancer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BalancerConfig {
    /// Maximum age of a reported load; an older one is ignored.
    pub load_max_age: Duration,
    /// Initial weight of a cold instance, in thousandths of its slots.
    pub cold_weight_permille: u32,
    /// Number of consecutive failures after which an instance is ejected.
    pub failures_to_eject: u32,
    /// Duration of the first ejection; each further one lasts twice as long.
    pub base_ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
    /// Maximum part of a version's instances, in thousandths, that is ejected at the same time.
    pub max_ejected_permille: usize,
}

impl Default for BalancerConfig {
    fn default() -> Self {
        Self {
            load_max_age: Duration::from_secs(1),
            cold_weight_permille: 100,
            failures_to_eject: 5,
            base_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(30),
            max_ejected_permille: 500,
        }
    }
}

/// How an attempt failed at an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened.
    Unreachable,
    /// The instance stopped responding on its open connections.
    Unresponsive,
    /// The instance answered with an error, or closed the connection.
    Error,
}

/// Two uniformly distributed random numbers, for one call of [`Balancer::choose`].
#[derive(Debug, Clone, Copy)]
pub struct RandomPair(pub u64, pub u64);

/// Result of choosing an instance for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice<'a> {
    /// The attempt goes to this instance.
    Selected(&'a Endpoint),
    /// No instance accepts new calls, apart from those already tried.
    Unavailable,
}

/// Load balancer of a caller, with the load and the failures of the instances that it calls.
#[derive(Debug, Clone)]
pub struct Balancer {
    cfg: BalancerConfig,
    zone: ZoneName,
    peers: FastMap<DaemonId, Peer>,
}

#[derive(Debug, Clone)]
struct Peer {
    incarnation: Incarnation,
    in_flight: u32,
    reported: Option<(Load, Instant)>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    availability: Availability,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Availability {
    Accepting,
    /// The instance refused a call because it is leaving; valid for its current incarnation.
    Leaving,
}

/// Whether an endpoint has a free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Capacity {
    Free,
    Full,
}

impl Balancer {
    /// Creates a balancer for a caller in the given availability zone.
    #[must_use]
    pub fn new(cfg: BalancerConfig, zone: ZoneName) -> Self {
        Self {
            cfg,
            zone,
            peers: FastMap::default(),
        }
    }

    /// Chooses one of a version's instances, but none of those in `tried`.
    ///
    /// Prefers instances with free capacity in the own zone, then those in any zone, then full
    /// ones. Ejected instances come last, since trying one is better than failing the call.
    #[must_use]
    pub fn choose<'a>(
        &self,
        endpoints: &'a [Endpoint],
        tried: &[DaemonId],
        draws: RandomPair,
        now: Instant,
    ) -> Choice<'a> {
        let eligible: Vec<_> = endpoints
            .iter()
            .filter(|endpoint| endpoint.is_serving() && !tried.contains(&endpoint.daemon))
            .filter(|endpoint| !self.is_leaving(endpoint))
            .collect();
        let healthy = select(&eligible, |endpoint| self.is_healthy(endpoint, now));
        let with_capacity = select(&healthy, |endpoint| {
            self.capacity(endpoint, now) == Capacity::Free
        });
        let same_zone = select(&with_capacity, |endpoint| endpoint.zone == self.zone);
        let pool = [same_zone, with_capacity, healthy, eligible]
            .into_iter()
            .find(|pool| !pool.is_empty())
            .unwrap_or_default();
        self.less_loaded(&pool, draws, now)
    }

    fn less_loaded<'a>(
        &self,
        pool: &[&'a Endpoint],
        draws: RandomPair,
        now: Instant,
    ) -> Choice<'a> {
        let Some(first) = pick_index(pool.len(), draws.0) else {
            return Choice::Unavailable;
        };
        let Some(step) = pick_index(pool.len() - 1, draws.1) else {
            return Choice::Selected(pool[first]);
        };
        let (one, other) = (pool[first], pool[(first + 1 + step) % pool.len()]);
        if self.has_higher_load(one, other, now) {
            Choice::Selected(other)
        } else {
            Choice::Selected(one)
        }
    }

    /// Compares the load per weighted slot, by cross-multiplication.
    fn has_higher_load(&self, one: &Endpoint, other: &Endpoint, now: Instant) -> bool {
        let (a, b) = (
            self.estimated_calls(one, now),
            self.estimated_calls(other, now),
        );
        let (slots_a, slots_b) = (
            self.weighted_slots(one, now),
            self.weighted_slots(other, now),
        );
        (a + 1) * slots_b > (b + 1) * slots_a
    }

    /// Estimates the calls at an instance: the own calls in flight or, if greater, the load that
    /// the instance reported within `load_max_age`.
    fn estimated_calls(&self, endpoint: &Endpoint, now: Instant) -> u64 {
        let Some(peer) = self.peer(endpoint) else {
            return 0;
        };
        let reported = match peer.reported {
            Some((load, at)) if now.saturating_duration_since(at) <= self.cfg.load_max_age => {
                u64::from(load.running) + u64::from(load.queued)
            }
            _ => 0,
        };
        reported.max(u64::from(peer.in_flight))
    }

    /// Slots of an instance in thousandths, reduced while it is cold.
    fn weighted_slots(&self, endpoint: &Endpoint, now: Instant) -> u64 {
        u64::from(endpoint.slots.max(1)) * u64::from(self.weight(endpoint, now))
    }

    fn weight(&self, endpoint: &Endpoint, now: Instant) -> u32 {
        let age = now
            .saturating_duration_since(endpoint.first_seen)
            .as_millis();
        let cold_start = endpoint.cold_start.as_millis();
        if age >= cold_start {
            return 1000;
        }
        let warmed = u32::try_from(age * 1000 / cold_start).unwrap_or(1000);
        warmed.max(self.cfg.cold_weight_permille)
    }

    fn capacity(&self, endpoint: &Endpoint, now: Instant) -> Capacity {
        if self.estimated_calls(endpoint, now) * 1000 >= self.weighted_slots(endpoint, now) {
            Capacity::Full
        } else {
            Capacity::Free
        }
    }

    fn is_healthy(&self, endpoint: &Endpoint, now: Instant) -> bool {
        self.peer(endpoint)
            .is_none_or(|peer| peer.ejected_until.is_none_or(|until| until <= now))
    }

    fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        self.peer(endpoint)
            .is_some_and(|peer| peer.availability == Availability::Leaving)
    }

    fn peer(&self, endpoint: &Endpoint) -> Option<&Peer> {
        self.peers
            .get(&endpoint.daemon)
            .filter(|peer| peer.incarnation == endpoint.incarnation)
    }

    /// Records the start of an attempt; to be paired with [`Self::attempt_ended`].
    pub fn attempt_started(&mut self, endpoint: &Endpoint) {
        self.peer_mut(endpoint).in_flight += 1;
    }

    /// Records the end of an attempt, whatever its outcome.
    pub fn attempt_ended(&mut self, endpoint: &Endpoint) {
        let peer = self.peer_mut(endpoint);
        peer.in_flight = peer.in_flight.saturating_sub(1);
    }

    /// Records a successful answer, which ends an ejection and resets its back-off.
    pub fn record_success(&mut self, endpoint: &Endpoint) {
        let peer = self.peer_mut(endpoint);
        peer.failures = 0;
        peer.ejections = 0;
        peer.ejected_until = None;
    }

    /// Records the load that an instance reported in a reply.
    pub fn record_load(&mut self, endpoint: &Endpoint, load: Load, now: Instant) {
        self.peer_mut(endpoint).reported = Some((load, now));
    }

    /// Records a refused attempt.
    ///
    /// An instance that refuses every call is idle and would attract all calls. A refusal for
    /// another reason than load therefore counts as a failure.
    pub fn record_refusal(
        &mut self,
        endpoint: &Endpoint,
        group: &[Endpoint],
        reason: NotRunReason,
        now: Instant,
    ) {
        match reason {
            NotRunReason::Leaving => self.peer_mut(endpoint).availability = Availability::Leaving,
            NotRunReason::UpstreamRefused
            | NotRunReason::Unreachable
            | NotRunReason::WrongVersion
            | NotRunReason::NoInstance => self.record_failure(endpoint, group, Failure::Error, now),
            NotRunReason::Overloaded
            | NotRunReason::RateLimited
            | NotRunReason::Quarantined
            | NotRunReason::DeadlineTooShort
            | NotRunReason::GivenUp
            | NotRunReason::ProbeBudgetSpent
            | NotRunReason::RetryBudgetSpent
            | NotRunReason::NoConfiguration
            | NotRunReason::Evacuated
            | NotRunReason::CapSpent
            | NotRunReason::KeyUnproven
            | NotRunReason::Redirected => {}
        }
    }

    /// Records a failed attempt, and ejects the instance after too many consecutive failures.
    ///
    /// At most `max_ejected_permille` of the version's instances, `group`, are ejected at the
    /// same time. An unresponsive instance is ejected immediately and regardless of that limit,
    /// because each further attempt would wait until its caller detects the silence.
    pub fn record_failure(
        &mut self,
        endpoint: &Endpoint,
        group: &[Endpoint],
        failure: Failure,
        now: Instant,
    ) {
        let limit = self.cfg.failures_to_eject;
        let peer = self.peer_mut(endpoint);
        match failure {
            Failure::Error => peer.failures += 1,
            Failure::Unreachable => peer.failures = limit,
            // No limit on ejections: if all instances are unresponsive, all are tried again.
            Failure::Unresponsive => return self.eject(endpoint, now),
        }
        if peer.failures >= limit && self.may_eject(group, now) {
            self.eject(endpoint, now);
        }
    }

    fn may_eject(&self, group: &[Endpoint], now: Instant) -> bool {
        let ejected = group
            .iter()
            .filter_map(|sibling| self.peer(sibling))
            .filter(|peer| peer.ejected_until.is_some_and(|until| until > now))
            .count();
        (ejected + 1) * 1000 <= group.len() * self.cfg.max_ejected_permille
    }

    fn eject(&mut self, endpoint: &Endpoint, now: Instant) {
        let (initial, longest) = (self.cfg.base_ejection, self.cfg.max_ejection);
        let peer = self.peer_mut(endpoint);
        let duration = initial
            .saturating_mul(1 << peer.ejections.min(16))
            .min(longest);
        peer.ejections += 1;
        peer.failures = 0;
        peer.ejected_until = Some(now + duration);
    }

    /// Removes the state of daemons for which `is_member` is false.
    pub fn retain(&mut self, is_member: impl Fn(&DaemonId) -> bool) {
        self.peers.retain(|daemon, _| is_member(daemon));
    }

    /// Returns the state of the endpoint's daemon; discards that of an earlier incarnation.
    fn peer_mut(&mut self, endpoint: &Endpoint) -> &mut Peer {
        let peer = self
            .peers
            .entry(endpoint.daemon.clone())
            .or_insert_with(|| Peer::new(endpoint.incarnation));
        if peer.incarnation < endpoint.incarnation {
            *peer = Peer::new(endpoint.incarnation);
        }
        peer
    }
}

impl Peer {
    fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            in_flight: 0,
            reported: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            availability: Availability::Accepting,
        }
    }
}

fn select<'a>(pool: &[&'a Endpoint], keep: impl Fn(&Endpoint) -> bool) -> Vec<&'a Endpoint> {
    pool.iter()
        .copied()
        .filter(|endpoint| keep(endpoint))
        .collect()
}

/// Maps a random number to an index below `len`; `None` if `len` is 0.
fn pick_index(len: usize, random: u64) -> Option<usize> {
    let len = u64::try_from(len).ok()?;
    let index = random.checked_rem(len)?;
    usize::try_from(index).ok()
}
