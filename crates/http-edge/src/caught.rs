//! A guard against panics of the decoder.

use std::future::Future;
use std::future::poll_fn;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::pin::pin;
use std::task::Poll;

/// Runs a future to its end; `None` when it panicked. It is not polled again then, and what it
/// worked on must be given up.
///
/// A panic in a task ends the runtime and the daemon with it, and the decoder takes some bytes
/// from the network for impossible.
pub(crate) async fn caught<T>(future: impl Future<Output = T>) -> Option<T> {
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
