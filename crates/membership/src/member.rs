//! One member of the fleet and the precedence of updates about it.

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

/// Membership record of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the daemon, unique within the fleet.
    pub daemon: DaemonId,
    /// Incarnation of its process; raised by each restart.
    pub incarnation: Incarnation,
    /// Raised only by the member itself, with each change and each refutation; 0 at its start.
    pub version: u64,
    /// Address of the inner protocol (TCP) and of gossip (UDP); both use the same port.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its local upstream; `None` until that announces itself.
    pub upstream: Option<UpstreamInfo>,
    /// Result of failure detection for this member.
    pub state: MemberState,
}

/// What a member publishes about its local upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamInfo {
    /// Service that the upstream implements.
    pub service: ServiceName,
    /// Version of the service that it runs.
    pub version: VersionName,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Time from its start until it reaches full throughput.
    pub cold_start: Duration,
    /// Whether it accepts new calls.
    pub phase: UpstreamPhase,
}

/// Failure detection state of a member. Later variants win at equal incarnation and version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It did not answer a probe; it may still refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time, or another process took over its address.
    Dead,
    /// It announced that it leaves; final for its incarnation.
    Left,
}

/// Precedence of an update about a member: of two updates, the greater one wins.
///
/// The order is total, so merging is commutative, associative and idempotent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Precedence {
    /// Compared first: a later process replaces an earlier one.
    pub incarnation: Incarnation,
    /// Compared second: a member that left does not return within its incarnation.
    left: bool,
    /// Compared third: a later update by the member itself replaces its earlier ones.
    pub version: u64,
    /// Compared last: at the same version the worse state wins.
    pub state: MemberState,
}

impl Precedence {
    /// Builds the precedence of an update with these values.
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
    /// Returns the precedence of this record.
    #[must_use]
    pub fn precedence(&self) -> Precedence {
        Precedence::new(self.incarnation, self.version, self.state)
    }
}

impl MemberState {
    /// Whether the member is dead or has left, in this incarnation and version.
    #[must_use]
    pub fn is_gone(self) -> bool {
        matches!(self, Self::Dead | Self::Left)
    }

    /// Returns the name in lower case, for status pages.
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
