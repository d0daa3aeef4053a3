//! The state that all daemons share.

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

/// Everything that the records up to `next` decided.
///
/// Invariants: every route's service exists; every service has a stable version; shares of a
/// move never fall while it lasts; `ticket` and `epoch` never fall.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Offset of the first record that is not folded yet.
    pub next: Offset,
    /// Number of the last accepted ticket; 0 before the first.
    pub ticket: TicketNumber,
    /// Epoch in force; 0 before the first claim.
    pub epoch: Epoch,
    /// Holder of the epoch in force.
    pub controller: Option<DaemonId>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Routes by path prefix.
    pub routes: BTreeMap<RoutePrefix, Route>,
    /// Versions that were taken back; no later ticket may ask for them again.
    #[serde(rename = "bad")]
    pub rolled_back: BTreeSet<(ServiceName, VersionName)>,
    /// Verdicts on the latest tickets, oldest first; bounded.
    pub verdicts: VecDeque<TicketVerdict>,
    /// Ends of the latest moves, oldest first; bounded.
    pub ends: VecDeque<RolloutEnd>,
    /// Ids of the latest records, oldest first; bounded.
    #[serde(rename = "recent")]
    pub recent_ids: VecDeque<RecordId>,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Version that serves what no move has shifted.
    pub stable: VersionName,
    /// Version that served before the last finished move; a late take-back returns to it.
    pub previous: Option<VersionName>,
    /// Ticket that last touched the service.
    pub ticket: TicketNumber,
    /// Tickets that asked for the stable version; no number lies in it where nothing is known.
    #[serde(default, rename = "stable_asked")]
    pub stable_tickets: TicketRange,
    /// How its moves are made.
    pub policy: RolloutPolicy,
    /// The move under way.
    #[serde(rename = "moving")]
    pub rollout: Option<Rollout>,
}

/// A move of one service to a new version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Ticket that asked for it.
    pub ticket: TicketNumber,
    /// First of the tickets in a row that asked for the same version; `ticket` is the last.
    #[serde(default)]
    pub first_ticket: TicketNumber,
    /// New version.
    pub to: VersionName,
    /// When the full share should be reached.
    pub finish_by: Option<UnixMillis>,
    /// Share of the new version, in thousandths.
    pub share: Share,
    /// Wall clock of the ticket's record.
    pub started: UnixMillis,
    /// How far the move has come.
    pub phase: Phase,
}

/// Tickets in a row that asked for one version of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketRange {
    /// The first of them; 0 where none is known.
    pub first: TicketNumber,
    /// The last of them; 0 where none is known.
    pub last: TicketNumber,
}

impl TicketRange {
    /// Whether the ticket is one of them.
    #[must_use]
    pub fn contains(self, ticket: TicketNumber) -> bool {
        self.first <= ticket && ticket <= self.last
    }
}

/// How far a move has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The new version has less than the full share.
    Ramping,
    /// The new version has had the full share since this time and is watched.
    Watching(UnixMillis),
}

/// What became of one published ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketVerdict {
    /// Id of the record that carried the ticket.
    pub id: RecordId,
    /// Its number.
    pub ticket: TicketNumber,
    /// Its place in the log.
    pub offset: Offset,
    /// `None` when it was accepted.
    pub rejected: Option<RejectReason>,
}

/// Why a ticket was rejected as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// A ticket with this number or a higher one was accepted before.
    NumberTaken {
        /// Last accepted number.
        last: TicketNumber,
    },
    /// A route would point at a service that would not exist.
    RouteWithoutService {
        /// The route.
        route: RoutePrefix,
        /// The missing service.
        service: ServiceName,
    },
    /// The ticket removes a service that does not exist.
    UnknownService(ServiceName),
    /// The ticket removes a route that does not exist.
    UnknownRoute(RoutePrefix),
    /// The ticket asks for a version that was taken back.
    #[serde(rename = "VersionTakenBack")]
    VersionRolledBack {
        /// The service.
        service: ServiceName,
        /// The version.
        version: VersionName,
    },
    /// The ticket both sets and removes the same thing.
    Contradiction(SmolStr),
    /// A value lies outside its range.
    OutOfRange(SmolStr),
}

/// The end of one move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutEnd {
    /// Ticket that asked for the move.
    pub ticket: TicketNumber,
    /// Service that moved.
    pub service: ServiceName,
    /// Version before.
    pub from: VersionName,
    /// Version that the ticket asked for.
    pub to: VersionName,
    /// How it ended.
    pub end: RolloutOutcome,
    /// Wall clock of the record that ended it.
    pub at: UnixMillis,
}

/// How a move ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutOutcome {
    /// The new version serves everything, and did so by the ticket's time.
    Done,
    /// The new version serves everything, but later than the ticket asked.
    DoneLate {
        /// Time past the ticket's, in milliseconds.
        by_ms: u64,
    },
    /// The new version gets no calls any more.
    #[serde(rename = "TakenBack")]
    RolledBack {
        /// Why, for people.
        reason: SmolStr,
    },
    /// A later ticket replaced the move.
    Superseded {
        /// The later ticket.
        by: TicketNumber,
    },
}
