//! Election of the daemons of an availability zone that read the platform's store for the others.
//!
//! Keeps the load on the store proportional to the number of zones instead of the number of
//! daemons. The first daemons of a zone, by strength and name, claim leadership and repeat the
//! claim every few hundred milliseconds. A daemon that receives enough claims that precede its own
//! is a follower, otherwise a leader, so a zone lacks a leader only until the claims of a failed
//! one expire. There is no vote: surplus leaders for a short time cost additional calls to the
//! store, nothing else.

use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;
use base::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// Number of leaders of one zone; with two, the other one goes on when a leader fails.
pub const LEADERS_PER_ZONE: usize = 2;

/// Time after which a claim that is not repeated expires; four rounds of gossip.
pub const CLAIM_TTL: Duration = Duration::from_secs(1);

/// Time for which a daemon yields leadership after a failed call to the store: several times the
/// longest pause between two attempts.
const STORE_FAILURE_BACKOFF: Duration = Duration::from_secs(5);

/// Capacity of a daemon for serving others; the strongest daemons lead. See [`strength`].
pub type Strength = u32;

/// Returns the strength of a machine from its CPU share, in thousandths of a core, and its link
/// bandwidth in Mbit/s. A tenth of a core and a link of 50 Mbit/s are equivalent: with either,
/// sending one configuration to all daemons of a zone takes a large part of a second.
#[must_use]
pub fn strength(core_permille: u32, link_mbps: u32) -> Strength {
    core_permille.min(link_mbps.saturating_mul(2))
}

/// A daemon's claim to be a leader of its zone, sent with gossip.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Zone that the daemon claims to lead.
    pub zone: ZoneName,
    /// The daemon's strength; decides which claim precedes.
    pub strength: Strength,
    /// Hash of the members that the daemon knows; a different hash shows that an announcement was
    /// lost.
    pub members: u64,
}

/// Role of a daemon in its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Reads the store and notifies the others.
    Leader,
    /// Is notified by the leaders.
    Follower,
}

#[derive(Debug)]
struct ReceivedClaim {
    claim: Claim,
    at: Instant,
    /// Number of consecutive claims whose member hash differs from the local one.
    differing: u32,
}

/// Number of consecutive claims with a different member hash after which the members are fetched:
/// announcements in transit arrive within one round.
const FETCH_AFTER_DIFFERING_CLAIMS: u32 = 3;

/// Claims of other daemons, and this daemon's role that follows from them.
#[derive(Debug)]
pub struct LeaderElection {
    own_id: DaemonId,
    zone: ZoneName,
    strength: Strength,
    received: FastMap<DaemonId, ReceivedClaim>,
    last_failure: Option<Instant>,
    last_wake: Option<Instant>,
}

impl LeaderElection {
    /// State of a daemon that has received no claims.
    #[must_use]
    pub fn new(own_id: DaemonId, zone: ZoneName, strength: Strength) -> Self {
        Self {
            own_id,
            zone,
            strength,
            received: FastMap::default(),
            last_failure: None,
            last_wake: None,
        }
    }

    /// Returns the claim that this daemon sends while it leads; `members` is the hash of the
    /// members that it knows.
    #[must_use]
    pub fn own_claim(&self, members: u64) -> Claim {
        Claim {
            zone: self.zone.clone(),
            strength: self.strength,
            members,
        }
    }

    /// Records a claim. Returns whether the members must be fetched from its daemon because
    /// announcements were lost; `members` is the hash of the members known here.
    pub fn record_claim(
        &mut self,
        daemon: &DaemonId,
        claim: Claim,
        members: u64,
        now: Instant,
    ) -> bool {
        let is_different = claim.zone == self.zone && claim.members != members;
        let differing_before = self
            .received
            .get(daemon)
            .map_or(0, |received| received.differing);
        let differing = if is_different {
            differing_before + 1
        } else {
            0
        };
        let must_fetch = differing >= FETCH_AFTER_DIFFERING_CLAIMS;
        let received = ReceivedClaim {
            claim,
            at: now,
            differing: if must_fetch { 0 } else { differing },
        };
        self.received.insert(daemon.clone(), received);
        must_fetch
    }

    /// Removes the claim of a daemon that no longer claims leadership.
    pub fn remove_claim(&mut self, daemon: &DaemonId) {
        self.received.remove(daemon);
    }

    /// Records whether a call to the store succeeded.
    pub fn record_store_call(&mut self, is_success: bool, now: Instant) {
        self.last_failure = (!is_success).then_some(now);
    }

    /// Records that this daemon stood still. Others may lead in its place since, so what it knows of
    /// their claims is dropped, and it yields until it could have received new ones.
    pub fn record_wake(&mut self, now: Instant) {
        self.received.clear();
        self.last_wake = Some(now);
    }

    /// Whether a recent call of this daemon to the store failed, or it has just stood still.
    #[must_use]
    pub fn is_yielding(&self, now: Instant) -> bool {
        let is_within = |at: Option<Instant>, time: Duration| {
            at.is_some_and(|at| now.saturating_duration_since(at) < time)
        };
        is_within(self.last_failure, STORE_FAILURE_BACKOFF) || is_within(self.last_wake, CLAIM_TTL)
    }

    /// Returns this daemon's role in its zone. While its calls to the store fail, it leads only if
    /// no other daemon does.
    #[must_use]
    pub fn role(&self, now: Instant) -> Role {
        let claims = self
            .claims(now)
            .filter(|(_, claim)| claim.zone == self.zone);
        let is_yielding = self.is_yielding(now);
        let preceding = claims.filter(|claim| is_yielding || self.precedes_own(claim));
        let limit = if is_yielding { 1 } else { LEADERS_PER_ZONE };
        if preceding.count() < limit {
            Role::Leader
        } else {
            Role::Follower
        }
    }

    /// Whether another daemon of the zone claims leadership.
    #[must_use]
    pub fn has_other_leader(&self, now: Instant) -> bool {
        self.claims(now).any(|(_, claim)| claim.zone == self.zone)
    }

    /// Whether this daemon is the first leader of its zone, which writes to the store for it.
    #[must_use]
    pub fn is_first_leader(&self, now: Instant) -> bool {
        let is_preceded = self
            .claims(now)
            .any(|claim| claim.1.zone == self.zone && self.precedes_own(&claim));
        !is_preceded && !self.is_yielding(now)
    }

    /// Returns the other leaders of the zone.
    pub fn zone_leaders(&self, now: Instant) -> impl Iterator<Item = &DaemonId> {
        self.claims(now)
            .filter(|(_, claim)| claim.zone == self.zone)
            .map(|(daemon, _)| daemon)
    }

    /// Returns the leader of the whole fleet, the first of all zone leaders, which decides on
    /// moves. `None` if that is this daemon, or if this daemon is a follower and knows no claim.
    #[must_use]
    pub fn fleet_leader(&self, now: Instant) -> Option<&DaemonId> {
        self.claims(now)
            .min_by(|a, b| sort_key(a.0, a.1).cmp(&sort_key(b.0, b.1)))
            .filter(|claim| self.role(now) == Role::Follower || self.precedes_own(claim))
            .map(|(daemon, _)| daemon)
    }

    fn claims(&self, now: Instant) -> impl Iterator<Item = (&DaemonId, &Claim)> {
        self.received
            .iter()
            .filter(move |(_, received)| now.saturating_duration_since(received.at) < CLAIM_TTL)
            .map(|(daemon, received)| (daemon, &received.claim))
    }

    fn precedes_own(&self, (daemon, claim): &(&DaemonId, &Claim)) -> bool {
        sort_key(daemon, claim) < (std::cmp::Reverse(self.strength), &self.own_id)
    }
}

/// Sort key of claims: the strongest first, then by name.
fn sort_key<'a>(
    daemon: &'a DaemonId,
    claim: &Claim,
) -> (std::cmp::Reverse<Strength>, &'a DaemonId) {
    (std::cmp::Reverse(claim.strength), daemon)
}
