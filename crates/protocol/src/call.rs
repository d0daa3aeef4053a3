//! Calls between daemons: the head of a call, its outcome, and the request that finds out the
//! outcome when the reply did not arrive.

use std::time::Duration;

use base::DaemonId;
use base::Incarnation;
use base::Offset;
use base::RoutePrefix;
use base::ServiceName;
use base::VersionName;
use ledger::Idempotency;
use ledger::TrafficClass;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Request header between daemons: the encoded [`CallHead`].
pub const CALL_HEADER: &str = "x-bronzehead-call";

/// Request header between daemons: present if the caller side has another instance for a call that would
/// wait here.
pub const REDIRECTABLE_HEADER: &str = "x-bronzehead-redirectable";

/// Response header between daemons: the encoded [`OutcomeHead`].
pub const OUTCOME_HEADER: &str = "x-bronzehead-outcome";

/// Request header between daemons: path and query of the client's request.
pub const TARGET_HEADER: &str = "x-bronzehead-target";

/// Header of requests from clients and to upstreams, and of responses to clients: id of the call.
pub const CALL_ID_HEADER: &str = "x-call-id";

/// Header of requests from clients and to upstreams: remaining time of the call, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Response header of upstreams and daemons: present when the call did not begin. Daemons write
/// the name of the [`NotRunReason`] as its value.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Response header of upstreams: number of calls that run there now.
pub const LOAD_HEADER: &str = "x-load";

/// Identifies one attempt of one call. Each id is sent at most once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Daemon on the caller side.
    pub caller: DaemonId,
    /// Incarnation of that daemon.
    pub incarnation: Incarnation,
    /// Increases by one with each attempt of that incarnation.
    pub sequence: u64,
}

/// Metadata of a call that the caller side sends to the upstream side.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead {
    /// [`WIRE_VERSION`](crate::WIRE_VERSION) of the sender.
    pub wire: u16,
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// Id that the client sees; the same for all attempts of the call.
    pub call: SmolStr,
    /// Service that is called.
    pub service: ServiceName,
    /// Version of the service that the caller side selected.
    pub version: VersionName,
    /// Prefix of the route that matched the client's request.
    pub route: RoutePrefix,
    /// Whether the call may run more than once.
    pub repeat: Idempotency,
    /// Priority class of the call.
    pub class: TrafficClass,
    /// Remaining time of the call when the attempt was sent.
    #[serde(deserialize_with = "base::units::deserialize_capped")]
    pub remaining: Duration,
    /// Log offset of the configuration that the caller side used.
    pub offset: Offset,
}

/// Outcome of an attempt, as the upstream side reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream answered; status, headers and body are those of the HTTP response.
    Answered,
    /// The attempt did not begin and never will, so the call may be sent again.
    NotRun(NotRun),
    /// The attempt was still queued or running at the end of [`ResolveRequest::remaining`].
    Pending,
    /// The attempt may have run; the upstream side cannot tell.
    Unknown,
}

/// Refusal of an attempt that did not begin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRun {
    /// Why the attempt did not begin.
    pub reason: NotRunReason,
    /// Delay after which another attempt may succeed; `None` without an estimate.
    #[serde(deserialize_with = "base::units::deserialize_capped_option")]
    pub retry_after: Option<Duration>,
}

/// Why an attempt did not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The queue of the instance is full, or its load would delay the call beyond the deadline.
    Overloaded,
    /// The remaining time is over, or too short even for an idle upstream.
    DeadlineTooShort,
    /// The upstream is draining or its daemon is shutting down.
    Leaving,
    /// The instance serves another service or version.
    WrongVersion,
    /// The upstream answered with [`NOT_RUN_HEADER`].
    UpstreamRefused,
    /// No connection to the upstream or to its daemon could be opened.
    Unreachable,
    /// The caller side gave up the attempt before it began, or the upstream side has no room to
    /// record it.
    GivenUp,
    /// The version is not proven yet and its probe budget is spent.
    ProbeBudgetSpent,
    /// No instance is known to serve the service.
    NoInstance,
    /// The retry budget of the caller side is spent.
    RetryBudgetSpent,
    /// The daemon has started and has no configuration yet.
    NoConfiguration,
    /// The instance accepts fewer requests a second than it is sent.
    RateLimited,
    /// Instances have ended under this request, so it is not run.
    Quarantined,
    /// The availability zone of the instance is being emptied.
    Evacuated,
    /// The customer has used up its usage cap.
    CapSpent,
    /// The daemon cannot prove that the customer's key is still valid.
    KeyUnproven,
    /// The call would wait at this instance while another one has room.
    Redirected,
}

/// Metadata of the upstream side's reply to a call or a [`ResolveRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeHead {
    /// Attempt that this replies to; the caller side rejects a reply to any other.
    pub attempt: AttemptId,
    /// Outcome of that attempt.
    pub outcome: Outcome,
    /// Load of the instance when the reply was built.
    pub load: Load,
}

/// Load of one instance; sent with each reply.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of running calls.
    pub running: u32,
    /// Number of calls that wait for a slot.
    pub queued: u32,
    /// Number of calls that the upstream runs concurrently.
    pub slots: u32,
}

/// Asks the upstream side for the outcome of an attempt.
///
/// An attempt that the upstream side has not received yet is fenced: it never begins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResolveRequest {
    /// Attempt whose outcome is unknown to the caller side.
    pub attempt: AttemptId,
    /// Incarnation of the upstream-side daemon that the attempt was sent to. A daemon that
    /// restarted meanwhile has lost its record of the attempt and cannot tell whether it ran.
    pub incarnation: Incarnation,
    /// Longest time that the upstream side waits for the attempt to end before it replies.
    #[serde(deserialize_with = "base::units::deserialize_capped")]
    pub remaining: Duration,
}
