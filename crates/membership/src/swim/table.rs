//! Table of the other members, with tombstones of the removed ones.

use std::net::SocketAddr;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;

use crate::member::Member;
use crate::member::MemberState;
use crate::member::Precedence;
use crate::message::Identity;
use crate::message::Update;

/// Maximum number of retained addresses of dead members.
const MAX_LOST_ADDRESSES: usize = 256;

/// Result of merging one update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeResult {
    /// The table already holds an update of equal or greater precedence, or this one is the
    /// suspicion of an unknown member or version.
    Stale,
    /// The record changed. Holds the death of a former member at the same address, if any.
    Changed(Option<Update>),
    /// The member is dead or has left; holds whether it was in the table.
    Gone(WasKnown),
}

/// Whether a removed member was in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WasKnown {
    /// It was, so its removal is gossiped.
    Yes,
    /// It was not, so its removal is not gossiped.
    No,
}

/// Whether to create a tombstone for a removed member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tombstone {
    /// Rejects updates up to the given precedence until the tombstone expires.
    Create,
    /// Rejects nothing, since this member was isolated when it declared the death.
    Skip,
}

/// Members other than this one, indexed by name and by address.
#[derive(Debug, Default)]
pub struct Table {
    members: Vec<Member>,
    index: FastMap<DaemonId, usize>,
    by_address: FastMap<SocketAddr, DaemonId>,
    tombstones: FastMap<DaemonId, (Precedence, Instant)>,
    lost_addresses: Vec<(SocketAddr, Instant)>,
}

impl Table {
    /// Returns the alive and suspect members, in no particular order.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the record of one member.
    #[must_use]
    pub fn get(&self, daemon: &DaemonId) -> Option<&Member> {
        self.index.get(daemon).map(|&at| &self.members[at])
    }

    /// Returns the member at an address.
    #[must_use]
    pub fn at_address(&self, address: &SocketAddr) -> Option<&Member> {
        self.by_address.get(address).and_then(|it| self.get(it))
    }

    /// Returns the precedence up to which a tombstone rejects updates about this daemon.
    #[must_use]
    pub fn tombstone(&self, daemon: &DaemonId) -> Option<Precedence> {
        self.tombstones
            .get(daemon)
            .map(|(precedence, _)| *precedence)
    }

    /// Returns the addresses of dead members, with the times of their removal.
    #[must_use]
    pub fn lost_addresses(&self) -> &[(SocketAddr, Instant)] {
        &self.lost_addresses
    }

    /// Merges one update.
    pub fn merge(&mut self, update: Update, now: Instant) -> MergeResult {
        let precedence = update.precedence();
        if self.known_precedence(update.daemon()) >= Some(precedence) {
            return MergeResult::Stale;
        }
        match update {
            Update::Full(member) if !member.state.is_gone() => self.merge_live(member, now),
            update if precedence.state.is_gone() => {
                let daemon = update.daemon().clone();
                MergeResult::Gone(self.remove_gone(&daemon, precedence, Tombstone::Create, now))
            }
            update => self.merge_state(update.daemon(), precedence),
        }
    }

    /// Removes a member that is dead or has left.
    pub fn remove_gone(
        &mut self,
        daemon: &DaemonId,
        precedence: Precedence,
        tombstone: Tombstone,
        now: Instant,
    ) -> WasKnown {
        if tombstone == Tombstone::Create {
            self.tombstones.insert(daemon.clone(), (precedence, now));
        }
        let Some(member) = self.remove(daemon) else {
            return WasKnown::No;
        };
        if precedence.state == MemberState::Dead && self.lost_addresses.len() < MAX_LOST_ADDRESSES {
            self.lost_addresses.push((member.address, now));
        }
        WasKnown::Yes
    }

    /// Drops tombstones and lost addresses that were created before the given times.
    pub fn expire(&mut self, tombstones: Option<Instant>, lost: Option<Instant>) {
        if let Some(before) = tombstones {
            self.tombstones.retain(|_, (_, at)| *at > before);
        }
        if let Some(before) = lost {
            self.lost_addresses.retain(|(_, at)| *at > before);
        }
    }

    fn known_precedence(&self, daemon: &DaemonId) -> Option<Precedence> {
        let member = self.get(daemon).map(Member::precedence);
        member.max(self.tombstone(daemon))
    }

    /// Inserts an alive or suspect member. Only one process can use an address: of two members with
    /// the same one, that with the higher incarnation stays, and the other is dead. The name decides
    /// between equal incarnations, so that all members keep the same one.
    fn merge_live(&mut self, member: Member, now: Instant) -> MergeResult {
        let occupant = self
            .at_address(&member.address)
            .filter(|it| it.daemon != member.daemon)
            .map(Member::identity);
        if let Some(occupant) = &occupant
            && (occupant.incarnation, &occupant.daemon) > (member.incarnation, &member.daemon)
        {
            let death = Precedence::new(member.incarnation, member.version, MemberState::Dead);
            return MergeResult::Gone(self.remove_gone(
                &member.daemon,
                death,
                Tombstone::Create,
                now,
            ));
        }
        let death = occupant.map(|it| self.remove_former(it, now));
        self.insert(member);
        MergeResult::Changed(death)
    }

    fn remove_former(&mut self, former: Identity, now: Instant) -> Update {
        let version = self.get(&former.daemon).map_or(0, |it| it.version);
        let update = Update::Brief(former, version, MemberState::Dead);
        self.remove_gone(update.daemon(), update.precedence(), Tombstone::Create, now);
        update
    }

    /// Applies a suspicion. Suspicion of an unknown member or version is dropped: adopting the
    /// version without the record would hide from digests that the record is missing.
    fn merge_state(&mut self, daemon: &DaemonId, precedence: Precedence) -> MergeResult {
        let Some(&at) = self.index.get(daemon) else {
            return MergeResult::Stale;
        };
        let member = &mut self.members[at];
        if (member.incarnation, member.version) != (precedence.incarnation, precedence.version) {
            return MergeResult::Stale;
        }
        member.state = precedence.state;
        MergeResult::Changed(None)
    }

    fn insert(&mut self, member: Member) {
        self.tombstones.remove(&member.daemon);
        self.lost_addresses
            .retain(|(address, _)| *address != member.address);
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
