//! Catches panics of the HTTP decoder.
//!
//! The decoder panics on some bytes that a peer can send, and a panic in a task would end the
//! runtime and the daemon with it.

use std::future::Future;
use std::future::poll_fn;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::pin::pin;
use std::task::Poll;

/// Runs a future to completion; `None` if it panicked. After a panic the future is not polled
/// again, and the state that it worked on must not be used any more.
pub(crate) async fn catch_panic<T>(future: impl Future<Output = T>) -> Option<T> {
    let mut future = pin!(future);
    poll_fn(|cx| {
        let polled = catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(cx)));
        match polled {
            Ok(Poll::Ready(value)) => Poll::Ready(Some(value)),
            Ok(Poll::Pending) => Poll::Pending,
            Err(_) => Poll::Ready(None),
        }
    })
    .await
}
