//! Slots of the upstream: attempts wait here for theirs.

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

/// Names a waiting attempt.
type Ticket = u64;

/// Service time that is assumed before the first call has ended.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(10);

/// Shortest time after which a refused call is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The slots and the queue before them.
pub(super) struct Slots {
    admission: RefCell<Admission<Ticket>>,
    waiting: RefCell<FastMap<Ticket, Rc<Waiter>>>,
    last: Cell<Ticket>,
}

#[derive(Default)]
struct Waiter {
    verdict: RefCell<Option<Verdict>>,
    told: Latch,
}

type Verdict = Result<(), NotRun>;

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
            self.go_on();
        }
    }

    /// Waits for a slot; the error says why there is none. A wait that is dropped is withdrawn.
    pub(super) async fn enter(
        self: &Rc<Self>,
        class: TrafficClass,
        deadline: Instant,
    ) -> Result<Slot, NotRun> {
        let ticket = self.last.get() + 1;
        self.last.set(ticket);
        let now = Instant::now();
        let offer = self
            .admission
            .borrow_mut()
            .offer(ticket, class, deadline, now);
        match offer {
            AdmissionDecision::Run => return Ok(Slot::new(self)),
            AdmissionDecision::Refused(not_run) => return Err(not_run),
            AdmissionDecision::Queued => {}
            AdmissionDecision::QueuedInPlaceOf(other, not_run) => self.tell(other, Err(not_run)),
        }
        let place = Place::new(self, ticket);
        monoio::select! {
            () = place.waiter.told.wait() => {}
            () = monoio::time::sleep(deadline.saturating_duration_since(now)) => self.go_on(),
        }
        place.take()
    }

    /// Lets in or refuses those that wait, as far as things stand.
    fn go_on(self: &Rc<Self>) {
        loop {
            let next = self.admission.borrow_mut().next_action(Instant::now());
            match next {
                QueueAction::Run(ticket) => self.tell(ticket, Ok(())),
                QueueAction::Refuse(ticket, not_run) => self.tell(ticket, Err(not_run)),
                QueueAction::Idle => return,
            }
        }
    }

    fn tell(&self, ticket: Ticket, verdict: Verdict) {
        if let Some(waiter) = self.waiting.borrow().get(&ticket) {
            waiter.verdict.replace(Some(verdict));
            waiter.told.set();
        }
    }
}

/// A place in the queue.
struct Place {
    slots: Rc<Slots>,
    ticket: Ticket,
    waiter: Rc<Waiter>,
}

impl Place {
    fn new(slots: &Rc<Slots>, ticket: Ticket) -> Self {
        let waiter = Rc::<Waiter>::default();
        slots
            .waiting
            .borrow_mut()
            .insert(ticket, Rc::clone(&waiter));
        Self {
            slots: Rc::clone(slots),
            ticket,
            waiter,
        }
    }

    fn take(self) -> Result<Slot, NotRun> {
        match self.waiter.verdict.take() {
            Some(Ok(())) => Ok(Slot::new(&self.slots)),
            Some(Err(not_run)) => Err(not_run),
            None => Err(super::wire::not_run(
                protocol::call::NotRunReason::DeadlineTooShort,
            )),
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.slots.waiting.borrow_mut().remove(&self.ticket);
        let withdrawal = self.slots.admission.borrow_mut().withdraw(&self.ticket);
        let has_slot = matches!(self.waiter.verdict.take(), Some(Ok(())));
        if withdrawal == Withdrawal::NotQueued && has_slot {
            drop(Slot::new(&self.slots));
        }
    }
}

/// A slot that is taken until it is dropped.
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

    /// Gives the slot back after a call that was served in the given time.
    pub(super) fn close(self, took: Duration) {
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
        self.slots.go_on();
    }
}
