//! Which announcements the store holds, and who writes the missing ones.
//!
//! Handles fleets that start or restart at once: the first leader of a zone writes the announcements
//! of its whole zone in one call, so that the calls to the store grow with the zones instead of the
//! daemons. A daemon writes its own announcement only if no leader confirms it in time.

use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;
use base::ZoneName;

use crate::directory::Directory;
use crate::wire::Member;
use crate::wire::Revision;

/// Time in which the leader of the zone must confirm that it wrote an announcement: a few of its
/// write intervals.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(2500);

/// Time in which a daemon that knows others in its zone must receive the claim of a leader: a few
/// intervals between claims.
const LEADER_TIMEOUT: Duration = Duration::from_millis(700);

/// Revisions of the announcements in the store, as far as this daemon knows.
#[derive(Debug, Default)]
pub struct StoredMembers {
    revisions: FastMap<DaemonId, Revision>,
}

impl StoredMembers {
    /// Records that the store holds this announcement of a daemon as the newest one. A lower revision
    /// than before replaces the earlier one: the store keeps what was written last.
    pub fn record(&mut self, daemon: &DaemonId, revision: Revision) {
        self.revisions.insert(daemon.clone(), revision);
    }

    /// Forgets all announcements, as the store may have lost them.
    pub fn clear(&mut self) {
        self.revisions.clear();
    }

    /// Whether the store holds this announcement of a daemon.
    #[must_use]
    pub fn contains(&self, daemon: &str, revision: Revision) -> bool {
        self.revisions.get(daemon) == Some(&revision)
    }

    /// Returns up to `limit` announcements of a zone that the store lacks.
    #[must_use]
    pub fn missing(&self, directory: &Directory, zone: &ZoneName, limit: usize) -> Vec<Member> {
        directory
            .entries()
            .map(|entry| &entry.member)
            .filter(|member| member.zone == *zone)
            .filter(|member| !self.contains(&member.daemon, member.full_revision()))
            .take(limit)
            .cloned()
            .collect()
    }
}

/// Who else could write the announcement of this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneView {
    /// No other daemon of the zone is known.
    Alone,
    /// Others are known, and none of them claims to lead the zone.
    NoLeader,
    /// Another daemon leads the zone, or this one does and writes for all.
    HasLeader,
}

/// What a daemon does about its own announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteStep {
    /// The store holds it, or the leader of the zone is to write it.
    Wait,
    /// This daemon writes it.
    Write,
}

/// Decides whether a daemon writes its announcement itself, which was sent to the zone `since` ago.
#[must_use]
pub fn next_step(view: ZoneView, is_stored: bool, since: Duration) -> WriteStep {
    let patience = match view {
        ZoneView::Alone => Duration::ZERO,
        ZoneView::NoLeader => LEADER_TIMEOUT,
        ZoneView::HasLeader => CONFIRMATION_TIMEOUT,
    };
    if is_stored || since < patience {
        WriteStep::Wait
    } else {
        WriteStep::Write
    }
}

/// An announcement and the time at which it was sent to the zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentAnnouncement {
    /// Revision of the announcement.
    pub revision: Revision,
    /// When it was sent.
    pub at: Instant,
}
