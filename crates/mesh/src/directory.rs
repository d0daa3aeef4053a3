//! Directory of all daemons of the mesh and their instances, merged from the store and from gossip.
//!
//! The newest announcement of a daemon wins, by incarnation and revision, so that reordered and
//! duplicate announcements have no effect.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;
use base::ServiceName;
use base::ZoneName;

use crate::election::LEADERS_PER_ZONE;
use crate::election::Strength;
use crate::instance::InstanceKey;
use crate::wire::Member;

/// A member and the arrival time of its announcement.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The daemon's newest announcement.
    pub member: Member,
    /// When it arrived, by the local clock.
    pub received_at: Instant,
}

impl Entry {
    /// Remaining time for which the instance is slow after its start.
    #[must_use]
    pub fn cold_left(&self, now: Instant) -> Duration {
        let announced = self.member.instance.as_ref().map(|info| info.cold_left);
        announced
            .unwrap_or_default()
            .saturating_sub(now.saturating_duration_since(self.received_at))
    }
}

/// Result of [`Directory::merge`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// The announcement was newer and is stored.
    Newer,
    /// The announcement was known or outdated.
    Known,
}

/// Members by daemon id.
#[derive(Debug, Default)]
pub struct Directory {
    members: FastMap<DaemonId, Entry>,
    /// Daemons with an instance, by its service; each request looks up one service.
    by_service: FastMap<ServiceName, Vec<DaemonId>>,
    /// Instances that are leaving, by their daemon. A daemon that restarts may announce one again as
    /// ready, so they stand until it announces another one.
    leaving: FastMap<DaemonId, InstanceKey>,
    /// XOR of the hashes of all members, independent of their order.
    digest: u64,
}

impl Directory {
    /// Merges the announcement of a daemon.
    pub fn merge(&mut self, member: Member, now: Instant) -> Merge {
        if let Some(known) = self.members.get(&member.daemon)
            && known.member.full_revision() >= member.full_revision()
        {
            return Merge::Known;
        }
        // One daemon at a time uses an address: the one that started last.
        let conflicting: Vec<&Member> = self
            .members
            .values()
            .map(|entry| &entry.member)
            .filter(|known| known.daemon != member.daemon && known.address == member.address)
            .collect();
        if conflicting
            .iter()
            .any(|other| other.incarnation > member.incarnation)
        {
            return Merge::Known;
        }
        let replaced: Vec<DaemonId> = conflicting
            .iter()
            .map(|other| other.daemon.clone())
            .collect();
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
        if let Some(key) = &member.leaving {
            self.leaving.insert(member.daemon.clone(), key.clone());
        }
        if let Some(info) = &member.instance {
            if self.leaving.get(&member.daemon) != Some(&info.key()) {
                self.leaving.remove(&member.daemon);
            }
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

    /// Records that an instance says in its answers that it is leaving. Returns whether that is news.
    pub fn mark_leaving(&mut self, daemon: &DaemonId, key: &InstanceKey) -> bool {
        let info = self
            .members
            .get(daemon)
            .and_then(|entry| entry.member.instance.as_ref());
        let is_announced = info.is_some_and(|info| info.key() == *key);
        if !is_announced || self.leaving.get(daemon) == Some(key) {
            return false;
        }
        self.leaving.insert(daemon.clone(), key.clone());
        true
    }

    /// Whether the announced instance of a member is leaving.
    fn is_leaving(&self, member: &Member) -> bool {
        let info = member.instance.as_ref();
        let key = self.leaving.get(&member.daemon);
        key.is_some_and(|key| info.is_some_and(|info| info.key() == *key))
    }

    /// Returns a hash of the newest announcements of all members, independent of their arrival
    /// order.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the members with an instance of `service` that accept requests, unordered. An instance
    /// that is leaving does not.
    pub fn serving(&self, service: &ServiceName) -> impl Iterator<Item = &Entry> {
        let daemons = self.by_service.get(service).into_iter().flatten();
        daemons
            .filter_map(|daemon| self.members.get(daemon))
            .filter(|entry| entry.member.is_open && !self.is_leaving(&entry.member))
    }

    /// Returns all members, unordered.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.members.values()
    }

    /// Returns the entry of a daemon.
    #[must_use]
    pub fn get(&self, daemon: &str) -> Option<&Entry> {
        self.members.get(daemon)
    }

    /// Whether this member is to lead its zone by the announced strengths, before any claims arrive.
    #[must_use]
    pub fn is_expected_leader(&self, daemon: &DaemonId, zone: &ZoneName, own: Strength) -> bool {
        let precedes =
            |member: &Member| (Reverse(member.strength), &member.daemon) < (Reverse(own), daemon);
        let preceding = self
            .entries()
            .map(|entry| &entry.member)
            .filter(|member| member.zone == *zone && member.daemon != *daemon && precedes(member))
            .take(LEADERS_PER_ZONE);
        preceding.count() < LEADERS_PER_ZONE
    }

    /// Returns the number of known members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known yet.
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
