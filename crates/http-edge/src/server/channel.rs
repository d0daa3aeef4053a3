//! A channel for one value, from the reader of a connection to its writer.
//!
//! The bounded channel of local-sync panics if a waiting send is dropped just as it gets a permit,
//! which happens when a connection with pipelined requests is closed.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

/// Creates a channel with a capacity of one value.
pub(super) fn channel<T>() -> (Sender<T>, Receiver<T>) {
    let slot = Rc::new(Slot {
        value: RefCell::new(None),
        is_closed: Cell::new(false),
        wakers: RefCell::default(),
    });
    let sender = Sender {
        slot: Rc::clone(&slot),
    };
    (sender, Receiver { slot })
}

/// Sending half; dropping it closes the channel.
pub(super) struct Sender<T> {
    slot: Rc<Slot<T>>,
}

/// Receiving half.
pub(super) struct Receiver<T> {
    slot: Rc<Slot<T>>,
}

/// State that both halves share.
struct Slot<T> {
    value: RefCell<Option<T>>,
    is_closed: Cell<bool>,
    wakers: RefCell<Vec<Waker>>,
}

impl<T> Sender<T> {
    /// Sends a value once the previous one has been received.
    pub(super) async fn send(&self, value: T) {
        self.vacant().await;
        self.put(value);
    }

    /// Returns once the previous value has been received.
    pub(super) async fn vacant(&self) {
        poll_fn(|cx| {
            if self.slot.value.borrow().is_some() {
                return self.slot.register_waker(cx);
            }
            Poll::Ready(())
        })
        .await;
    }

    /// Sends a value in place of one that was not received.
    pub(super) fn put(&self, value: T) {
        self.slot.value.replace(Some(value));
        self.slot.wake_all();
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        self.slot.is_closed.set(true);
        self.slot.wake_all();
    }
}

impl<T> Receiver<T> {
    /// Receives the next value; `None` if the channel is closed and empty.
    pub(super) async fn recv(&mut self) -> Option<T> {
        poll_fn(|cx| {
            let value = self.slot.value.take();
            if value.is_some() {
                self.slot.wake_all();
                return Poll::Ready(value);
            }
            if self.slot.is_closed.get() {
                return Poll::Ready(None);
            }
            self.slot.register_waker(cx)
        })
        .await
    }
}

impl<T> Slot<T> {
    /// Registers the task to be woken on the next change. Returns `Pending`.
    fn register_waker<R>(&self, cx: &Context<'_>) -> Poll<R> {
        let mut wakers = self.wakers.borrow_mut();
        if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
            wakers.push(cx.waker().clone());
        }
        Poll::Pending
    }

    fn wake_all(&self) {
        let wakers = self.wakers.take();
        wakers.into_iter().for_each(Waker::wake);
    }
}
