//! Admission at the upstream side: as many calls as slots, and a short queue that knows deadlines.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use ledger::TrafficClass;
use protocol::call::Load;
use protocol::call::NotRun;
use protocol::call::NotRunReason;

/// Bounds of admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Calls that the upstream runs at once.
    pub slots: u32,
    /// Calls that may wait.
    pub max_queued: usize,
    /// Service time that is assumed before the first call has ended.
    pub initial_service_time: Duration,
    /// Shortest time after which a refused call is told to come back.
    pub min_retry_after: Duration,
}

/// Decides which calls run, wait, or are refused. `K` names a call.
#[derive(Debug, Clone)]
pub struct Admission<K> {
    cfg: AdmissionConfig,
    mode: Mode,
    running: u32,
    internal: VecDeque<Waiting<K>>,
    pages: VecDeque<Waiting<K>>,
    service_time: Duration,
}

#[derive(Debug, Clone)]
struct Waiting<K> {
    key: K,
    deadline: Instant,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Open,
    Draining,
}

/// What to do with a call that came in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionDecision<K> {
    /// Start it now.
    Run,
    /// It waits.
    Queued,
    /// It waits in place of another call, which is refused.
    QueuedInPlaceOf(K, NotRun),
    /// It is refused.
    Refused(NotRun),
}

/// What to do after a call has ended or time has passed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueAction<K> {
    /// Start this call, then ask again.
    Run(K),
    /// Refuse this call, whose time is too short now, then ask again.
    Refuse(K, NotRun),
    /// Nothing to do.
    Idle,
}

/// Weight of the latest call in the mean service time, as one part in so many.
const SERVICE_TIME_PARTS: u32 = 8;

impl<K: PartialEq> Admission<K> {
    /// Opens admission with no call.
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

    /// Offers a call that came in.
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
            return self.offer_slot(deadline, now);
        }
        if now + self.wait_of(class) + self.service_time > deadline {
            return AdmissionDecision::Refused(self.not_run(self.short_reason(deadline, now)));
        }
        if self.queued() < self.cfg.max_queued {
            self.queue(class).push_back(Waiting { key, deadline });
            return AdmissionDecision::Queued;
        }
        self.displace(key, class, deadline)
    }

    fn offer_slot(&mut self, deadline: Instant, now: Instant) -> AdmissionDecision<K> {
        if deadline <= now {
            return AdmissionDecision::Refused(self.not_run(NotRunReason::DeadlineTooShort));
        }
        self.running += 1;
        AdmissionDecision::Run
    }

    /// A full queue makes room for an internal check by giving up the page that came last.
    fn displace(&mut self, key: K, class: TrafficClass, deadline: Instant) -> AdmissionDecision<K> {
        let overloaded = self.not_run(NotRunReason::Overloaded);
        if class != TrafficClass::Internal {
            return AdmissionDecision::Refused(overloaded);
        }
        let Some(page) = self.pages.pop_back() else {
            return AdmissionDecision::Refused(overloaded);
        };
        self.internal.push_back(Waiting { key, deadline });
        AdmissionDecision::QueuedInPlaceOf(page.key, overloaded)
    }

    /// Notes that a running call ended after the given time. Then ask [`Self::next_action`].
    pub fn complete(&mut self, took: Duration) {
        self.running = self.running.saturating_sub(1);
        let rest = self.service_time * (SERVICE_TIME_PARTS - 1);
        self.service_time = (rest + took) / SERVICE_TIME_PARTS;
    }

    /// Notes that a running call ended without having been served, so that it tells nothing about
    /// the service time. Then ask [`Self::next_action`].
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Takes a waiting call out; its caller no longer wants it.
    pub fn withdraw(&mut self, key: &K) -> Withdrawal {
        for queue in [&mut self.internal, &mut self.pages] {
            if let Some(index) = queue.iter().position(|waiting| waiting.key == *key) {
                queue.remove(index);
                return Withdrawal::Removed;
            }
        }
        Withdrawal::NotQueued
    }

    /// Says what to do next; ask until the answer is [`QueueAction::Idle`].
    pub fn next_action(&mut self, now: Instant) -> QueueAction<K> {
        if let Some(key) = self.take_expired(now) {
            return QueueAction::Refuse(key, self.not_run(NotRunReason::DeadlineTooShort));
        }
        if !self.has_free_slot() {
            return QueueAction::Idle;
        }
        let waiting = self.internal.pop_front().or_else(|| self.pages.pop_front());
        match waiting {
            Some(waiting) => {
                self.running += 1;
                QueueAction::Run(waiting.key)
            }
            None => QueueAction::Idle,
        }
    }

    /// When a waiting call passes its deadline first.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        let waiting = self.internal.iter().chain(&self.pages);
        waiting.map(|waiting| waiting.deadline).min()
    }

    /// Refuses new calls from now on. Calls that run or wait are served.
    pub fn drain(&mut self) {
        self.mode = Mode::Draining;
    }

    /// Takes new calls again.
    pub fn reopen(&mut self) {
        self.mode = Mode::Open;
    }

    /// Changes the number of slots. Then ask [`Self::next_action`].
    pub fn set_slots(&mut self, slots: u32) {
        self.cfg.slots = slots;
    }

    /// Load to report with replies.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            queued: u32::try_from(self.queued()).unwrap_or(u32::MAX),
            slots: self.cfg.slots,
        }
    }

    fn take_expired(&mut self, now: Instant) -> Option<K> {
        for queue in [&mut self.internal, &mut self.pages] {
            if let Some(index) = queue.iter().position(|waiting| waiting.deadline <= now) {
                return queue.remove(index).map(|waiting| waiting.key);
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

    fn queue(&mut self, class: TrafficClass) -> &mut VecDeque<Waiting<K>> {
        match class {
            TrafficClass::Internal => &mut self.internal,
            TrafficClass::Page => &mut self.pages,
        }
    }

    /// Expected wait of a call that joins its queue now.
    fn wait_of(&self, class: TrafficClass) -> Duration {
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

    /// A call that even an idle upstream could not serve in time is not the load's fault.
    fn short_reason(&self, deadline: Instant, now: Instant) -> NotRunReason {
        if now + self.service_time > deadline {
            NotRunReason::DeadlineTooShort
        } else {
            NotRunReason::Overloaded
        }
    }

    fn not_run(&self, reason: NotRunReason) -> NotRun {
        let retry_after = match reason {
            // Another instance may take it at once.
            NotRunReason::Leaving => Duration::ZERO,
            _ => self.time_to_serve(self.queued() + 1),
        };
        NotRun {
            reason,
            retry_after: Some(retry_after.max(self.cfg.min_retry_after)),
        }
    }
}

/// What became of a withdrawal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawal {
    /// The call waited and is gone: it did not run.
    Removed,
    /// The call does not wait here.
    NotQueued,
}
