//! Who reads the log and who feeds whom.
//!
//! In each zone the live members are ranked by a stable hash of their names. The first few read
//! the log; every other one has a parent of strictly lower rank. The rank of a name is the same in
//! every view, so views that differ can cost bytes but can never close a cycle.

use base::DaemonId;
use base::ZoneName;
use base::hash;

use crate::member::Member;

/// Parents that a child tries before it starts over.
const MAX_PARENTS: usize = 4;

/// Shape of the fan-out tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fanout {
    /// Members of each zone that read the log; at least 1.
    pub readers_per_zone: usize,
    /// Children of one parent; at least 1.
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

/// What one member does in the tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Reads the log, and asks the readers of all zones for lease and facts.
    Reader {
        /// The other readers, those most preferred first.
        peers: Vec<DaemonId>,
    },
    /// Is fed by a parent.
    Child {
        /// Parents to try in this order; never empty.
        parents: Vec<DaemonId>,
    },
}

/// Rank of a member within its zone; the same in every view. Lower ranks feed higher ones.
#[must_use]
pub fn rank(daemon: &DaemonId) -> (u64, &DaemonId) {
    (hash::stable(&[b"rank", daemon.as_bytes()]), daemon)
}

impl Fanout {
    /// The role of `me` among `others`: members that are alive and can be reached from here.
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

    /// Other members of any zone that may hold whole state, for a daemon that starts cold while
    /// the log is down; the own zone first.
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

    /// The parent by position first, then others of its level and of the levels above.
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

    /// End of the tree level that holds `position`.
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

/// Spreads the children of a lost parent over the remaining ones.
fn preference(child: &DaemonId, parent: &DaemonId) -> u64 {
    hash::stable(&[b"parent", child.as_bytes(), parent.as_bytes()])
}
