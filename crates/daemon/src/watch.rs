//! A value with one writer whose changes other tasks of the same thread can await.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;

use base::wakers::Wakers;

/// Number of a value; increases by one with each [`Watch::set`].
pub type Revision = u64;

/// Holds the latest of a series of immutable values. Clones share it.
#[derive(Debug)]
pub struct Watch<T> {
    inner: Rc<Inner<T>>,
}

#[derive(Debug)]
struct Inner<T> {
    value: RefCell<Rc<T>>,
    revision: Cell<Revision>,
    wakers: Wakers,
}

impl<T> Clone for Watch<T> {
    fn clone(&self) -> Self {
        Self {
            inner: Rc::clone(&self.inner),
        }
    }
}

impl<T: Default> Default for Watch<T> {
    fn default() -> Self {
        Self::new(T::default())
    }
}

impl<T> Watch<T> {
    /// Creates a watch that holds `value` at revision 0.
    #[must_use]
    pub fn new(value: T) -> Self {
        let inner = Inner {
            value: RefCell::new(Rc::new(value)),
            revision: Cell::new(0),
            wakers: Wakers::default(),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// The latest value; later changes do not affect the returned one.
    #[must_use]
    pub fn get(&self) -> Rc<T> {
        Rc::clone(&self.inner.value.borrow())
    }

    /// Revision of the latest value.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.inner.revision.get()
    }

    /// Publishes a new value and wakes all waiting tasks.
    pub fn set(&self, value: T) {
        *self.inner.value.borrow_mut() = Rc::new(value);
        self.inner.revision.set(self.inner.revision.get() + 1);
        self.inner.wakers.wake_all();
    }

    /// Waits for a value newer than revision `seen` and returns its revision.
    pub async fn changed_since(&self, seen: Revision) -> Revision {
        let waiter = self.inner.wakers.waiter();
        poll_fn(|cx| {
            if self.revision() > seen {
                return Poll::Ready(self.revision());
            }
            waiter.register(cx);
            Poll::Pending
        })
        .await
    }
}

impl<T: PartialEq> Watch<T> {
    /// Publishes a value only if it differs from the latest, so that an equal value wakes no task.
    pub fn set_if_changed(&self, value: T) {
        if *self.get() != value {
            self.set(value);
        }
    }
}
