//! A place for one value, from the reading half of a connection to the answering one.
//!
//! The bounded channel of local-sync panics when a send that waits is dropped just as its turn
//! has come, as happens when a connection with pipelined requests is closed.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

/// Both ends of an empty place.
pub(super) fn handover<T>() -> (Giver<T>, Taker<T>) {
    let place = Rc::new(Place {
        value: RefCell::new(None),
        has_ended: Cell::new(false),
        waiting: RefCell::default(),
    });
    let giver = Giver {
        place: Rc::clone(&place),
    };
    (giver, Taker { place })
}

/// Puts values in; no more come once it is dropped.
pub(super) struct Giver<T> {
    place: Rc<Place<T>>,
}

/// Takes values out.
pub(super) struct Taker<T> {
    place: Rc<Place<T>>,
}

struct Place<T> {
    value: RefCell<Option<T>>,
    has_ended: Cell<bool>,
    waiting: RefCell<Vec<Waker>>,
}

impl<T> Giver<T> {
    /// Waits until the value before has been taken.
    pub(super) async fn give(&self, value: T) {
        let mut value = Some(value);
        poll_fn(|cx| {
            if self.place.value.borrow().is_some() {
                return self.place.wait(cx);
            }
            self.place.value.replace(value.take());
            self.place.wake();
            Poll::Ready(())
        })
        .await;
    }
}

impl<T> Drop for Giver<T> {
    fn drop(&mut self) {
        self.place.has_ended.set(true);
        self.place.wake();
    }
}

impl<T> Taker<T> {
    /// The next value; `None` when no more come.
    pub(super) async fn take(&mut self) -> Option<T> {
        poll_fn(|cx| {
            let value = self.place.value.take();
            if value.is_some() {
                self.place.wake();
                return Poll::Ready(value);
            }
            if self.place.has_ended.get() {
                return Poll::Ready(None);
            }
            self.place.wait(cx)
        })
        .await
    }
}

impl<T> Place<T> {
    fn wait<R>(&self, cx: &Context<'_>) -> Poll<R> {
        let mut waiting = self.waiting.borrow_mut();
        if !waiting.iter().any(|waker| waker.will_wake(cx.waker())) {
            waiting.push(cx.waker().clone());
        }
        Poll::Pending
    }

    fn wake(&self) {
        let waiting = self.waiting.take();
        waiting.into_iter().for_each(Waker::wake);
    }
}
