//! The part of a budget that one connection takes.

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use crate::budget::MemoryBudget;
use crate::budget::Shared;
use crate::budget::ledger::Bytes;
use crate::budget::ledger::Size;
use crate::budget::ledger::Step;
use crate::latch::Latch;

/// Time in which a connection that has to end may still answer.
const CLOSE_TIME: Duration = Duration::from_millis(20);

/// Why a connection has to give way to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Eviction {
    /// There is too little memory.
    Memory,
    /// There are too many connections.
    Connections,
}

/// There is no memory for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NoRoom;

/// What the budget knows of a connection.
pub(super) struct AccountState {
    /// Whether the connection is closed for others only after those without this.
    is_kept: bool,
    /// Bytes that the incomplete request holds.
    held: Cell<Bytes>,
    /// Bytes of the answer that is being written.
    answer: Cell<usize>,
    /// Whether a request of the connection is being handled.
    is_running: Cell<bool>,
    progressed_at: Cell<Instant>,
    eviction: Cell<Option<Eviction>>,
    evicted: Latch,
    /// Set when the connection has to end at once.
    closing: Latch,
}

impl AccountState {
    pub(super) fn new(is_kept: bool, now: Instant) -> Self {
        Self {
            is_kept,
            held: Cell::default(),
            answer: Cell::default(),
            is_running: Cell::new(false),
            progressed_at: Cell::new(now),
            eviction: Cell::new(None),
            evicted: Latch::default(),
            closing: Latch::default(),
        }
    }

    pub(super) fn is_kept(&self) -> bool {
        self.is_kept
    }

    pub(super) fn held(&self) -> Bytes {
        self.held.get()
    }

    pub(super) fn add(&self, more: Bytes) {
        self.held.set(self.held.get().plus(more));
    }

    pub(super) fn answer(&self) -> usize {
        self.answer.get()
    }

    pub(super) fn set_answer(&self, bytes: usize) {
        self.answer.set(bytes);
    }

    pub(super) fn take_held(&self) -> Bytes {
        self.held.take()
    }

    pub(super) fn is_running(&self) -> bool {
        self.is_running.get()
    }

    pub(super) fn progressed_at(&self) -> Instant {
        self.progressed_at.get()
    }

    pub(super) fn is_evicted(&self) -> bool {
        self.eviction.get().is_some()
    }

    pub(super) fn is_closing(&self) -> bool {
        self.closing.is_set()
    }

    pub(super) fn evict(&self, eviction: Eviction) {
        self.eviction.set(Some(eviction));
        self.evicted.set();
        if eviction == Eviction::Connections || self.answer() > 0 {
            self.closing.set();
        }
    }
}

/// The account of an open connection.
pub(crate) struct Account {
    shared: Rc<Shared>,
    id: u64,
    state: Rc<AccountState>,
}

impl MemoryBudget {
    /// Opens the account of a new connection. At the limit the connection that has been idle or
    /// stalled longest is evicted, kept ones after the others; `None` if requests run on all of them.
    pub(crate) fn open(&self, is_kept: bool) -> Option<Account> {
        let (id, state) = self.shared.ledger.borrow_mut().open(is_kept)?;
        Some(Account {
            shared: Rc::clone(&self.shared),
            id,
            state,
        })
    }
}

impl Account {
    /// Takes memory for the request that is being received. Waits only for requests that were evicted
    /// to give theirs back.
    pub(crate) async fn take(&self, size: Size, bytes: usize) -> Result<(), NoRoom> {
        let waiter = self.shared.waiting.waiter();
        poll_fn(|cx| {
            let step = self
                .shared
                .ledger
                .borrow_mut()
                .take(&self.state, size, bytes);
            match step {
                Step::Granted => Poll::Ready(Ok(())),
                Step::Refused => Poll::Ready(Err(NoRoom)),
                Step::Wait => {
                    waiter.register(cx);
                    Poll::Pending
                }
            }
        })
        .await
    }

    /// Charges an answer while it is written. It exists already, so this never fails; others give way
    /// to it, and it gives way to others once its client stops reading.
    pub(crate) fn hold_answer(&self, bytes: usize) -> AnswerHold<'_> {
        self.record_progress();
        let mut ledger = self.shared.ledger.borrow_mut();
        ledger.hold_answer(&self.state, bytes);
        AnswerHold { account: self }
    }

    /// Records that bytes were read or written.
    pub(crate) fn record_progress(&self) {
        self.state.progressed_at.set(Instant::now());
    }

    /// Records whether a request is being handled.
    pub(crate) fn set_running(&self, is_running: bool) {
        self.state.is_running.set(is_running);
        self.record_progress();
    }

    /// Whether a request is being handled.
    pub(crate) fn is_running(&self) -> bool {
        self.state.is_running()
    }

    /// Returns why the connection has to give way, once it has to.
    pub(crate) async fn evicted(&self) -> Eviction {
        self.state.evicted.wait().await;
        self.state.eviction.get().unwrap_or(Eviction::Memory)
    }

    /// Returns once the connection has to end at once, and no request runs on it.
    pub(crate) async fn closing(&self) {
        self.state.closing.wait().await;
        while self.state.answer() == 0 {
            monoio::time::sleep(CLOSE_TIME).await;
            if !self.state.is_running() {
                return;
            }
        }
    }

    /// Gives back what the incomplete request held.
    pub(crate) fn release(&self) {
        self.shared.ledger.borrow_mut().release(&self.state);
        self.shared.waiting.wake_all();
    }

    /// Passes what the request holds to a guard, since it is whole.
    pub(crate) fn detach(&self) -> Charge {
        let held = self.shared.ledger.borrow_mut().detach(&self.state);
        // Tasks that wait for this memory look for other.
        self.shared.waiting.wake_all();
        Charge {
            shared: Rc::clone(&self.shared),
            held,
        }
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.release();
        self.shared.ledger.borrow_mut().close(self.id);
        self.shared.waiting.wake_all();
    }
}

/// Memory of an answer that is being written, given back when dropped.
pub(crate) struct AnswerHold<'a> {
    account: &'a Account,
}

impl Drop for AnswerHold<'_> {
    fn drop(&mut self) {
        let mut ledger = self.account.shared.ledger.borrow_mut();
        ledger.release_answer(&self.account.state);
        drop(ledger);
        self.account.shared.waiting.wake_all();
    }
}

/// Memory of a whole request, given back when dropped.
pub(crate) struct Charge {
    shared: Rc<Shared>,
    held: Bytes,
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.shared.ledger.borrow_mut().give_back(self.held);
        self.shared.waiting.wake_all();
    }
}
