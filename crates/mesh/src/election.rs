//! Which daemons of an availability zone read the platform's store for the others.
//!
//! Answers fleets that grow: the calls to the store follow the number of zones instead of the number
//! of daemons. The first daemons of a zone, by strength and name, claim to lead it and repeat that
//! every few hundred milliseconds. A daemon that hears enough claims before its own follows them;
//! one that hears too few leads, so a zone is without a lead only for the time in which claims grow
//! old. Nobody is asked for a vote, and too many leads for a moment cost calls, nothing else.

use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;
use base::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// LeaderElection of one zone; the second takes over without a gap.
pub const LEADERS_PER_ZONE: usize = 2;

/// A claim that was not repeated for this time has lapsed; four rounds of gossip.
pub const CLAIM_TTL: Duration = Duration::from_secs(1);

/// A daemon that the store failed leaves the lead to others for this time: some of its longest pauses
/// between tries.
const FAILURE_LIFE: Duration = Duration::from_secs(5);

/// How much a daemon can carry for others; the larger, the more.
pub type Strength = u32;

/// The strength of a machine, from its share of a processor in thousandths and its link in Mbit/s.
/// A tenth of a core and a link of 50 Mbit/s count alike: with either, one configuration for all
/// daemons of a zone takes a good part of a second.
#[must_use]
pub fn strength(core_permille: u32, link_mbps: u32) -> Strength {
    core_permille.min(link_mbps.saturating_mul(2))
}

/// A daemon's claim to lead its zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Its zone.
    pub zone: ZoneName,
    /// What it can carry.
    pub strength: Strength,
    /// Hash of the members that it knows; unlike hashes show that an announcement was lost.
    pub members: u64,
}

/// What a daemon does for its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It reads the store and tells the others.
    Leader,
    /// It hears from the leads.
    Follower,
}

#[derive(Debug)]
struct Heard {
    claim: Claim,
    at: Instant,
    /// Claims in a row whose members differ from those known here.
    unlike: u32,
}

/// Claims in a row with unlike members after which they are fetched: announcements that are on their way
/// arrive within one round.
const UNLIKE_CLAIMS: u32 = 3;

/// Claims of other daemons, and this daemon's standing among them.
#[derive(Debug)]
pub struct LeaderElection {
    me: DaemonId,
    zone: ZoneName,
    strength: Strength,
    heard: FastMap<DaemonId, Heard>,
    failed: Option<Instant>,
}

impl LeaderElection {
    /// A daemon that has heard nobody.
    #[must_use]
    pub fn new(me: DaemonId, zone: ZoneName, strength: Strength) -> Self {
        Self {
            me,
            zone,
            strength,
            heard: FastMap::default(),
            failed: None,
        }
    }

    /// This daemon's claim, for the case that it leads.
    #[must_use]
    pub fn own_claim(&self, members: u64) -> Claim {
        Claim {
            zone: self.zone.clone(),
            strength: self.strength,
            members,
        }
    }

    /// Notes a claim. Says whether the members should be fetched from its daemon, since announcements of
    /// them were lost; `members` is the hash of those known here.
    pub fn record_claim(
        &mut self,
        daemon: &DaemonId,
        claim: Claim,
        members: u64,
        now: Instant,
    ) -> bool {
        let is_unlike = claim.zone == self.zone && claim.members != members;
        let before = self.heard.get(daemon).map_or(0, |heard| heard.unlike);
        let unlike = if is_unlike { before + 1 } else { 0 };
        let is_due = unlike >= UNLIKE_CLAIMS;
        let heard = Heard {
            claim,
            at: now,
            unlike: if is_due { 0 } else { unlike },
        };
        self.heard.insert(daemon.clone(), heard);
        is_due
    }

    /// Notes that a daemon no longer claims to lead.
    pub fn remove_claim(&mut self, daemon: &DaemonId) {
        self.heard.remove(daemon);
    }

    /// Notes how a call to the store went.
    pub fn record_store_call(&mut self, is_served: bool, now: Instant) {
        self.failed = (!is_served).then_some(now);
    }

    /// Whether the store failed this daemon lately.
    #[must_use]
    pub fn is_store_failing(&self, now: Instant) -> bool {
        self.failed
            .is_some_and(|at| now.saturating_duration_since(at) < FAILURE_LIFE)
    }

    /// What this daemon does for its zone. One that the store fails leads only where nobody else
    /// does.
    #[must_use]
    pub fn role(&self, now: Instant) -> Role {
        let claims = self
            .claims(now)
            .filter(|(_, claim)| claim.zone == self.zone);
        let is_failing = self.is_store_failing(now);
        let before_me = claims.filter(|claim| is_failing || self.is_before_me(claim));
        let room = if is_failing { 1 } else { LEADERS_PER_ZONE };
        if before_me.count() < room {
            Role::Leader
        } else {
            Role::Follower
        }
    }

    /// The daemon that decides for the whole fleet: the first of all leads; `None` where that is
    /// this daemon, or nobody is known and this daemon only follows.
    #[must_use]
    pub fn fleet_leader(&self, now: Instant) -> Option<&DaemonId> {
        self.claims(now)
            .min_by(|a, b| rank(a.0, a.1).cmp(&rank(b.0, b.1)))
            .filter(|claim| self.role(now) == Role::Follower || self.is_before_me(claim))
            .map(|(daemon, _)| daemon)
    }

    fn claims(&self, now: Instant) -> impl Iterator<Item = (&DaemonId, &Claim)> {
        self.heard
            .iter()
            .filter(move |(_, heard)| now.saturating_duration_since(heard.at) < CLAIM_TTL)
            .map(|(daemon, heard)| (daemon, &heard.claim))
    }

    fn is_before_me(&self, (daemon, claim): &(&DaemonId, &Claim)) -> bool {
        rank(daemon, claim) < (std::cmp::Reverse(self.strength), &self.me)
    }
}

/// Order of claims: the strongest first, then by name.
fn rank<'a>(daemon: &'a DaemonId, claim: &Claim) -> (std::cmp::Reverse<Strength>, &'a DaemonId) {
    (std::cmp::Reverse(claim.strength), daemon)
}
