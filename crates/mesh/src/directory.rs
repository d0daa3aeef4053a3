//! All daemons of the mesh and their instances, merged from records and gossip.
//!
//! The newest word of a daemon about itself wins, whichever way it came, so the order and the
//! number of copies do not matter.

use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;

use crate::wire::Member;

/// A member and when its word arrived here.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The daemon's newest word about itself.
    pub member: Member,
    /// When it arrived.
    pub since: Instant,
}

impl Entry {
    /// How much longer the instance stays slow after its start.
    #[must_use]
    pub fn cold_left(&self, now: Instant) -> Duration {
        let told = self.member.instance.as_ref().map(|info| info.cold_left);
        told.unwrap_or_default()
            .saturating_sub(now.saturating_duration_since(self.since))
    }
}

/// What a word about a member changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// It was newer.
    Newer,
    /// It was known, or older.
    Known,
}

/// Members by the name of their daemon.
#[derive(Debug, Default)]
pub struct Directory {
    members: FastMap<DaemonId, Entry>,
}

impl Directory {
    /// Takes in a word of a daemon about itself.
    pub fn merge(&mut self, member: Member, now: Instant) -> Merge {
        let order = |member: &Member| (member.incarnation, member.revision);
        if let Some(known) = self.members.get(&member.daemon)
            && order(&known.member) >= order(&member)
        {
            return Merge::Known;
        }
        // A machine's address is used by one daemon at a time; the one that started last has it.
        let is_rival = |known: &Entry| {
            known.member.daemon != member.daemon && known.member.address == member.address
        };
        let mut known = self.members.values();
        if known.any(|known| is_rival(known) && known.member.incarnation > member.incarnation) {
            return Merge::Known;
        }
        self.members.retain(|_, known| !is_rival(known));
        let entry = Entry { member, since: now };
        self.members.insert(entry.member.daemon.clone(), entry);
        Merge::Newer
    }

    /// A hash of the newest words of all members, whatever the order in which they came.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let hash = |member: &Member| {
            let (incarnation, revision) = (member.incarnation, member.revision);
            base::hash::stable(&[
                member.daemon.as_bytes(),
                &incarnation.to_be_bytes(),
                &revision.to_be_bytes(),
            ])
        };
        let members = self.members.values().map(|entry| hash(&entry.member));
        members.fold(0, |digest, hash| digest ^ hash)
    }

    /// All members, in no order.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.members.values()
    }

    /// One member.
    #[must_use]
    pub fn get(&self, daemon: &str) -> Option<&Entry> {
        self.members.get(daemon)
    }

    /// Number of members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}
