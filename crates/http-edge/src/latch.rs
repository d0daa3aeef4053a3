//! A flag that is set once and that tasks can wait for.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::task::Waker;

/// A flag that is set once; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Latch {
    inner: Rc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    is_set: Cell<bool>,
    wakers: RefCell<Vec<Waker>>,
}

impl Latch {
    /// Sets the flag and wakes all waiting tasks.
    pub fn set(&self) {
        self.inner.is_set.set(true);
        let wakers = self.inner.wakers.take();
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Whether the flag is set.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.inner.is_set.get()
    }

    /// Returns once the flag is set.
    pub async fn wait(&self) {
        poll_fn(|cx| {
            if self.is_set() {
                return Poll::Ready(());
            }
            let mut wakers = self.inner.wakers.borrow_mut();
            if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
                wakers.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
