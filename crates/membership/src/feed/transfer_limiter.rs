//! Limit on transfers of whole state that run at once.

use std::time::Duration;

use crate::rng::Rng;

/// Longest delay that a refused child is told, before jitter.
const MAX_RETRY: Duration = Duration::from_secs(8);

/// Counts transfers and those that were sent away.
#[derive(Debug)]
pub struct TransferLimiter {
    limit: u32,
    running: u32,
    waiting: u32,
    transfer_time: Duration,
}

/// Answer to a child that needs a transfer.
#[derive(Debug, PartialEq, Eq)]
pub enum AcquireResult {
    /// It may run; give the permit back at its end.
    Granted(Permit),
    /// Too many run; ask again after this time.
    RetryAfter(Duration),
}

/// The right to one transfer.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit(());

impl TransferLimiter {
    /// At most `limit` transfers at once; `transfer_time` is how long one takes as a rule.
    #[must_use]
    pub fn new(limit: u32, transfer_time: Duration) -> Self {
        Self {
            limit: limit.max(1),
            running: 0,
            waiting: 0,
            transfer_time,
        }
    }

    /// Asks for a transfer. The delays told grow with the number of those who wait.
    pub fn try_acquire(&mut self, rng: &mut Rng) -> AcquireResult {
        if self.running < self.limit {
            self.running += 1;
            self.waiting = self.waiting.saturating_sub(1);
            return AcquireResult::Granted(Permit(()));
        }
        self.waiting = self.waiting.saturating_add(1);
        let turns = self.waiting / self.limit + 1;
        let span = self.transfer_time.saturating_mul(turns).min(MAX_RETRY);
        AcquireResult::RetryAfter(rng.jitter(span))
    }

    /// Ends a transfer.
    pub fn release(&mut self, Permit(()): Permit) {
        self.running -= 1;
    }
}
