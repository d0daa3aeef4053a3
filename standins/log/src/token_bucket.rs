//! Limit on appends a second. Pure: time comes in as an argument.

use std::time::Duration;
use std::time::Instant;

/// Part of a second's appends that may come at once.
const BURST: f64 = 0.25;

/// A token bucket.
#[derive(Debug, Clone)]
pub struct Bucket {
    per_second: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    /// A full bucket.
    pub fn new(per_second: u32, now: Instant) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            tokens: burst(per_second),
            filled: now,
        }
    }

    /// Takes one token.
    ///
    /// # Errors
    /// The time until there is one again.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let since = now.saturating_duration_since(self.filled);
        self.filled = now;
        let tokens = self.tokens + since.as_secs_f64() * self.per_second;
        self.tokens = tokens.min(burst(self.per_second));
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / self.per_second;
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }
}

fn burst(per_second: f64) -> f64 {
    (per_second * BURST).max(1.0)
}
