//! Events and actions of the call state machine.

use std::time::Duration;
use std::time::Instant;

use ledger::Idempotency;
use protocol::call::NotRun;
use protocol::call::NotRunReason;

/// Zero-based number of an attempt within its call.
pub type AttemptIndex = usize;

/// Parameters of a call, fixed when it arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallPlan {
    /// Whether the call may run more than once.
    pub repeat: Idempotency,
    /// When the final outcome is due; no attempt starts later.
    pub deadline: Instant,
    /// Maximum number of attempts, including the first one.
    pub max_attempts: usize,
    /// Retry delay reported to the client when no instance supplied one.
    pub retry_after: Duration,
}

/// Input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// No instance is available for the attempt.
    NoInstance(AttemptIndex, NotRunReason),
    /// No connection could be opened; nothing was sent.
    ConnectFailed(AttemptIndex),
    /// The complete reply of the instance arrived.
    Replied(AttemptIndex, Reply),
    /// The reply is too long to buffer; its first part has arrived and can be forwarded.
    Streaming(AttemptIndex),
    /// The connection broke or stopped responding after data was sent.
    ConnectionLost(AttemptIndex),
    /// The instance reported the outcome of the attempt.
    Resolved(AttemptIndex, Reply),
    /// The instance could not be queried for the outcome.
    ResolveFailed(AttemptIndex),
    /// The hedge delay has elapsed.
    HedgeDue,
    /// The deadline has passed.
    DeadlinePassed,
    /// The client disconnected.
    ClientDisconnected,
}

/// Outcome of an attempt as reported by its instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The attempt ran; the answer is at hand.
    Answered,
    /// The attempt did not begin and never will.
    NotRun(NotRun),
    /// The attempt may have run.
    Unknown,
}

/// Output of the state machine: what its driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Choose an instance and connect; call [`super::CallStateMachine::permit_send`] before the
    /// first byte.
    Send(AttemptIndex),
    /// Query the instance for the attempt's outcome, over a new connection.
    Resolve(AttemptIndex),
    /// Close the attempt's connections; its reply is no longer needed.
    Cancel(AttemptIndex),
    /// Forward the attempt's reply to the client as it arrives.
    Stream(AttemptIndex),
    /// End the call with this outcome.
    Finish(FinalOutcome),
}

/// Outcome that is reported to the client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The answer of this attempt.
    Answer(AttemptIndex),
    /// The call did not run and never will.
    NotRun(NotRun),
    /// The call may have run.
    Unknown,
    /// The answer broke off after a part of it was forwarded. The client's connection is closed,
    /// so that the client does not take the part for the complete answer.
    Abort,
    /// The client disconnected; the outcome is discarded.
    Discard,
}

/// Whether an attempt may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// The attempt may be sent, and counts as sent from now on.
    Allowed,
    /// The attempt was cancelled or the call has ended; nothing may be sent.
    Denied,
}
