//! All daemons of the mesh and their instances, merged from records and gossip.
//!
//! The newest announcement of a daemon wins, whichever way it came, so the order and the
//! number of copies do not matter.

use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;
use base::ServiceName;

use crate::wire::Member;

/// A member and when its announcement arrived here.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The daemon's newest announcement.
    pub member: Member,
    /// When it arrived.
    pub received_at: Instant,
}

impl Entry {
    /// How much longer the instance stays slow after its start.
    #[must_use]
    pub fn cold_left(&self, now: Instant) -> Duration {
        let told = self.member.instance.as_ref().map(|info| info.cold_left);
        told.unwrap_or_default()
            .saturating_sub(now.saturating_duration_since(self.received_at))
    }
}

/// What an announcement changed.
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
    /// Daemons beside an instance, by its service: a request asks for one service only.
    by_service: FastMap<ServiceName, Vec<DaemonId>>,
    /// Hashes of all members, combined in a way that knows no order.
    digest: u64,
}

impl Directory {
    /// Takes in the announcement of a daemon.
    pub fn merge(&mut self, member: Member, now: Instant) -> Merge {
        let order = |member: &Member| (member.incarnation, member.revision);
        if let Some(known) = self.members.get(&member.daemon)
            && order(&known.member) >= order(&member)
        {
            return Merge::Known;
        }
        // A machine's address is used by one daemon at a time; the one that started last has it.
        let rivals: Vec<&Member> = self
            .members
            .values()
            .map(|entry| &entry.member)
            .filter(|known| known.daemon != member.daemon && known.address == member.address)
            .collect();
        if rivals
            .iter()
            .any(|rival| rival.incarnation > member.incarnation)
        {
            return Merge::Known;
        }
        let replaced: Vec<DaemonId> = rivals.iter().map(|rival| rival.daemon.clone()).collect();
        for daemon in replaced.iter().chain([&member.daemon]) {
            self.remove(daemon);
        }
        self.insert(Entry {
            member,
            received_at: now,
        });
        Merge::Newer
    }

    fn insert(&mut self, entry: Entry) {
        let member = &entry.member;
        self.digest ^= hash(member);
        if let Some(info) = &member.instance {
            let daemons = self.by_service.entry(info.service.clone()).or_default();
            daemons.push(member.daemon.clone());
        }
        self.members.insert(member.daemon.clone(), entry);
    }

    fn remove(&mut self, daemon: &DaemonId) {
        let Some(Entry { member, .. }) = self.members.remove(daemon) else {
            return;
        };
        self.digest ^= hash(&member);
        if let Some(info) = &member.instance
            && let Some(daemons) = self.by_service.get_mut(&info.service)
        {
            daemons.retain(|known| known != daemon);
        }
    }

    /// A hash of the newest announcements of all members, whatever the order in which they came.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Members whose instance runs a service and takes requests, in no order.
    pub fn serving(&self, service: &ServiceName) -> impl Iterator<Item = &Entry> {
        let daemons = self.by_service.get(service).into_iter().flatten();
        daemons
            .filter_map(|daemon| self.members.get(daemon))
            .filter(|entry| entry.member.is_open)
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

fn hash(member: &Member) -> u64 {
    base::hash::stable(&[
        member.daemon.as_bytes(),
        &member.incarnation.to_be_bytes(),
        &member.revision.to_be_bytes(),
    ])
}
