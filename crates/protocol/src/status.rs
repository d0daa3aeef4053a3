//! Status of a daemon for the command line, as JSON over HTTP.

use base::DaemonId;
use base::Epoch;
use base::Incarnation;
use base::Offset;
use base::TicketNumber;
use base::ZoneName;
use ledger::State;
use serde::Deserialize;
use serde::Serialize;

/// Path on the daemon's local address that returns a [`Status`].
pub const STATUS_PATH: &str = "/status";

/// Path on the daemon's local address that returns metrics in the Prometheus text format.
pub const METRICS_PATH: &str = "/metrics";

/// One daemon's view of itself and the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Daemon that reports its status.
    pub daemon: DaemonId,
    /// Incarnation of that daemon.
    pub incarnation: Incarnation,
    /// Availability zone of that daemon.
    pub zone: ZoneName,
    /// Offset of the first log record that the daemon has not applied.
    pub next: Offset,
    /// Number of the last accepted ticket.
    pub ticket: TicketNumber,
    /// Current epoch of the controller election.
    pub epoch: Epoch,
    /// Controller of that epoch, if one was elected.
    pub controller: Option<DaemonId>,
    /// Members that have neither left nor died, including this daemon.
    pub members: Vec<MemberStatus>,
    /// Full state folded from the log up to `next`.
    pub state: State,
}

/// One member in the daemon's membership view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member's daemon.
    pub daemon: DaemonId,
    /// Availability zone of the member.
    pub zone: ZoneName,
    /// Membership state; always `alive`, also for suspects.
    pub state: String,
    /// Service and version of the member's upstream, separated by a space, if one announced itself.
    pub upstream: Option<String>,
}
