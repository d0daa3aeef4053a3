//! What a daemon tells the command line about itself, as JSON over HTTP.

use base::DaemonId;
use base::Epoch;
use base::Incarnation;
use base::Offset;
use base::TicketNumber;
use base::ZoneName;
use ledger::State;
use serde::Deserialize;
use serde::Serialize;

/// Path of the daemon's local address that tells its status.
pub const STATUS_PATH: &str = "/status";

/// Path of the daemon's local address that gives metrics in text form.
pub const METRICS_PATH: &str = "/metrics";

/// One daemon's view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: ZoneName,
    /// Offset of the first record that it lacks.
    pub next: Offset,
    /// Last accepted ticket.
    pub ticket: TicketNumber,
    /// Epoch in force.
    pub epoch: Epoch,
    /// Controller of that epoch.
    pub controller: Option<DaemonId>,
    /// Members by state.
    pub members: Vec<MemberStatus>,
    /// Whole folded state.
    pub state: State,
}

/// One member as the daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member.
    pub daemon: DaemonId,
    /// Its zone.
    pub zone: ZoneName,
    /// Alive, suspect, left or dead.
    pub state: String,
    /// Service and version of the upstream beside it, if one announced itself.
    pub upstream: Option<String>,
}
