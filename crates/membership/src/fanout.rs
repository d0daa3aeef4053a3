//! Computes the fan-out tree: which members read the log and which parent feeds each other member.
//!
//! In each zone, the live members are ranked by a stable hash of their names. The members of lowest
//! rank read the log; every other member has a parent of strictly lower rank. The rank of a name is
//! the same in every membership view, so differing views can cause redundant traffic but no cycles.

use base::DaemonId;
use base::ZoneName;
use base::hash;

use crate::member::Member;

/// Maximum number of parents in the list of a child.
const MAX_PARENTS: usize = 4;

/// Shape of the fan-out tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fanout {
    /// Number of members in each zone that read the log; 0 counts as 1.
    pub readers_per_zone: usize,
    /// Maximum number of children of one parent; 0 counts as 1.
    pub degree: usize,
}

impl Default for Fanout {
    fn default() -> Self {
        Self {
            readers_per_zone: 2,
            degree: 16,
        }
    }
}

/// Role of one member in the tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Reads the log, and polls the readers of all zones for the lease and rollback facts.
    Reader {
        /// The other readers, most preferred first.
        peers: Vec<DaemonId>,
    },
    /// Polls a parent.
    Child {
        /// Parents in the order in which to try them; never empty.
        parents: Vec<DaemonId>,
    },
}

/// Returns the rank of a member within its zone, equal in every membership view. Parents have
/// lower ranks than their children.
#[must_use]
pub fn rank(daemon: &DaemonId) -> (u64, &DaemonId) {
    (hash::stable(&[b"rank", daemon.as_bytes()]), daemon)
}

impl Fanout {
    /// Returns the role of `me` among `others`, the members that are alive and reachable from here.
    #[must_use]
    pub fn role<'a>(&self, me: &Member, others: impl Iterator<Item = &'a Member>) -> Role {
        let others: Vec<&Member> = others.filter(|it| it.daemon != me.daemon).collect();
        let zone = ranked(&me.zone, others.iter().copied().chain([me]));
        let position = zone.partition_point(|it| rank(it) < rank(&me.daemon));
        if position < self.readers() {
            return Role::Reader {
                peers: self.peers(me, &others),
            };
        }
        Role::Child {
            parents: self.parents(&me.daemon, &zone, position),
        }
    }

    /// Returns the other members, those of the own zone first, as sources of a full state for a
    /// daemon that starts empty while the log is down.
    #[must_use]
    pub fn state_sources<'a>(
        &self,
        me: &Member,
        others: impl Iterator<Item = &'a Member>,
    ) -> Vec<DaemonId> {
        let mut others: Vec<&Member> = others.filter(|it| it.daemon != me.daemon).collect();
        others.sort_by_key(|it| (it.zone != me.zone, preference(&me.daemon, &it.daemon)));
        others.iter().map(|it| it.daemon.clone()).collect()
    }

    fn readers(&self) -> usize {
        self.readers_per_zone.max(1)
    }

    /// Returns the parent assigned by position, then others of its level and of the levels above.
    fn parents(&self, me: &DaemonId, zone: &[&DaemonId], position: usize) -> Vec<DaemonId> {
        let degree = self.degree.max(1);
        let parent = (position - self.readers()) / degree;
        let level_end = self.level_end(parent, degree).min(position);
        let mut others: Vec<&DaemonId> = (0..level_end)
            .filter(|at| *at != parent)
            .map(|at| zone[at])
            .collect();
        others.sort_by_key(|it| preference(me, it));
        std::iter::once(zone[parent])
            .chain(others)
            .take(MAX_PARENTS)
            .cloned()
            .collect()
    }

    /// Returns the end position of the tree level that holds `position`.
    fn level_end(&self, position: usize, degree: usize) -> usize {
        let mut end = self.readers();
        let mut size = self.readers();
        while end <= position {
            size = size.saturating_mul(degree);
            end = end.saturating_add(size);
        }
        end
    }

    fn peers(&self, me: &Member, others: &[&Member]) -> Vec<DaemonId> {
        let mut zones: Vec<&ZoneName> = others.iter().map(|it| &it.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let mut peers: Vec<&DaemonId> = zones
            .into_iter()
            .flat_map(|zone| self.zone_readers(zone, me, others))
            .collect();
        peers.sort_by_key(|it| preference(&me.daemon, it));
        peers.into_iter().cloned().collect()
    }

    fn zone_readers<'a>(
        &self,
        zone: &ZoneName,
        me: &Member,
        others: &[&'a Member],
    ) -> Vec<&'a DaemonId> {
        let limit = if *zone == me.zone {
            self.readers() - 1
        } else {
            self.readers()
        };
        let mut readers = ranked(zone, others.iter().copied());
        readers.truncate(limit);
        readers
    }
}

fn ranked<'a>(zone: &ZoneName, members: impl Iterator<Item = &'a Member>) -> Vec<&'a DaemonId> {
    let mut ranked: Vec<&DaemonId> = members
        .filter(|it| it.zone == *zone)
        .map(|it| &it.daemon)
        .collect();
    ranked.sort_unstable_by_key(|it| rank(it));
    ranked
}

/// Sort key of a peer, different for each poller: spreads the children of a failed parent over the
/// remaining ones.
fn preference(poller: &DaemonId, peer: &DaemonId) -> u64 {
    hash::stable(&[b"parent", poller.as_bytes(), peer.as_bytes()])
}
