//! What daemons of the mesh tell each other.

use std::net::SocketAddr;
use std::time::Duration;

use base::DaemonId;
use base::Incarnation;
use base::ServiceName;
use base::UnixMillis;
use base::VersionName;
use base::ZoneName;
use ledger::Idempotency;
use protocol::call::Load;
use protocol::call::NotRun;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::config::ConfigVersion;
use crate::config::Rank;
use crate::config::RouteName;
use crate::election::Claim;
use crate::instance::InstanceId;
use crate::moves::MoveRecord;

/// One daemon and the instance beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Start of the daemon's process, by its own clock.
    pub incarnation: Incarnation,
    /// Rises with each change that the daemon tells of.
    pub revision: u64,
    /// Where it takes requests from other daemons.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The instance, when it takes new work.
    pub instance: Option<InstanceInfo>,
    /// Whether the daemon takes requests from others; false while it stops.
    pub is_open: bool,
}

/// An instance that takes new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Its name.
    pub id: InstanceId,
    /// Start of its incarnation.
    pub born: UnixMillis,
    /// Service that it runs.
    pub service: ServiceName,
    /// Version of its software.
    pub version: VersionName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time that it stayed slow from the moment of this announcement.
    pub cold_left: Duration,
}

/// What the gate must know about a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHead {
    /// Id of the request.
    pub request: SmolStr,
    /// Name of the instance that the caller side chose.
    pub instance: InstanceId,
    /// Start of its incarnation.
    pub born: UnixMillis,
    /// Service that the route allows.
    pub service: ServiceName,
    /// Version that the caller side chose.
    pub version: VersionName,
    /// Route that matched.
    pub route: RouteName,
    /// Whether the request may run more than once.
    pub repeat: Idempotency,
    /// Rank under load.
    pub rank: Rank,
    /// Time left, in milliseconds.
    pub left_ms: u32,
    /// Time left within which the answer has its full value, in milliseconds.
    pub full_value_ms: u32,
    /// Configuration that the caller side used.
    pub config: ConfigVersion,
}

/// What became of a request at a gate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardOutcome {
    /// The instance answered: status, headers and body are those of the response.
    Answered {
        /// Time that the instance took, in milliseconds.
        took_ms: u32,
    },
    /// The request did not run and never will.
    NotRun(NotRun),
    /// The request reached the instance, which said that it did not run it.
    Rejected(NotRun),
    /// The request may have run.
    Unknown,
}

/// Head of a gate's reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardReply {
    /// What became of the request.
    pub outcome: ForwardOutcome,
    /// Load of the instance when the reply was made.
    pub load: Load,
    /// Share of its latest requests that the instance failed, in thousandths.
    pub failures: u16,
    /// Configuration in force at the gate.
    pub config: ConfigVersion,
    /// The announcement of the gate's daemon, where the caller side has an older one.
    pub member: Option<Member>,
}

/// Datagram between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender, and some others that it knows.
    pub members: Vec<Member>,
    /// Configuration in force at the sender.
    pub config: ConfigVersion,
    /// Load of the sender's instance.
    pub load: Load,
    /// Share of its latest requests that the sender's instance failed, in thousandths.
    pub failures: u16,
    /// What the sender's instance did in a move, if there is one.
    pub evidence: Option<crate::evidence::Evidence>,
    /// Moves that the sender knows.
    pub moves: Vec<MoveRecord>,
    /// The sender's claim to lead its zone.
    pub claim: Option<Claim>,
    /// Whether the receiver is asked to answer.
    pub wants_reply: bool,
}

/// One record of the system's own topic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A daemon and its instance.
    Member(Member),
    /// How far a move is.
    Move(MoveRecord),
}
