//! Choice of an instance: least loaded of two, own zone first, slow start, and ejection.

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
    /// A reported load that is older than this is ignored.
    pub load_max_age: Duration,
    /// Share of its slots, in thousandths, that a cold instance starts with.
    pub cold_weight_permille: u32,
    /// Failed answers in a row that eject an instance.
    pub failures_to_eject: u32,
    /// First ejection; each further one lasts twice as long.
    pub base_ejection: Duration,
    /// Longest ejection.
    pub max_ejection: Duration,
    /// Largest part of a version's instances, in thousandths, that is ejected at once.
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
    /// Its connections went silent.
    Unresponsive,
    /// It answered with a fault, or cut the connection.
    Faulty,
}

/// Two random numbers for one choice.
#[derive(Debug, Clone, Copy)]
pub struct RandomPair(pub u64, pub u64);

/// The instance that gets an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice<'a> {
    /// This one.
    Selected(&'a Endpoint),
    /// None is left that takes new work and was not tried.
    Unavailable,
}

/// What the caller side knows about the instances that it calls.
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
    standing: Standing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    Good,
    /// It refused a call because it leaves; holds for its incarnation.
    Leaving,
}

/// How much of an endpoint's room is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Room {
    Free,
    Full,
}

impl Balancer {
    /// A balancer of a caller in the given zone.
    #[must_use]
    pub fn new(cfg: BalancerConfig, zone: ZoneName) -> Self {
        Self {
            cfg,
            zone,
            peers: FastMap::default(),
        }
    }

    /// Chooses one of a version's instances.
    ///
    /// Own zone with room comes first, then any zone with room, then any at all. Ejected
    /// instances come last: they are better than no answer.
    #[must_use]
    pub fn choose<'a>(
        &self,
        endpoints: &'a [Endpoint],
        tried: &[DaemonId],
        draws: RandomPair,
        now: Instant,
    ) -> Choice<'a> {
        let open: Vec<_> = endpoints
            .iter()
            .filter(|endpoint| endpoint.is_serving() && !tried.contains(&endpoint.daemon))
            .filter(|endpoint| !self.is_leaving(endpoint))
            .collect();
        let trusted = select(&open, |endpoint| self.is_trusted(endpoint, now));
        let roomy = select(&trusted, |endpoint| self.room(endpoint, now) == Room::Free);
        let near = select(&roomy, |endpoint| endpoint.zone == self.zone);
        let pool = [near, roomy, trusted, open]
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
        let Some(first) = draw(pool.len(), draws.0) else {
            return Choice::Unavailable;
        };
        let Some(step) = draw(pool.len() - 1, draws.1) else {
            return Choice::Selected(pool[first]);
        };
        let (one, other) = (pool[first], pool[(first + 1 + step) % pool.len()]);
        if self.is_busier(one, other, now) {
            Choice::Selected(other)
        } else {
            Choice::Selected(one)
        }
    }

    /// Compares load per weighted slot, by cross multiplication.
    fn is_busier(&self, one: &Endpoint, other: &Endpoint, now: Instant) -> bool {
        let (a, b) = (self.calls_at(one, now), self.calls_at(other, now));
        let (room_a, room_b) = (
            self.weighted_slots(one, now),
            self.weighted_slots(other, now),
        );
        (a + 1) * room_b > (b + 1) * room_a
    }

    /// Calls at an instance: own ones in flight, or those that it reported lately if more.
    fn calls_at(&self, endpoint: &Endpoint, now: Instant) -> u64 {
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

    /// Slots in thousandths, fewer while the instance is cold.
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
        let grown = u32::try_from(age * 1000 / cold_start).unwrap_or(1000);
        grown.max(self.cfg.cold_weight_permille)
    }

    fn room(&self, endpoint: &Endpoint, now: Instant) -> Room {
        if self.calls_at(endpoint, now) * 1000 >= self.weighted_slots(endpoint, now) {
            Room::Full
        } else {
            Room::Free
        }
    }

    fn is_trusted(&self, endpoint: &Endpoint, now: Instant) -> bool {
        self.peer(endpoint)
            .is_none_or(|peer| peer.ejected_until.is_none_or(|until| until <= now))
    }

    fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        self.peer(endpoint)
            .is_some_and(|peer| peer.standing == Standing::Leaving)
    }

    fn peer(&self, endpoint: &Endpoint) -> Option<&Peer> {
        self.peers
            .get(&endpoint.daemon)
            .filter(|peer| peer.incarnation == endpoint.incarnation)
    }

    /// Notes that an attempt goes to an instance.
    pub fn attempt_started(&mut self, endpoint: &Endpoint) {
        self.peer_mut(endpoint).in_flight += 1;
    }

    /// Notes that an attempt ended, in whatever way.
    pub fn attempt_ended(&mut self, endpoint: &Endpoint) {
        let peer = self.peer_mut(endpoint);
        peer.in_flight = peer.in_flight.saturating_sub(1);
    }

    /// Notes a good answer.
    pub fn record_success(&mut self, endpoint: &Endpoint) {
        let peer = self.peer_mut(endpoint);
        peer.failures = 0;
        peer.ejections = 0;
        peer.ejected_until = None;
    }

    /// Notes the load that came with a reply.
    pub fn record_load(&mut self, endpoint: &Endpoint, load: Load, now: Instant) {
        self.peer_mut(endpoint).reported = Some((load, now));
    }

    /// Notes a refused attempt.
    ///
    /// An instance that refuses everything is idle, so it would attract calls; one that refuses
    /// for another reason than its load counts as faulty.
    pub fn record_refusal(
        &mut self,
        endpoint: &Endpoint,
        siblings: &[Endpoint],
        reason: NotRunReason,
        now: Instant,
    ) {
        match reason {
            NotRunReason::Leaving => self.peer_mut(endpoint).standing = Standing::Leaving,
            NotRunReason::UpstreamRefused
            | NotRunReason::Unreachable
            | NotRunReason::NoInstance
            | NotRunReason::WrongVersion => {
                self.record_failure(endpoint, siblings, Failure::Faulty, now)
            }
            NotRunReason::Overloaded
            | NotRunReason::DeadlineTooShort
            | NotRunReason::GivenUp
            | NotRunReason::ProbeBudgetSpent
            | NotRunReason::RetryBudgetSpent
            | NotRunReason::NoConfiguration => {}
        }
    }

    /// Notes a failed attempt. Ejects the instance if it has failed too often, but never more
    /// than a part of the version's instances, `siblings`, at once. A silent one is ejected at
    /// once, since each further attempt would cost its caller the time to notice.
    pub fn record_failure(
        &mut self,
        endpoint: &Endpoint,
        siblings: &[Endpoint],
        failure: Failure,
        now: Instant,
    ) {
        let limit = self.cfg.failures_to_eject;
        let peer = self.peer_mut(endpoint);
        match failure {
            Failure::Faulty => peer.failures += 1,
            Failure::Unreachable => peer.failures = limit,
            // No cap: when all are silent, all are tried again.
            Failure::Unresponsive => return self.eject(endpoint, now),
        }
        if peer.failures >= limit && self.may_eject(siblings, now) {
            self.eject(endpoint, now);
        }
    }

    fn may_eject(&self, siblings: &[Endpoint], now: Instant) -> bool {
        let ejected = siblings
            .iter()
            .filter_map(|sibling| self.peer(sibling))
            .filter(|peer| peer.ejected_until.is_some_and(|until| until > now))
            .count();
        (ejected + 1) * 1000 <= siblings.len() * self.cfg.max_ejected_permille
    }

    fn eject(&mut self, endpoint: &Endpoint, now: Instant) {
        let (first, longest) = (self.cfg.base_ejection, self.cfg.max_ejection);
        let peer = self.peer_mut(endpoint);
        let span = first
            .saturating_mul(1 << peer.ejections.min(16))
            .min(longest);
        peer.ejections += 1;
        peer.failures = 0;
        peer.ejected_until = Some(now + span);
    }

    /// Forgets peers that are no longer among the members.
    pub fn retain(&mut self, is_member: impl Fn(&DaemonId) -> bool) {
        self.peers.retain(|daemon, _| is_member(daemon));
    }

    /// What is known about the endpoint's incarnation; earlier ones are forgotten.
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
            standing: Standing::Good,
        }
    }
}

fn select<'a>(pool: &[&'a Endpoint], keep: impl Fn(&Endpoint) -> bool) -> Vec<&'a Endpoint> {
    pool.iter()
        .copied()
        .filter(|endpoint| keep(endpoint))
        .collect()
}

/// Maps a random number to an index below `len`.
fn draw(len: usize, random: u64) -> Option<usize> {
    let len = u64::try_from(len).ok()?;
    let index = random.checked_rem(len)?;
    usize::try_from(index).ok()
}
