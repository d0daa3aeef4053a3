//! Limits the full state transfers that a parent serves concurrently.

use std::time::Duration;

use crate::rng::Rng;

/// Maximum retry delay of a refused child, before jitter.
const MAX_RETRY: Duration = Duration::from_secs(8);

/// Counts the running transfers and estimates the number of waiting children.
#[derive(Debug)]
pub struct TransferLimiter {
    limit: u32,
    running: u32,
    /// Refusals minus later grants; a child that is refused again counts again.
    waiting: u32,
    transfer_time: Duration,
}

/// Result of [`TransferLimiter::try_acquire`].
#[derive(Debug, PartialEq, Eq)]
pub enum AcquireResult {
    /// The transfer may start; return the permit with [`TransferLimiter::release`] at its end.
    Granted(Permit),
    /// The limit is reached; retry after this time.
    RetryAfter(Duration),
}

/// Permit for one transfer.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit(());

impl TransferLimiter {
    /// Creates a limiter for `limit` concurrent transfers that typically take `transfer_time` each.
    #[must_use]
    pub fn new(limit: u32, transfer_time: Duration) -> Self {
        Self {
            limit: limit.max(1),
            running: 0,
            waiting: 0,
            transfer_time,
        }
    }

    /// Requests a permit. Retry delays grow with the number of waiting children.
    pub fn try_acquire(&mut self, rng: &mut Rng) -> AcquireResult {
        if self.running < self.limit {
            self.running += 1;
            self.waiting = self.waiting.saturating_sub(1);
            return AcquireResult::Granted(Permit(()));
        }
        self.waiting = self.waiting.saturating_add(1);
        let rounds = self.waiting / self.limit + 1;
        let span = self.transfer_time.saturating_mul(rounds).min(MAX_RETRY);
        AcquireResult::RetryAfter(rng.jitter(span))
    }

    /// Returns the permit of a finished transfer.
    pub fn release(&mut self, Permit(()): Permit) {
        self.running -= 1;
    }
}
