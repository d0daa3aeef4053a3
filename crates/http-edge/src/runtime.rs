//! The runtime: a single thread on epoll.

use std::future::Future;

use monoio::LegacyDriver;
use monoio::RuntimeBuilder;

/// Runs a future to completion on a new runtime with timers.
///
/// Uses the legacy driver, since the default one tries `io_uring`.
///
/// # Panics
/// When the kernel refuses an epoll instance.
pub fn block_on<F: Future>(future: F) -> F::Output {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the kernel creates an epoll instance")
        .block_on(future)
}
