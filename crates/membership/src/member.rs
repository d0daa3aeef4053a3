//! One member of the fleet and the precedence of what is said about it.

use std::net::SocketAddr;
use std::time::Duration;

use base::DaemonId;
use base::Incarnation;
use base::ServiceName;
use base::VersionName;
use base::ZoneName;
use protocol::announce::Announcement;
use protocol::announce::UpstreamPhase;
use serde::Deserialize;
use serde::Serialize;

/// What is known about one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub daemon: DaemonId,
    /// Start number of its process.
    pub incarnation: Incarnation,
    /// Raised by the member itself with each change and each refutation; 0 at its start.
    pub version: u64,
    /// TCP for the inner protocol and UDP for gossip, at the same port.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The upstream beside it, once that announced itself.
    pub upstream: Option<UpstreamInfo>,
    /// Whether it is believed to run.
    pub state: MemberState,
}

/// What a member says about the upstream beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamInfo {
    /// Service that it serves.
    pub service: ServiceName,
    /// Version that it runs.
    pub version: VersionName,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Time from its start to full speed.
    pub cold_start: Duration,
    /// Whether it takes new work.
    pub phase: UpstreamPhase,
}

/// Whether a member is believed to run. Later variants win at equal incarnation and version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer; it may still refute.
    Suspect,
    /// It did not refute in time, or another instance took its address.
    Dead,
    /// It said that it goes; final for its incarnation.
    Left,
}

/// Precedence of a statement about a member: of two statements the greater one holds.
///
/// The order is total, so merging is commutative, associative and idempotent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Precedence {
    /// A later process replaces an earlier one.
    pub incarnation: Incarnation,
    /// A member that left does not come back within its incarnation.
    left: bool,
    /// The member's own later word replaces earlier ones.
    pub version: u64,
    /// At the same version the worse state holds.
    pub state: MemberState,
}

impl Precedence {
    /// Precedence of a statement.
    #[must_use]
    pub fn new(incarnation: Incarnation, version: u64, state: MemberState) -> Self {
        Self {
            incarnation,
            left: state == MemberState::Left,
            version,
            state,
        }
    }
}

impl Member {
    /// Precedence of this statement.
    #[must_use]
    pub fn precedence(&self) -> Precedence {
        Precedence::new(self.incarnation, self.version, self.state)
    }
}

impl MemberState {
    /// Whether the member counts as gone for good in this incarnation and version.
    #[must_use]
    pub fn is_gone(self) -> bool {
        matches!(self, Self::Dead | Self::Left)
    }

    /// Name in lower case, for status pages.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }
}

impl From<&Announcement> for UpstreamInfo {
    fn from(announcement: &Announcement) -> Self {
        Self {
            service: announcement.service.clone(),
            version: announcement.version.clone(),
            slots: announcement.slots,
            cold_start: announcement.cold_start,
            phase: announcement.phase,
        }
    }
}
