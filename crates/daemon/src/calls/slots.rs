//! Concurrency slots of the upstream and the queue of attempts that wait for one.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::FastMap;
use http_edge::Latch;
use ledger::TrafficClass;
use protocol::call::Load;
use protocol::call::NotRun;
use routing::Admission;
use routing::admission::AdmissionConfig;
use routing::admission::AdmissionDecision;
use routing::admission::QueueAction;
use routing::admission::Withdrawal;

/// Identifies an attempt in the queue.
type QueueId = u64;

/// Service time that is assumed until the first call has ended.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(10);

/// Shortest retry-after time of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The slots and their queue.
pub(super) struct Slots {
    admission: RefCell<Admission<QueueId>>,
    waiting: RefCell<FastMap<QueueId, Rc<Waiter>>>,
    last: Cell<QueueId>,
}

#[derive(Default)]
struct Waiter {
    result: RefCell<Option<AdmissionResult>>,
    decided: Latch,
}

type AdmissionResult = Result<(), NotRun>;

impl Slots {
    pub(super) fn new(max_queued: u32) -> Self {
        let cfg = AdmissionConfig {
            slots: 0,
            max_queued: usize::try_from(max_queued).unwrap_or(usize::MAX),
            initial_service_time: INITIAL_SERVICE_TIME,
            min_retry_after: MIN_RETRY_AFTER,
        };
        Self {
            admission: RefCell::new(Admission::new(cfg)),
            waiting: RefCell::default(),
            last: Cell::new(0),
        }
    }

    pub(super) fn load(&self) -> Load {
        self.admission.borrow().load()
    }

    pub(super) fn set_slots(self: &Rc<Self>, slots: u32) {
        if self.load().slots != slots {
            self.admission.borrow_mut().set_slots(slots);
            self.process_queue();
        }
    }

    /// Waits for a slot until `deadline`; the error is the refusal. Dropping the future removes the
    /// attempt from the queue.
    pub(super) async fn acquire(
        self: &Rc<Self>,
        class: TrafficClass,
        deadline: Instant,
    ) -> Result<Slot, NotRun> {
        let queue_id = self.last.get() + 1;
        self.last.set(queue_id);
        let now = Instant::now();
        let decision = self
            .admission
            .borrow_mut()
            .offer(queue_id, class, deadline, now);
        match decision {
            AdmissionDecision::Run => return Ok(Slot::new(self)),
            AdmissionDecision::Refused(not_run) => return Err(not_run),
            AdmissionDecision::Queued => {}
            AdmissionDecision::QueuedInPlaceOf(other, not_run) => self.decide(other, Err(not_run)),
        }
        let entry = QueueEntry::new(self, queue_id);
        monoio::select! {
            () = entry.waiter.decided.wait() => {}
            () = monoio::time::sleep(deadline.saturating_duration_since(now)) => self.process_queue(),
        }
        entry.take()
    }

    /// Admits or refuses queued attempts until admission has no further action.
    fn process_queue(self: &Rc<Self>) {
        loop {
            let next = self.admission.borrow_mut().next_action(Instant::now());
            match next {
                QueueAction::Run(queue_id) => self.decide(queue_id, Ok(())),
                QueueAction::Refuse(queue_id, not_run) => self.decide(queue_id, Err(not_run)),
                QueueAction::Idle => return,
            }
        }
    }

    fn decide(&self, queue_id: QueueId, result: AdmissionResult) {
        if let Some(waiter) = self.waiting.borrow().get(&queue_id) {
            waiter.result.replace(Some(result));
            waiter.decided.set();
        }
    }
}

/// An entry in the queue. Dropping it removes the attempt from the queue and releases a slot that
/// was granted but not taken.
struct QueueEntry {
    slots: Rc<Slots>,
    queue_id: QueueId,
    waiter: Rc<Waiter>,
}

impl QueueEntry {
    fn new(slots: &Rc<Slots>, queue_id: QueueId) -> Self {
        let waiter = Rc::<Waiter>::default();
        slots
            .waiting
            .borrow_mut()
            .insert(queue_id, Rc::clone(&waiter));
        Self {
            slots: Rc::clone(slots),
            queue_id,
            waiter,
        }
    }

    fn take(self) -> Result<Slot, NotRun> {
        match self.waiter.result.take() {
            Some(Ok(())) => Ok(Slot::new(&self.slots)),
            Some(Err(not_run)) => Err(not_run),
            None => Err(super::wire::not_run(
                protocol::call::NotRunReason::DeadlineTooShort,
            )),
        }
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.slots.waiting.borrow_mut().remove(&self.queue_id);
        let withdrawal = self.slots.admission.borrow_mut().withdraw(&self.queue_id);
        let has_slot = matches!(self.waiter.result.take(), Some(Ok(())));
        if withdrawal == Withdrawal::NotQueued && has_slot {
            drop(Slot::new(&self.slots));
        }
    }
}

/// An occupied slot; dropping it releases the slot.
pub(super) struct Slot {
    slots: Rc<Slots>,
    served: Cell<Option<Duration>>,
}

impl Slot {
    fn new(slots: &Rc<Slots>) -> Self {
        Self {
            slots: Rc::clone(slots),
            served: Cell::new(None),
        }
    }

    /// Releases the slot after a call, whose service time feeds the estimate of waiting times.
    pub(super) fn complete_call(self, took: Duration) {
        self.served.set(Some(took));
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut admission = self.slots.admission.borrow_mut();
        match self.served.get() {
            Some(took) => admission.complete(took),
            None => admission.release(),
        }
        drop(admission);
        self.slots.process_queue();
    }
}
