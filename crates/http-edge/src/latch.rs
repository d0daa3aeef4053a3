//! A flag that is set once and that tasks can wait for.

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;

use base::wakers::Wakers;

/// A flag that is set once; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Latch {
    is_set: Rc<Cell<bool>>,
    wakers: Wakers,
}

impl Latch {
    /// Sets the flag and wakes all waiting tasks.
    pub fn set(&self) {
        self.is_set.set(true);
        self.wakers.wake_all();
    }

    /// Whether the flag is set.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.is_set.get()
    }

    /// Returns once the flag is set.
    pub async fn wait(&self) {
        let waiter = self.wakers.waiter();
        poll_fn(|cx| {
            if self.is_set() {
                return Poll::Ready(());
            }
            waiter.register(cx);
            Poll::Pending
        })
        .await;
    }

    /// Number of tasks that wait.
    #[cfg(test)]
    pub(crate) fn waiting(&self) -> usize {
        self.wakers.len()
    }
}
