//! What goes into the machine of a call and what comes out.

use std::time::Duration;
use std::time::Instant;

use ledger::Idempotency;
use protocol::call::NotRun;
use protocol::call::NotRunReason;

/// Number of an attempt within its call, from 0.
pub type AttemptIndex = usize;

/// What is known about a call when it comes in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallPlan {
    /// Whether it may run more than once.
    pub repeat: Idempotency,
    /// When its final answer is due.
    pub deadline: Instant,
    /// Attempts at most, the first one included.
    pub max_attempts: usize,
    /// Told to the client where no instance gave a better time to come back.
    pub retry_after: Duration,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// There is no instance to send the attempt to.
    NoInstance(AttemptIndex, NotRunReason),
    /// No connection could be opened; nothing was sent.
    ConnectFailed(AttemptIndex),
    /// The instance replied, whole.
    Replied(AttemptIndex, Reply),
    /// The reply is too long to hold; its first part is there and can be passed on.
    Streaming(AttemptIndex),
    /// The connection broke or went silent after something was sent.
    ConnectionLost(AttemptIndex),
    /// The instance said what became of the attempt.
    Resolved(AttemptIndex, Reply),
    /// The instance could not be asked.
    ResolveFailed(AttemptIndex),
    /// The time for a hedge has come.
    HedgeDue,
    /// The deadline has passed.
    DeadlinePassed,
    /// The client has gone.
    ClientDisconnected,
}

/// What an instance said about an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// It has the answer.
    Answered,
    /// It did not begin and never will.
    NotRun(NotRun),
    /// It may have run.
    Unknown,
}

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Choose an instance and connect; ask [`super::CallStateMachine::permit_send`] before the first byte.
    Send(AttemptIndex),
    /// Ask the instance, over a new connection, what became of the attempt.
    Resolve(AttemptIndex),
    /// Close the attempt's connections; its reply is no longer wanted.
    Cancel(AttemptIndex),
    /// Pass the attempt's reply on as it comes in.
    Stream(AttemptIndex),
    /// The call has ended.
    Finish(FinalOutcome),
}

/// What the client is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The answer of this attempt.
    Answer(AttemptIndex),
    /// The call did not run and never will.
    NotRun(NotRun),
    /// The call may have run.
    Unknown,
    /// The answer was cut after a part of it was passed on; cut the client's connection, so that
    /// the part is not taken for the whole.
    Abort,
    /// The client has gone; there is nobody to tell.
    Discard,
}

/// Whether an attempt may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// It counts as sent from now on.
    Allowed,
    /// The call has moved on; nothing may be sent.
    Denied,
}
