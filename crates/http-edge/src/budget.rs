//! Memory and connections that all servers of a process share.
//!
//! Each byte of capacity for heads and bodies is charged before it is allocated. On shortage the
//! connection with the incomplete request that holds the most is evicted, so that small requests go
//! last. Whole requests are never evicted.

mod account;
mod arrival;
mod ledger;

use std::cell::RefCell;
use std::rc::Rc;

use base::wakers::Wakers;

pub(crate) use crate::budget::account::Account;
pub(crate) use crate::budget::account::Charge;
pub(crate) use crate::budget::account::Eviction;
pub(crate) use crate::budget::account::NoRoom;
pub use crate::budget::arrival::AnswerCharge;
pub(crate) use crate::budget::arrival::Arrival;
pub use crate::budget::ledger::BudgetStats;
use crate::budget::ledger::Ledger;
pub(crate) use crate::budget::ledger::Size;

/// Memory charged for an open connection: its tasks, and the buffer in which it awaits a request.
pub(crate) const CONNECTION_BYTES: usize = 8 * 1024;

/// Memory charged for a line of a parsed head: two copies of the header's entry with its name.
pub(crate) const HEADER_LINE_BYTES: usize = 512;

/// Requests with larger bodies leave a part of the memory to others.
pub(crate) const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Limits of a [`MemoryBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Most bytes that requests and connections may take.
    pub max_bytes: usize,
    /// Most open connections.
    pub max_connections: usize,
}

impl Default for BudgetLimits {
    fn default() -> Self {
        Self {
            max_bytes: 512 * 1024 * 1024,
            max_connections: 4096,
        }
    }
}

/// Bounds the memory of requests and the number of connections; clones share it.
#[derive(Clone)]
pub struct MemoryBudget {
    shared: Rc<Shared>,
}

struct Shared {
    ledger: RefCell<Ledger>,
    /// Tasks that wait until others have given back memory.
    waiting: Wakers,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is taken.
    #[must_use]
    pub fn new(limits: BudgetLimits) -> Self {
        let shared = Shared {
            ledger: RefCell::new(Ledger::new(limits)),
            waiting: Wakers::default(),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Changes the limits. What exceeds them is not evicted until more is asked for.
    pub fn set_limits(&self, limits: BudgetLimits) {
        self.shared.ledger.borrow_mut().set_limits(limits);
    }

    /// Whether a body of that size has room now without an eviction.
    #[must_use]
    pub fn has_room(&self, body_bytes: usize) -> bool {
        self.shared.ledger.borrow().has_room(body_bytes)
    }

    /// Returns what is taken, and counts of what was refused.
    #[must_use]
    pub fn stats(&self) -> BudgetStats {
        self.shared.ledger.borrow().stats()
    }
}

impl Default for MemoryBudget {
    fn default() -> Self {
        Self::new(BudgetLimits::default())
    }
}
