//! Messages between the daemons of the mesh, and records of their topic in the store.
//!
//! Fields are encoded by position. A field that only some deployments use is the last one of its struct and is
//! left out where it is empty, so that it takes no bytes elsewhere.

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
use crate::customers::CustomerHead;
use crate::election::Claim;
use crate::election::Strength;
use crate::evacuation::EvacuationView;
use crate::instance::InstanceId;
use crate::instance::InstanceKey;
use crate::knowledge::KnowledgeNote;
use crate::knowledge::QuestionId;
use crate::moves::MoveRecord;
use crate::quarantine;
use crate::quarantine::CrashReport;
use crate::rate_limit::LimitReport;
use crate::rate_limit::RequestRate;
use crate::run_origins::RepeatShare;

/// Incarnation of a daemon and the number of its announcement; a later one is higher.
pub type Revision = (Incarnation, u64);

/// Identity of a request, whatever its id: the same for two requests of one caller for the same thing.
pub type RequestFingerprint = u64;

/// Announcement of one daemon and the instance beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the daemon.
    pub daemon: DaemonId,
    /// Start time of the daemon's process, by its own clock.
    pub incarnation: Incarnation,
    /// Increases with each change that the daemon announces.
    pub revision: u64,
    /// Address at which it accepts requests and datagrams from other daemons.
    pub address: SocketAddr,
    /// Availability zone of the daemon.
    pub zone: ZoneName,
    /// The instance, if it accepts new requests.
    pub instance: Option<InstanceInfo>,
    /// The instance's incarnation if it leaves; it must get no new requests, whatever else is known.
    pub leaving: Option<InstanceKey>,
    /// Whether the daemon accepts requests from others; false while it stops.
    pub is_open: bool,
    /// Capacity of the machine for leading its zone.
    pub strength: Strength,
    /// Bandwidth of the machine's network link, in Mbit/s.
    pub link_mbps: u32,
}

impl Member {
    /// Returns the revision of this announcement.
    #[must_use]
    pub fn full_revision(&self) -> Revision {
        (self.incarnation, self.revision)
    }
}

/// An instance that accepts new requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Identifier that the instance assigned to itself.
    pub id: InstanceId,
    /// Start time of its incarnation, by its own clock.
    pub born: UnixMillis,
    /// Service that it runs.
    pub service: ServiceName,
    /// Version of its software.
    pub version: VersionName,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Remaining time of its slow phase after the start, from the time of this announcement.
    #[serde(deserialize_with = "base::units::deserialize_capped")]
    pub cold_left: Duration,
}

impl InstanceInfo {
    /// Returns the identity of the instance's incarnation.
    #[must_use]
    pub fn key(&self) -> InstanceKey {
        InstanceKey {
            id: self.id.clone(),
            born: self.born,
        }
    }
}

/// Head of a request that a daemon forwards to the daemon beside the selected instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHead {
    /// Id of the request.
    pub request: SmolStr,
    /// Identity of the request, whatever its id.
    pub fingerprint: RequestFingerprint,
    /// Instance that the caller side selected.
    pub instance: InstanceId,
    /// Start time of the instance's incarnation.
    pub born: UnixMillis,
    /// Service that the route selected.
    pub service: ServiceName,
    /// Version that the caller side selected.
    pub version: VersionName,
    /// Route that the request matched.
    pub route: RouteName,
    /// Whether the request may be executed more than once.
    pub repeat: Idempotency,
    /// Priority under load; 0 is the most urgent.
    pub rank: Rank,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u32,
    /// Time left until the answer loses its full value, in milliseconds.
    pub full_value_ms: u32,
    /// Version of the configuration that the caller side used.
    pub config: ConfigVersion,
    /// Limit of the instance that the caller side knows.
    pub limit: Option<RequestRate>,
    /// Whether the caller side knows the request as one to run in isolation.
    pub is_isolated: bool,
    /// Expected share of repeats in such requests, whose calls count as repeats too.
    pub repeat_share: RepeatShare,
    /// Customer whose key the request carried.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerHead>,
}

impl ForwardHead {
    /// Returns the identity of the selected instance's incarnation.
    #[must_use]
    pub fn instance_key(&self) -> InstanceKey {
        InstanceKey {
            id: self.instance.clone(),
            born: self.born,
        }
    }
}

/// Outcome of a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardOutcome {
    /// The instance answered; the HTTP response carries its status, headers and body.
    Answered {
        /// Latency of the instance, in milliseconds.
        took_ms: u32,
    },
    /// The request did not run and will not run.
    NotRun(NotRun),
    /// The request reached the instance, which reported that it did not run it.
    Rejected(NotRun),
    /// The request may have run.
    Unknown,
    /// The body of the request may be sent now; only in replies to [`TransferHead`].
    Granted,
}

/// Asks for a grant to send a large body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferHead {
    /// Head of the request that follows the grant.
    pub head: ForwardHead,
    /// Size of the body, in bytes.
    pub bytes: u64,
}

/// Head of the reply to a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardReply {
    /// Outcome of the request.
    pub outcome: ForwardOutcome,
    /// State of the instance at the time of the reply.
    pub report: LoadReport,
    /// Version of the configuration in force at the replying daemon.
    pub config: ConfigVersion,
    /// Announcement of the replying daemon, if the caller side has an older one.
    pub member: Option<Member>,
    /// The end of the instance with which the answer was lost.
    pub crash: Option<CrashReport>,
}

/// Gossip datagram between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender first, then some other members that it knows.
    pub members: Vec<Member>,
    /// Version of the configuration in force at the sender.
    pub config: ConfigVersion,
    /// State of the sender's instance.
    pub report: LoadReport,
    /// Evidence of the sender's instance while a move is in progress.
    pub evidence: Option<crate::evidence::Evidence>,
    /// Records of the moves that the sender knows.
    pub moves: Vec<MoveRecord>,
    /// The sender's claim to lead its zone, if it is a leader.
    pub claim: Option<Claim>,
    /// Whether the receiver must reply at once, to show that it is reachable.
    pub wants_reply: bool,
    /// Whether the receiver must pass the sender's announcement on to its zone.
    pub wants_relay: bool,
    /// Whether the receiver must read the operator's records, since the store does not answer the sender.
    pub wants_read: bool,
    /// States of other instances, which the sender received from their daemons.
    pub loads: Vec<MemberLoad>,
    /// Announcements that the sender wrote to the store.
    pub stored: Vec<MemberRevision>,
    /// Recent ends of instances that the sender knows.
    pub crashes: Vec<CrashReport>,
    /// Quarantined requests that the sender knows.
    pub quarantined: Vec<quarantine::Record>,
    /// What only deployments with customers or emptied zones exchange.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub extension: Option<GossipExtension>,
}

/// Part of a gossip datagram that only some deployments use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipExtension {
    /// Zones to be emptied, as the sender knows them; `None` if none ever were.
    pub evacuations: Option<EvacuationView>,
    /// Age of the sender's knowledge of the operator's records.
    pub knowledge: Option<KnowledgeNote>,
}

/// State of an instance, as the daemon beside it reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Running and queued requests, and the slots.
    pub load: Load,
    /// Recent failure rate, in thousandths.
    pub failures_permille: u16,
    /// Latency relative to all instances on the same routes, in thousandths; 0 while unknown.
    pub latency_permille: u16,
    /// Used part of the machine's network link, in thousandths.
    pub link_permille: u16,
    /// State of the limit that the instance states.
    pub limit: LimitReport,
    /// How long work takes on the instance's machine at this moment relative to its usual time, in
    /// thousandths, if the instance states it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work_time_permille: Option<u16>,
}

/// State of the instance beside another daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLoad {
    /// Daemon that reported the state.
    pub daemon: DaemonId,
    /// The reported state.
    pub report: LoadReport,
    /// Latest question of that daemon about the operator's records.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub echo: Option<QuestionId>,
}

/// One announcement of a daemon, without its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRevision {
    /// Daemon that announced.
    pub daemon: DaemonId,
    /// Revision of the announcement.
    pub revision: Revision,
}

/// A record of the daemons' own topic in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Announcement of a daemon and its instance.
    Member(Member),
    /// Progress of a move.
    Move(MoveRecord),
    /// A quarantined request.
    Quarantined(quarantine::Record),
    /// An incarnation of an instance that is leaving.
    Departure(DepartureRecord),
}

/// A departure that the daemon beside the instance may acknowledge once the store holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureRecord {
    /// Id of the daemon.
    pub daemon: DaemonId,
    /// The incarnation; those of the same id that were born earlier have left too.
    pub instance: InstanceKey,
}
