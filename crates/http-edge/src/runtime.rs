//! The runtime: one thread on epoll.

use std::future::Future;

use monoio::LegacyDriver;
use monoio::RuntimeBuilder;

/// Runs a future to its end on a runtime of its own, with timers.
///
/// The legacy driver is named here, since the default one would try `io_uring`.
///
/// # Panics
/// When the system refuses an epoll instance.
pub fn block_on<F: Future>(future: F) -> F::Output {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the system gives an epoll instance")
        .block_on(future)
}
