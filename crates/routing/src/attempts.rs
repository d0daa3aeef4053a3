//! The caller side of one call: which attempts go out, and what the client is told.
//!
//! A call that may run at most once gets another attempt only on proof that the one before did
//! not begin. Whoever drives the machine carries out its actions in order and feeds back what
//! happened. Every call ends with exactly one [`FinalOutcome`].

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

/// The machine of one call.
#[derive(Debug, Clone)]
pub struct CallStateMachine {
    plan: CallPlan,
    attempts: Vec<AttemptState>,
    stage: Stage,
    refusal: Option<NotRun>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    /// Nothing was sent yet.
    Connecting,
    Sent,
    Resolving,
    /// It did not begin and never will.
    NotRun,
    /// It may have run; nothing more is awaited from it.
    Over,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Open,
    /// A part of this attempt's answer was passed on.
    Streaming(AttemptIndex),
    Ended,
}

impl CallStateMachine {
    /// Begins a call; the actions that follow are its first.
    #[must_use]
    pub fn start(plan: CallPlan, budget: &mut RetryBudget) -> (Self, Vec<Action>) {
        budget.record_call();
        let machine = Self {
            plan,
            attempts: vec![AttemptState::Connecting],
            stage: Stage::Open,
            refusal: None,
        };
        (machine, vec![Action::Send(0)])
    }

    /// Asks, right before the first byte of an attempt, whether it may be sent.
    pub fn permit_send(&mut self, attempt: AttemptIndex) -> Permit {
        match self.attempts.get_mut(attempt) {
            Some(state @ AttemptState::Connecting) if self.stage == Stage::Open => {
                *state = AttemptState::Sent;
                Permit::Allowed
            }
            _ => Permit::Denied,
        }
    }

    /// Whether the final answer was given.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.stage == Stage::Ended
    }

    /// Takes in what happened and says what to do.
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
            Event::ConnectionLost(attempt) => self.on_sight_lost(attempt, budget, now),
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
        // What an instance said before tells the client more than that none is left.
        let refusal = self.refusal.clone().unwrap_or(NotRun {
            reason,
            retry_after: None,
        });
        self.give_up(refusal)
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
        // Nothing reached an upstream, so nothing is taken from the budget.
        if self.has_attempts_left(now) && !self.is_awaiting() {
            self.refusal.get_or_insert(refusal);
            return self.send_another();
        }
        self.give_up(refusal)
    }

    fn on_reply(
        &mut self,
        attempt: AttemptIndex,
        reply: Reply,
        awaited: AttemptState,
        budget: &mut RetryBudget,
        now: Instant,
    ) -> Vec<Action> {
        if self.state(attempt) != Some(awaited) {
            return Vec::new();
        }
        match reply {
            Reply::Answered => {
                self.attempts[attempt] = AttemptState::Over;
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
        if self.is_awaiting() {
            self.refusal = Some(not_run);
            return Vec::new();
        }
        let is_final = not_run.reason == NotRunReason::DeadlineTooShort;
        if is_final || !self.has_attempts_left(now) {
            return self.give_up(not_run);
        }
        match budget.try_spend(now) {
            BudgetDecision::Exhausted => self.give_up(not_run),
            BudgetDecision::Granted => {
                self.refusal = Some(not_run);
                self.send_another()
            }
        }
    }

    fn on_unknown(
        &mut self,
        attempt: AttemptIndex,
        budget: &mut RetryBudget,
        now: Instant,
    ) -> Vec<Action> {
        self.attempts[attempt] = AttemptState::Over;
        if let Stage::Streaming(_) = self.stage {
            return self.finish(FinalOutcome::Abort);
        }
        if self.plan.repeat == Idempotency::AtMostOnce {
            return self.finish(FinalOutcome::Unknown);
        }
        if self.is_awaiting() {
            return Vec::new();
        }
        if self.has_attempts_left(now) && budget.try_spend(now) == BudgetDecision::Granted {
            return self.send_another();
        }
        self.finish(FinalOutcome::Unknown)
    }

    fn on_streaming(&mut self, attempt: AttemptIndex) -> Vec<Action> {
        let is_awaited = matches!(
            self.state(attempt),
            Some(AttemptState::Sent | AttemptState::Resolving)
        );
        if !is_awaited || self.stage != Stage::Open {
            return Vec::new();
        }
        self.stage = Stage::Streaming(attempt);
        let mut actions = self.cancel_all_but(Some(attempt));
        actions.push(Action::Stream(attempt));
        actions
    }

    fn on_sight_lost(
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
            return self.send_another();
        }
        Vec::new()
    }

    fn on_deadline(&mut self) -> Vec<Action> {
        if let Stage::Streaming(_) = self.stage {
            return self.finish(FinalOutcome::Abort);
        }
        let mut actions = self.cancel_unsent();
        actions.extend(self.conclude(NotRun {
            reason: NotRunReason::DeadlineTooShort,
            retry_after: None,
        }));
        actions
    }

    /// Attempts that are still connecting are never sent, so they are proven not to run.
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

    /// Ends the call unless an attempt is still awaited.
    fn give_up(&mut self, not_run: NotRun) -> Vec<Action> {
        if self.is_awaiting() {
            return Vec::new();
        }
        self.conclude(not_run)
    }

    /// Says "not run" only if that is true of every attempt.
    fn conclude(&mut self, mut not_run: NotRun) -> Vec<Action> {
        let is_proven = self
            .attempts
            .iter()
            .all(|state| *state == AttemptState::NotRun);
        if !is_proven {
            return self.finish(FinalOutcome::Unknown);
        }
        not_run.retry_after.get_or_insert(self.plan.retry_after);
        self.finish(FinalOutcome::NotRun(not_run))
    }

    fn finish(&mut self, end: FinalOutcome) -> Vec<Action> {
        self.stage = Stage::Ended;
        let mut actions = self.cancel_all_but(None);
        actions.push(Action::Finish(end));
        actions
    }

    fn cancel_all_but(&mut self, kept: Option<AttemptIndex>) -> Vec<Action> {
        let mut actions = Vec::new();
        for (attempt, state) in self.attempts.iter_mut().enumerate() {
            if Some(attempt) != kept && state.is_awaited() {
                *state = AttemptState::Over;
                actions.push(Action::Cancel(attempt));
            }
        }
        actions
    }

    fn send_another(&mut self) -> Vec<Action> {
        self.attempts.push(AttemptState::Connecting);
        vec![Action::Send(self.attempts.len() - 1)]
    }

    fn has_attempts_left(&self, now: Instant) -> bool {
        self.stage == Stage::Open
            && self.attempts.len() < self.plan.max_attempts
            && now < self.plan.deadline
    }

    fn is_awaiting(&self) -> bool {
        self.attempts.iter().any(|state| state.is_awaited())
    }

    fn state(&self, attempt: AttemptIndex) -> Option<AttemptState> {
        self.attempts.get(attempt).copied()
    }
}

impl AttemptState {
    fn is_awaited(self) -> bool {
        matches!(self, Self::Connecting | Self::Sent | Self::Resolving)
    }
}
