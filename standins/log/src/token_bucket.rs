//! Rate limit on appends. Reads no clock: callers pass the time.

use std::time::Duration;
use std::time::Instant;

/// Burst that a full bucket admits, in seconds of the sustained rate.
const BURST_SECONDS: f64 = 0.25;

/// A token bucket; each append takes one token.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket that is refilled at `per_second` tokens per second.
    pub fn new(per_second: u32, now: Instant) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            tokens: capacity(per_second),
            refilled_at: now,
        }
    }

    /// Refills the bucket up to `now` and takes one token.
    ///
    /// # Errors
    /// The time until a token is available, if the bucket is empty.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let tokens = self.tokens + elapsed.as_secs_f64() * self.per_second;
        self.tokens = tokens.min(capacity(self.per_second));
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / self.per_second;
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }
}

fn capacity(per_second: f64) -> f64 {
    (per_second * BURST_SECONDS).max(1.0)
}
