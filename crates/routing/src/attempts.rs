//! State machine of one call on the caller side: attempts, retries, hedges and the final outcome.
//!
//! An at-most-once call is retried only after proof that the previous attempt did not begin. The
//! driver of the state machine executes its actions in order and reports events back. Every call
//! ends with exactly one [`FinalOutcome`].

mod messages;

use std::time::Instant;

use ledger::Idempotency;
use protocol::call::NotRun;
use protocol::call::NotRunReason;

use crate::budget::BudgetDecision;
use crate::budget::RetryBudget;

pub use messages::Action;
pub use messages::AttemptIndex;
pub use messages::CallPlan;
pub use messages::Event;
pub use messages::FinalOutcome;
pub use messages::Permit;
pub use messages::Reply;

/// State machine of one call.
#[derive(Debug, Clone)]
pub struct CallStateMachine {
    plan: CallPlan,
    attempts: Vec<AttemptState>,
    stage: Stage,
    last_refusal: Option<NotRun>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    /// Nothing has been sent yet.
    Connecting,
    Sent,
    /// The connection was lost; the instance is queried for the outcome.
    Resolving,
    /// The attempt did not begin and never will.
    NotRun,
    /// The attempt may have run; no further reply is expected.
    Closed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Open,
    /// A part of this attempt's answer was forwarded to the client.
    Streaming(AttemptIndex),
    Ended,
}

impl CallStateMachine {
    /// Starts a call; returns the state machine and its first actions.
    #[must_use]
    pub fn start(plan: CallPlan, budget: &mut RetryBudget) -> (Self, Vec<Action>) {
        budget.record_call();
        let machine = Self {
            plan,
            attempts: vec![AttemptState::Connecting],
            stage: Stage::Open,
            last_refusal: None,
        };
        (machine, vec![Action::Send(0)])
    }

    /// Decides whether an attempt may be sent; called right before its first byte.
    pub fn permit_send(&mut self, attempt: AttemptIndex) -> Permit {
        match self.attempts.get_mut(attempt) {
            Some(state @ AttemptState::Connecting) if self.stage == Stage::Open => {
                *state = AttemptState::Sent;
                Permit::Allowed
            }
            _ => Permit::Denied,
        }
    }

    /// Whether the call has its final outcome.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.stage == Stage::Ended
    }

    /// Processes an event; returns the actions that follow from it.
    pub fn on_event(
        &mut self,
        event: Event,
        budget: &mut RetryBudget,
        now: Instant,
    ) -> Vec<Action> {
        if self.is_ended() {
            return Vec::new();
        }
        match event {
            Event::NoInstance(attempt, reason) => self.on_no_instance(attempt, reason),
            Event::ConnectFailed(attempt) => self.on_connect_failed(attempt, now),
            Event::Replied(attempt, reply) => {
                self.on_reply(attempt, reply, AttemptState::Sent, budget, now)
            }
            Event::Resolved(attempt, reply) => {
                self.on_reply(attempt, reply, AttemptState::Resolving, budget, now)
            }
            Event::Streaming(attempt) => self.on_streaming(attempt),
            Event::ConnectionLost(attempt) => self.on_connection_lost(attempt, budget, now),
            Event::ResolveFailed(attempt) => self.on_resolve_failed(attempt, budget, now),
            Event::HedgeDue => self.on_hedge_due(budget, now),
            Event::DeadlinePassed => self.on_deadline(),
            Event::ClientDisconnected => self.finish(FinalOutcome::Discard),
        }
    }

    fn on_no_instance(&mut self, attempt: AttemptIndex, reason: NotRunReason) -> Vec<Action> {
        if self.state(attempt) != Some(AttemptState::Connecting) {
            return Vec::new();
        }
        self.attempts[attempt] = AttemptState::NotRun;
        // An earlier refusal by an instance tells the client more than the lack of instances.
        let refusal = self.last_refusal.clone().unwrap_or(NotRun {
            reason,
            retry_after: None,
        });
        self.finish_unless_pending(refusal)
    }

    fn on_connect_failed(&mut self, attempt: AttemptIndex, now: Instant) -> Vec<Action> {
        if self.state(attempt) != Some(AttemptState::Connecting) {
            return Vec::new();
        }
        self.attempts[attempt] = AttemptState::NotRun;
        let refusal = NotRun {
            reason: NotRunReason::Unreachable,
            retry_after: None,
        };
        // Nothing reached an upstream, so the retry does not count against the budget.
        if self.has_attempts_left(now) && !self.has_pending_attempts() {
            self.last_refusal.get_or_insert(refusal);
            return self.send_next_attempt();
        }
        self.finish_unless_pending(refusal)
    }

    fn on_reply(
        &mut self,
        attempt: AttemptIndex,
        reply: Reply,
        expected: AttemptState,
        budget: &mut RetryBudget,
        now: Instant,
    ) -> Vec<Action> {
        if self.state(attempt) != Some(expected) {
            return Vec::new();
        }
        match reply {
            Reply::Answered => {
                self.attempts[attempt] = AttemptState::Closed;
                self.finish(FinalOutcome::Answer(attempt))
            }
            Reply::NotRun(not_run) => {
                self.attempts[attempt] = AttemptState::NotRun;
                self.on_not_run(not_run, budget, now)
            }
            Reply::Unknown => self.on_unknown(attempt, budget, now),
        }
    }

    fn on_not_run(
        &mut self,
        not_run: NotRun,
        budget: &mut RetryBudget,
        now: Instant,
    ) -> Vec<Action> {
        if self.has_pending_attempts() {
            self.last_refusal = Some(not_run);
            return Vec::new();
        }
        let is_final = not_run.reason == NotRunReason::DeadlineTooShort;
        if is_final || !self.has_attempts_left(now) {
            return self.finish_unless_pending(not_run);
        }
        match budget.try_spend(now) {
            BudgetDecision::Exhausted => self.finish_unless_pending(not_run),
            BudgetDecision::Granted => {
                self.last_refusal = Some(not_run);
                self.send_next_attempt()
            }
        }
    }

    fn on_unknown(
        &mut self,
        attempt: AttemptIndex,
        budget: &mut RetryBudget,
        now: Instant,
    ) -> Vec<Action> {
        self.attempts[attempt] = AttemptState::Closed;
        if let Stage::Streaming(_) = self.stage {
            return self.finish(FinalOutcome::Abort);
        }
        if self.plan.repeat == Idempotency::AtMostOnce {
            return self.finish(FinalOutcome::Unknown);
        }
        if self.has_pending_attempts() {
            return Vec::new();
        }
        if self.has_attempts_left(now) && budget.try_spend(now) == BudgetDecision::Granted {
            return self.send_next_attempt();
        }
        self.finish(FinalOutcome::Unknown)
    }

    fn on_streaming(&mut self, attempt: AttemptIndex) -> Vec<Action> {
        let expects_reply = matches!(
            self.state(attempt),
            Some(AttemptState::Sent | AttemptState::Resolving)
        );
        if !expects_reply || self.stage != Stage::Open {
            return Vec::new();
        }
        self.stage = Stage::Streaming(attempt);
        let mut actions = self.cancel_pending_except(Some(attempt));
        actions.push(Action::Stream(attempt));
        actions
    }

    fn on_connection_lost(
        &mut self,
        attempt: AttemptIndex,
        budget: &mut RetryBudget,
        now: Instant,
    ) -> Vec<Action> {
        if self.state(attempt) != Some(AttemptState::Sent) {
            return Vec::new();
        }
        match self.plan.repeat {
            Idempotency::AtMostOnce => {
                self.attempts[attempt] = AttemptState::Resolving;
                vec![Action::Resolve(attempt)]
            }
            Idempotency::Idempotent => self.on_unknown(attempt, budget, now),
        }
    }

    fn on_resolve_failed(
        &mut self,
        attempt: AttemptIndex,
        budget: &mut RetryBudget,
        now: Instant,
    ) -> Vec<Action> {
        if self.state(attempt) != Some(AttemptState::Resolving) {
            return Vec::new();
        }
        self.on_unknown(attempt, budget, now)
    }

    fn on_hedge_due(&mut self, budget: &mut RetryBudget, now: Instant) -> Vec<Action> {
        let is_slow = self.attempts.last() == Some(&AttemptState::Sent);
        let may_hedge = self.plan.repeat == Idempotency::Idempotent
            && self.stage == Stage::Open
            && is_slow
            && self.has_attempts_left(now);
        if may_hedge && budget.try_spend(now) == BudgetDecision::Granted {
            return self.send_next_attempt();
        }
        Vec::new()
    }

    fn on_deadline(&mut self) -> Vec<Action> {
        if let Stage::Streaming(_) = self.stage {
            return self.finish(FinalOutcome::Abort);
        }
        let mut actions = self.cancel_unsent();
        actions.extend(self.finish_without_answer(NotRun {
            reason: NotRunReason::DeadlineTooShort,
            retry_after: None,
        }));
        actions
    }

    /// Cancels the attempts that are still connecting; they are proven not to have run.
    fn cancel_unsent(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        for (attempt, state) in self.attempts.iter_mut().enumerate() {
            if *state == AttemptState::Connecting {
                *state = AttemptState::NotRun;
                actions.push(Action::Cancel(attempt));
            }
        }
        actions
    }

    /// Finishes the call without an answer unless an attempt is still pending.
    fn finish_unless_pending(&mut self, not_run: NotRun) -> Vec<Action> {
        if self.has_pending_attempts() {
            return Vec::new();
        }
        self.finish_without_answer(not_run)
    }

    /// Finishes the call as not run if no attempt can have run, else as unknown.
    fn finish_without_answer(&mut self, mut not_run: NotRun) -> Vec<Action> {
        let none_ran = self
            .attempts
            .iter()
            .all(|state| *state == AttemptState::NotRun);
        if !none_ran {
            return self.finish(FinalOutcome::Unknown);
        }
        not_run.retry_after.get_or_insert(self.plan.retry_after);
        self.finish(FinalOutcome::NotRun(not_run))
    }

    fn finish(&mut self, end: FinalOutcome) -> Vec<Action> {
        self.stage = Stage::Ended;
        let mut actions = self.cancel_pending_except(None);
        actions.push(Action::Finish(end));
        actions
    }

    fn cancel_pending_except(&mut self, kept: Option<AttemptIndex>) -> Vec<Action> {
        let mut actions = Vec::new();
        for (attempt, state) in self.attempts.iter_mut().enumerate() {
            if Some(attempt) != kept && state.is_pending() {
                *state = AttemptState::Closed;
                actions.push(Action::Cancel(attempt));
            }
        }
        actions
    }

    fn send_next_attempt(&mut self) -> Vec<Action> {
        self.attempts.push(AttemptState::Connecting);
        vec![Action::Send(self.attempts.len() - 1)]
    }

    fn has_attempts_left(&self, now: Instant) -> bool {
        self.stage == Stage::Open
            && self.attempts.len() < self.plan.max_attempts
            && now < self.plan.deadline
    }

    fn has_pending_attempts(&self) -> bool {
        self.attempts.iter().any(|state| state.is_pending())
    }

    fn state(&self, attempt: AttemptIndex) -> Option<AttemptState> {
        self.attempts.get(attempt).copied()
    }
}

impl AttemptState {
    fn is_pending(self) -> bool {
        matches!(self, Self::Connecting | Self::Sent | Self::Resolving)
    }
}
