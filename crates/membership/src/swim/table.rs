//! The other members, with tombstones of those that are gone.

use std::net::SocketAddr;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;

use crate::member::Member;
use crate::member::MemberState;
use crate::member::Precedence;
use crate::message::Identity;
use crate::message::Update;

/// Most addresses of gone members that are kept.
const MAX_LOST_ADDRESSES: usize = 256;

/// Result of merging one update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Merged {
    /// What was known already holds.
    Stale,
    /// The member's record changed. Holds the death of a former member whose address it took.
    Changed(Option<Update>),
    /// The member is gone now; holds whether it was known before.
    Gone(Known),
}

/// Whether a member was in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Known {
    /// It was.
    Before,
    /// It was not, so nobody needs to hear that it is gone.
    Never,
}

/// Whether a gone member leaves a tombstone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tombstone {
    /// Bars statements up to the given precedence until it expires.
    Keep,
    /// Bars nothing: the verdict was given without hearing anybody.
    Skip,
}

/// Members other than this one, by name and by address.
#[derive(Debug, Default)]
pub struct Table {
    members: Vec<Member>,
    index: FastMap<DaemonId, usize>,
    by_address: FastMap<SocketAddr, DaemonId>,
    tombstones: FastMap<DaemonId, (Precedence, Instant)>,
    lost: Vec<(SocketAddr, Instant)>,
}

impl Table {
    /// All members that are not gone, in no particular order.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// One member.
    #[must_use]
    pub fn get(&self, daemon: &DaemonId) -> Option<&Member> {
        self.index.get(daemon).map(|&at| &self.members[at])
    }

    /// The member at an address.
    #[must_use]
    pub fn at_address(&self, address: &SocketAddr) -> Option<&Member> {
        self.by_address.get(address).and_then(|it| self.get(it))
    }

    /// The statement that bars this daemon's older ones.
    #[must_use]
    pub fn tombstone(&self, daemon: &DaemonId) -> Option<Precedence> {
        self.tombstones
            .get(daemon)
            .map(|(precedence, _)| *precedence)
    }

    /// Addresses of members that are gone.
    #[must_use]
    pub fn lost(&self) -> &[(SocketAddr, Instant)] {
        &self.lost
    }

    /// Merges one statement.
    pub fn merge(&mut self, update: Update, now: Instant) -> Merged {
        let precedence = update.precedence();
        if self.known_precedence(update.daemon()) >= Some(precedence) {
            return Merged::Stale;
        }
        match update {
            Update::Full(member) if !member.state.is_gone() => self.merge_live(member, now),
            update if precedence.state.is_gone() => {
                let daemon = update.daemon().clone();
                Merged::Gone(self.bury(&daemon, precedence, Tombstone::Keep, now))
            }
            update => self.merge_state(update.daemon(), precedence),
        }
    }

    /// Removes a member.
    pub fn bury(
        &mut self,
        daemon: &DaemonId,
        precedence: Precedence,
        tombstone: Tombstone,
        now: Instant,
    ) -> Known {
        if tombstone == Tombstone::Keep {
            self.tombstones.insert(daemon.clone(), (precedence, now));
        }
        let Some(member) = self.remove(daemon) else {
            return Known::Never;
        };
        if precedence.state == MemberState::Dead && self.lost.len() < MAX_LOST_ADDRESSES {
            self.lost.push((member.address, now));
        }
        Known::Before
    }

    /// Drops tombstones and lost addresses from before the given times.
    pub fn expire(&mut self, tombstones: Option<Instant>, lost: Option<Instant>) {
        if let Some(before) = tombstones {
            self.tombstones.retain(|_, (_, at)| *at > before);
        }
        if let Some(before) = lost {
            self.lost.retain(|(_, at)| *at > before);
        }
    }

    fn known_precedence(&self, daemon: &DaemonId) -> Option<Precedence> {
        let member = self.get(daemon).map(Member::precedence);
        member.max(self.tombstone(daemon))
    }

    fn merge_live(&mut self, member: Member, now: Instant) -> Merged {
        let former = self
            .at_address(&member.address)
            .filter(|it| it.daemon != member.daemon)
            .map(Member::identity);
        if let Some(former) = &former
            && (former.incarnation, &former.daemon) > (member.incarnation, &member.daemon)
        {
            let death = Precedence::new(member.incarnation, member.version, MemberState::Dead);
            return Merged::Gone(self.bury(&member.daemon, death, Tombstone::Keep, now));
        }
        let death = former.map(|it| self.bury_former(it, now));
        self.insert(member);
        Merged::Changed(death)
    }

    fn bury_former(&mut self, former: Identity, now: Instant) -> Update {
        let version = self.get(&former.daemon).map_or(0, |it| it.version);
        let update = Update::Brief(former, version, MemberState::Dead);
        self.bury(update.daemon(), update.precedence(), Tombstone::Keep, now);
        update
    }

    /// Suspicion of a member or version that is not known is dropped: taking over the version
    /// without the record would hide from digests that the record is missing.
    fn merge_state(&mut self, daemon: &DaemonId, precedence: Precedence) -> Merged {
        let Some(&at) = self.index.get(daemon) else {
            return Merged::Stale;
        };
        let member = &mut self.members[at];
        if (member.incarnation, member.version) != (precedence.incarnation, precedence.version) {
            return Merged::Stale;
        }
        member.state = precedence.state;
        Merged::Changed(None)
    }

    fn insert(&mut self, member: Member) {
        self.tombstones.remove(&member.daemon);
        self.lost.retain(|(address, _)| *address != member.address);
        self.remove(&member.daemon);
        self.by_address
            .insert(member.address, member.daemon.clone());
        self.index.insert(member.daemon.clone(), self.members.len());
        self.members.push(member);
    }

    fn remove(&mut self, daemon: &DaemonId) -> Option<Member> {
        let at = self.index.remove(daemon)?;
        let member = self.members.swap_remove(at);
        if let Some(moved) = self.members.get(at) {
            self.index.insert(moved.daemon.clone(), at);
        }
        if self.by_address.get(&member.address) == Some(daemon) {
            self.by_address.remove(&member.address);
        }
        Some(member)
    }
}
