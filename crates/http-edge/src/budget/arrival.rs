//! Memory of answers from their arrival until they are written.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use crate::budget::MemoryBudget;
use crate::budget::Shared;
use crate::framing::Framing;

/// Answers up to this size are not charged while they arrive.
const FREE_ANSWER_BYTES: usize = 16 * 1024;

/// Interval at which an answer that waits for room looks for clients that do not read theirs.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Time of waiting after which the clients that hold memory read their answers, if slowly: those that do not
/// have been closed.
const SLOW_READER_TIME: Duration = Duration::from_millis(100);

/// Memory of an answer, given back with the last clone.
#[derive(Clone)]
pub struct AnswerCharge {
    _reserved: Rc<Reserved>,
}

impl std::fmt::Debug for AnswerCharge {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("AnswerCharge")
    }
}

struct Reserved {
    shared: Rc<Shared>,
    bytes: usize,
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.shared.ledger.borrow_mut().release_arrival(self.bytes);
        self.shared.waiting.wake_all();
    }
}

impl MemoryBudget {
    /// Takes memory for a whole answer before its body is read, so that answers that are read in part do not
    /// wait for each other. Waits until there is room; its caller bounds the time.
    async fn reserve_answer(&self, bytes: usize) -> AnswerCharge {
        let shared = &self.shared;
        let began = Instant::now();
        loop {
            let has_waited = began.elapsed() >= SLOW_READER_TIME;
            if shared.ledger.borrow_mut().begin_arrival(bytes, has_waited) {
                break;
            }
            // Whether a client reads its answer shows with time.
            let _ = monoio::time::timeout(CHECK_INTERVAL, self.changed()).await;
        }
        AnswerCharge {
            _reserved: Rc::new(Reserved {
                shared: Rc::clone(shared),
                bytes,
            }),
        }
    }

    /// Returns when memory has been given back.
    async fn changed(&self) {
        let waiter = self.shared.waiting.waiter();
        let mut is_waiting = false;
        poll_fn(|cx| {
            if is_waiting {
                return Poll::Ready(());
            }
            is_waiting = true;
            waiter.register(cx);
            Poll::Pending
        })
        .await;
    }
}

/// An answer whose body is being read.
pub(crate) struct Arrival<'a> {
    budget: &'a MemoryBudget,
    /// Most bytes that the body takes.
    max_bytes: usize,
    taken: Cell<usize>,
    charge: RefCell<Option<AnswerCharge>>,
}

impl<'a> Arrival<'a> {
    pub(crate) fn new(budget: &'a MemoryBudget, framing: Framing, max_body_bytes: usize) -> Self {
        let max_bytes = match framing {
            Framing::Empty => 0,
            Framing::Length(length) => length,
            Framing::Chunked => max_body_bytes,
        };
        Self {
            budget,
            max_bytes,
            taken: Cell::new(0),
            charge: RefCell::default(),
        }
    }

    /// Takes memory for a further part of the body.
    pub(crate) async fn take(&self, bytes: usize) {
        self.taken.set(self.taken.get() + bytes);
        let is_charged = self.charge.borrow().is_some();
        if is_charged || self.taken.get() <= FREE_ANSWER_BYTES {
            return;
        }
        let charge = self.budget.reserve_answer(self.max_bytes).await;
        self.charge.replace(Some(charge));
    }

    /// Returns the memory of the whole answer; `None` for a small one.
    pub(crate) fn into_charge(self) -> Option<AnswerCharge> {
        self.charge.into_inner()
    }
}
