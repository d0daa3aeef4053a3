//! Calls between daemons: the head of a call, its outcome, and the question what became of it.

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

/// Header that carries a [`CallHead`] as text.
pub const CALL_HEADER: &str = "x-bronzehead-call";

/// Header that carries an [`OutcomeHead`] as text.
pub const OUTCOME_HEADER: &str = "x-bronzehead-outcome";

/// Header between daemons: path and query of the client's request.
pub const TARGET_HEADER: &str = "x-bronzehead-target";

/// Header of callers and upstreams: the call's id.
pub const CALL_ID_HEADER: &str = "x-call-id";

/// Header of callers and upstreams: time left for the call, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Header of an upstream's refusal: present when the call did not begin.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Header of an upstream's answer: calls that run there now.
pub const LOAD_HEADER: &str = "x-load";

/// One attempt of one call. Each value is sent at most once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Daemon on the caller side.
    pub caller: DaemonId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Rises by one with each attempt of that incarnation.
    pub sequence: u64,
}

/// What the upstream side must know about a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead {
    /// Version of the wire.
    pub wire: u16,
    /// This attempt.
    pub attempt: AttemptId,
    /// Id that the client sees; the same for all attempts of a call.
    pub call: SmolStr,
    /// Service that is called.
    pub service: ServiceName,
    /// Version that the caller side chose.
    pub version: VersionName,
    /// Route that matched.
    pub route: RoutePrefix,
    /// Whether the call may run more than once.
    pub repeat: Idempotency,
    /// Its priority.
    pub class: TrafficClass,
    /// Time left when the attempt was sent.
    pub remaining: Duration,
    /// Offset of the configuration that the caller side used.
    pub offset: Offset,
}

/// What became of an attempt, as the upstream side says it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream answered; status, headers and body are those of the HTTP response.
    Answered,
    /// The attempt did not begin and never will.
    NotRun(NotRun),
    /// The attempt waits or runs; its end was not known when the time to wait was over.
    Pending,
    /// The attempt may have run; nobody can say.
    Unknown,
}

/// Why an attempt did not begin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRun {
    /// The reason.
    pub reason: NotRunReason,
    /// When another attempt makes sense.
    pub retry_after: Option<Duration>,
}

/// Why an attempt did not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The upstream is full and so is the queue.
    Overloaded,
    /// The time left would not have been enough.
    DeadlineTooShort,
    /// The instance is leaving.
    Leaving,
    /// The instance serves another service or version.
    WrongVersion,
    /// The upstream said that it did not begin.
    UpstreamRefused,
    /// No connection to the upstream or to its daemon could be opened.
    Unreachable,
    /// The caller side gave the attempt up before it began.
    GivenUp,
    /// The version is unproven and had its share of calls.
    ProbeBudgetSpent,
    /// No instance of the service is known.
    NoInstance,
    /// The retry budget is spent.
    RetryBudgetSpent,
    /// The daemon has started and has no configuration yet.
    NoConfiguration,
}

/// Head of the upstream side's reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeHead {
    /// The attempt that this replies to; the caller side checks it.
    pub attempt: AttemptId,
    /// What became of it.
    pub outcome: Outcome,
    /// Load of the instance when the reply was made.
    pub load: Load,
}

/// Load of one instance; rides on replies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait for a slot.
    pub queued: u32,
    /// Slots of the upstream.
    pub slots: u32,
}

/// Asks the upstream side what became of an attempt. If it has not begun, it never will.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResolveRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// Incarnation of the upstream-side daemon that the attempt was sent to.
    pub incarnation: Incarnation,
    /// How long the upstream side may wait for a running call.
    pub remaining: Duration,
}
