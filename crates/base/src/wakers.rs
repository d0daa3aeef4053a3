//! Wakers of the tasks that wait for an event.
//!
//! A waker keeps the memory of its task, so it is dropped with the wait and not only with the event,
//! which may come at the end of the process.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::task::Context;
use std::task::Waker;

use crate::FastMap;

/// The wakers; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Wakers {
    inner: Rc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// By the number of the wait.
    wakers: RefCell<FastMap<u64, Waker>>,
    last_wait: Cell<u64>,
}

/// One wait of a task.
#[derive(Debug)]
pub struct Waiter {
    inner: Rc<Inner>,
    number: u64,
}

impl Wakers {
    /// Begins a wait.
    #[must_use]
    pub fn waiter(&self) -> Waiter {
        let number = self.inner.last_wait.get() + 1;
        self.inner.last_wait.set(number);
        Waiter {
            inner: Rc::clone(&self.inner),
            number,
        }
    }

    /// Wakes all tasks that wait.
    pub fn wake_all(&self) {
        let wakers = self.inner.wakers.take();
        wakers.into_values().for_each(Waker::wake);
    }

    /// Returns the number of waits whose task is to be woken.
    #[must_use]
    pub fn len(&self) -> usize {
        self.inner.wakers.borrow().len()
    }

    /// Whether no task is to be woken.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Waiter {
    /// Has the task woken at the next event.
    pub fn register(&self, cx: &Context<'_>) {
        let mut wakers = self.inner.wakers.borrow_mut();
        wakers.insert(self.number, cx.waker().clone());
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let waker = self.inner.wakers.borrow_mut().remove(&self.number);
        // It may be the last hold on a task, whose own waits end then.
        drop(waker);
    }
}
