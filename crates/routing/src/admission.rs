//! Admission control on the upstream side: a limit on concurrent calls and a short queue.
//!
//! Calls that the queue cannot serve before their deadline are refused on arrival, so that the
//! caller can try another instance while it still has time.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use ledger::TrafficClass;
use protocol::call::Load;
use protocol::call::NotRun;
use protocol::call::NotRunReason;

/// Limits of admission control.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Maximum number of calls that the upstream runs concurrently.
    pub slots: u32,
    /// Maximum number of queued calls.
    pub max_queued: usize,
    /// Service time that is assumed until the first call has completed.
    pub initial_service_time: Duration,
    /// Lower bound of the `retry_after` time of refused calls.
    pub min_retry_after: Duration,
}

/// Decides which calls run, wait in the queue, or are refused. `K` identifies a call.
#[derive(Debug, Clone)]
pub struct Admission<K> {
    cfg: AdmissionConfig,
    mode: Mode,
    running: u32,
    internal: VecDeque<QueuedCall<K>>,
    pages: VecDeque<QueuedCall<K>>,
    service_time: Duration,
}

#[derive(Debug, Clone)]
struct QueuedCall<K> {
    key: K,
    deadline: Instant,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Open,
    Draining,
}

/// What to do with a new call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionDecision<K> {
    /// Start the call now.
    Run,
    /// The call is queued.
    Queued,
    /// The call is queued in place of another call, which is to be refused.
    QueuedInPlaceOf(K, NotRun),
    /// Refuse the call.
    Refused(NotRun),
}

/// What to do with the queue after a call has ended or time has passed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueAction<K> {
    /// Start this call, then ask for the next action.
    Run(K),
    /// Refuse this call, which cannot be served in time any more, then ask for the next action.
    Refuse(K, NotRun),
    /// Nothing to do.
    Idle,
}

/// Smoothing of the mean service time: the latest call has a weight of one part in this many.
const SERVICE_TIME_SMOOTHING: u32 = 8;

impl<K: PartialEq> Admission<K> {
    /// Creates an admission control without calls.
    #[must_use]
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            mode: Mode::Open,
            running: 0,
            internal: VecDeque::new(),
            pages: VecDeque::new(),
            service_time: cfg.initial_service_time,
        }
    }

    /// Decides about a new call.
    pub fn offer(
        &mut self,
        key: K,
        class: TrafficClass,
        deadline: Instant,
        now: Instant,
    ) -> AdmissionDecision<K> {
        if self.mode == Mode::Draining {
            return AdmissionDecision::Refused(self.not_run(NotRunReason::Leaving));
        }
        if self.has_free_slot() && self.queued() == 0 {
            return self.run_if_in_time(deadline, now);
        }
        if now + self.expected_wait(class) + self.service_time > deadline {
            return AdmissionDecision::Refused(self.not_run(self.refusal_reason(deadline, now)));
        }
        if self.queued() < self.cfg.max_queued {
            self.queue(class).push_back(QueuedCall { key, deadline });
            return AdmissionDecision::Queued;
        }
        self.displace_page(key, class, deadline)
    }

    fn run_if_in_time(&mut self, deadline: Instant, now: Instant) -> AdmissionDecision<K> {
        if deadline <= now {
            return AdmissionDecision::Refused(self.not_run(NotRunReason::DeadlineTooShort));
        }
        self.running += 1;
        AdmissionDecision::Run
    }

    /// Admits an internal call to a full queue by displacing the page that arrived last.
    fn displace_page(
        &mut self,
        key: K,
        class: TrafficClass,
        deadline: Instant,
    ) -> AdmissionDecision<K> {
        let overloaded = self.not_run(NotRunReason::Overloaded);
        if class != TrafficClass::Internal {
            return AdmissionDecision::Refused(overloaded);
        }
        let Some(displaced) = self.pages.pop_back() else {
            return AdmissionDecision::Refused(overloaded);
        };
        self.internal.push_back(QueuedCall { key, deadline });
        AdmissionDecision::QueuedInPlaceOf(displaced.key, overloaded)
    }

    /// Frees the slot of a call that was served; `elapsed` enters the mean service time. To be
    /// followed by [`Self::next_action`].
    pub fn complete(&mut self, elapsed: Duration) {
        self.running = self.running.saturating_sub(1);
        let retained = self.service_time * (SERVICE_TIME_SMOOTHING - 1);
        self.service_time = (retained + elapsed) / SERVICE_TIME_SMOOTHING;
    }

    /// Frees the slot of a call that was not served, and so has no service time. To be followed by
    /// [`Self::next_action`].
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Removes a call from the queue because its caller no longer needs it.
    pub fn withdraw(&mut self, key: &K) -> Withdrawal {
        for queue in [&mut self.internal, &mut self.pages] {
            if let Some(index) = queue.iter().position(|call| call.key == *key) {
                queue.remove(index);
                return Withdrawal::Removed;
            }
        }
        Withdrawal::NotQueued
    }

    /// Returns the next action; to be called until it returns [`QueueAction::Idle`].
    pub fn next_action(&mut self, now: Instant) -> QueueAction<K> {
        if let Some(key) = self.pop_expired(now) {
            return QueueAction::Refuse(key, self.not_run(NotRunReason::DeadlineTooShort));
        }
        if !self.has_free_slot() {
            return QueueAction::Idle;
        }
        let next = self.internal.pop_front().or_else(|| self.pages.pop_front());
        match next {
            Some(call) => {
                self.running += 1;
                QueueAction::Run(call.key)
            }
            None => QueueAction::Idle,
        }
    }

    /// Earliest deadline of the queued calls.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        let all_queued = self.internal.iter().chain(&self.pages);
        all_queued.map(|call| call.deadline).min()
    }

    /// Refuses new calls from now on. Running and queued calls are still served.
    pub fn drain(&mut self) {
        self.mode = Mode::Draining;
    }

    /// Accepts new calls again.
    pub fn reopen(&mut self) {
        self.mode = Mode::Open;
    }

    /// Changes the number of slots. To be followed by [`Self::next_action`].
    pub fn set_slots(&mut self, slots: u32) {
        self.cfg.slots = slots;
    }

    /// Returns the load that is reported to callers with each reply.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            queued: u32::try_from(self.queued()).unwrap_or(u32::MAX),
            slots: self.cfg.slots,
        }
    }

    fn pop_expired(&mut self, now: Instant) -> Option<K> {
        for queue in [&mut self.internal, &mut self.pages] {
            if let Some(index) = queue.iter().position(|call| call.deadline <= now) {
                return queue.remove(index).map(|call| call.key);
            }
        }
        None
    }

    fn has_free_slot(&self) -> bool {
        self.running < self.cfg.slots
    }

    fn queued(&self) -> usize {
        self.internal.len() + self.pages.len()
    }

    fn queue(&mut self, class: TrafficClass) -> &mut VecDeque<QueuedCall<K>> {
        match class {
            TrafficClass::Internal => &mut self.internal,
            TrafficClass::Page => &mut self.pages,
        }
    }

    /// Expected queueing time of a call that is added now.
    fn expected_wait(&self, class: TrafficClass) -> Duration {
        let ahead = match class {
            TrafficClass::Internal => self.internal.len(),
            TrafficClass::Page => self.queued(),
        };
        self.time_to_serve(ahead + 1)
    }

    fn time_to_serve(&self, calls: usize) -> Duration {
        let calls = u32::try_from(calls).unwrap_or(u32::MAX);
        self.service_time.saturating_mul(calls) / self.cfg.slots.max(1)
    }

    /// Returns why a call is refused: because of its deadline if not even an idle upstream could
    /// meet it, else because of the load.
    fn refusal_reason(&self, deadline: Instant, now: Instant) -> NotRunReason {
        if now + self.service_time > deadline {
            NotRunReason::DeadlineTooShort
        } else {
            NotRunReason::Overloaded
        }
    }

    fn not_run(&self, reason: NotRunReason) -> NotRun {
        let retry_after = match reason {
            // Another instance may accept the call immediately.
            NotRunReason::Leaving => Duration::ZERO,
            _ => self.time_to_serve(self.queued() + 1),
        };
        NotRun {
            reason,
            retry_after: Some(retry_after.max(self.cfg.min_retry_after)),
        }
    }
}

/// Result of withdrawing a call from the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawal {
    /// The call was queued and is removed: it did not run.
    Removed,
    /// The call is not in the queue.
    NotQueued,
}
