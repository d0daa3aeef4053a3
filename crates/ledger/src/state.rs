//! The replicated state that every daemon holds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use base::DaemonId;
use base::Epoch;
use base::Offset;
use base::RecordId;
use base::RoutePrefix;
use base::ServiceName;
use base::Share;
use base::TicketNumber;
use base::UnixMillis;
use base::VersionName;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ticket::RolloutPolicy;
use crate::ticket::Route;

/// Result of all records before the offset `next`.
///
/// Invariants: the service of every route exists; every service has a stable version; the share
/// of a rollout never decreases while it is in progress; `ticket` and `epoch` never decrease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Offset of the next record to apply.
    pub next: Offset,
    /// Number of the last accepted ticket; 0 before the first.
    pub ticket: TicketNumber,
    /// Current epoch; 0 before the first claim.
    pub epoch: Epoch,
    /// Daemon that claimed the current epoch.
    pub controller: Option<DaemonId>,
    /// Configured services.
    pub services: BTreeMap<ServiceName, Service>,
    /// Routes by path prefix.
    pub routes: BTreeMap<RoutePrefix, Route>,
    /// Versions that were rolled back; a ticket that requests one of them is rejected.
    #[serde(rename = "bad")]
    pub rolled_back: BTreeSet<(ServiceName, VersionName)>,
    /// Verdicts on the latest tickets, oldest first; at most
    /// [`MAX_VERDICTS`](crate::fold::MAX_VERDICTS).
    pub verdicts: VecDeque<TicketVerdict>,
    /// Latest ended rollouts, oldest first; at most
    /// [`MAX_ROLLOUT_ENDS`](crate::fold::MAX_ROLLOUT_ENDS).
    pub ends: VecDeque<RolloutEnd>,
    /// Ids of the latest records, oldest first, to detect duplicates; at most
    /// [`MAX_RECENT_IDS`](crate::fold::MAX_RECENT_IDS).
    #[serde(rename = "recent")]
    pub recent_ids: VecDeque<RecordId>,
}

/// A service, its versions and its rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Version that serves all calls that no rollout has shifted.
    pub stable: VersionName,
    /// Stable version before the last completed rollout; a later rollback reverts to it.
    pub previous: Option<VersionName>,
    /// Last ticket that set the service.
    pub ticket: TicketNumber,
    /// Tickets that requested the stable version; contains no ticket where they are unknown.
    #[serde(default, rename = "stable_asked")]
    pub stable_tickets: TicketRange,
    /// Policy of its rollouts.
    pub policy: RolloutPolicy,
    /// Rollout in progress.
    #[serde(rename = "moving")]
    pub rollout: Option<Rollout>,
}

/// A gradual shift of the calls of one service to a new version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Last ticket that requested the rollout.
    pub ticket: TicketNumber,
    /// First of the consecutive tickets that requested this version; `ticket` is the last.
    #[serde(default)]
    pub first_ticket: TicketNumber,
    /// Target version.
    pub to: VersionName,
    /// Deadline for the full share, as Unix time; `None` for as soon as is safe.
    pub finish_by: Option<UnixMillis>,
    /// Share of calls that the target version receives, in thousandths.
    pub share: Share,
    /// Wall clock of the record with the first ticket.
    pub started: UnixMillis,
    /// Whether the share still rises or the full share is being watched.
    pub phase: Phase,
}

/// Consecutive tickets that requested the same version of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketRange {
    /// First number, inclusive; 0 where unknown.
    pub first: TicketNumber,
    /// Last number, inclusive; 0 where unknown.
    pub last: TicketNumber,
}

impl TicketRange {
    /// Returns whether the ticket lies in the range.
    #[must_use]
    pub fn contains(self, ticket: TicketNumber) -> bool {
        self.first <= ticket && ticket <= self.last
    }
}

/// Progress of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The target version has less than the full share.
    Ramping,
    /// The target version has had the full share since this time, and its watch period runs.
    Watching(UnixMillis),
}

/// Acceptance or rejection of a published ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketVerdict {
    /// Id of the record that holds the ticket.
    pub id: RecordId,
    /// Number of the ticket.
    pub ticket: TicketNumber,
    /// Offset of the record in the log.
    pub offset: Offset,
    /// `None` if the ticket was accepted.
    pub rejected: Option<RejectReason>,
}

/// Why a ticket was rejected as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// The number is not above that of the last accepted ticket.
    NumberTaken {
        /// Number of the last accepted ticket.
        last: TicketNumber,
    },
    /// A route would refer to a service that would not exist after the ticket.
    RouteWithoutService {
        /// Path prefix of the route.
        route: RoutePrefix,
        /// Service that would not exist.
        service: ServiceName,
    },
    /// The ticket removes a service that does not exist.
    UnknownService(ServiceName),
    /// The ticket removes a route that does not exist.
    UnknownRoute(RoutePrefix),
    /// The ticket requests a version that was rolled back before.
    #[serde(rename = "VersionTakenBack")]
    VersionRolledBack {
        /// Service that the ticket sets.
        service: ServiceName,
        /// Version that was rolled back.
        version: VersionName,
    },
    /// The ticket both sets and removes a service or route; holds its key.
    Contradiction(SmolStr),
    /// A value is out of range; holds the message with its key.
    OutOfRange(SmolStr),
}

/// How one rollout ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutEnd {
    /// Last ticket that requested the rollout.
    pub ticket: TicketNumber,
    /// Service that was rolled out.
    pub service: ServiceName,
    /// Stable version that the rollout replaced or was to replace.
    pub from: VersionName,
    /// Target version.
    pub to: VersionName,
    /// Result of the rollout.
    pub end: RolloutOutcome,
    /// Wall clock of the record that ended the rollout.
    pub at: UnixMillis,
}

/// Result of a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutOutcome {
    /// The target version is stable and had the full share by the deadline, if one was set.
    Done,
    /// The target version is stable but had the full share after the deadline.
    DoneLate {
        /// Delay after the deadline, in milliseconds.
        by_ms: u64,
    },
    /// The target version receives no calls and cannot be requested again.
    #[serde(rename = "TakenBack")]
    RolledBack {
        /// Human-readable cause.
        reason: SmolStr,
    },
    /// A later ticket replaced the rollout.
    Superseded {
        /// Number of the later ticket.
        by: TicketNumber,
    },
}
