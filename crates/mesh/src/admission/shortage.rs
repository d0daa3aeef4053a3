//! Lasting shortage of slots, as against a burst.
//!
//! Handles load above what the slots serve that stays for seconds, as after the loss of instances. In a
//! burst requests are to wait: the load passes, and all of them are served. When the load stays, a
//! queue stays as long as admission allows. It serves no more requests than a short one that keeps the
//! slots busy, but each of them waits for the whole of it, and those that take longer than the mean
//! are late. The two differ in the share of arrivals that find no free slot.

use std::time::Duration;
use std::time::Instant;

/// Time over which the share of arrivals is averaged: a burst that is shorter is absorbed.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

/// Longest time since the arrival before that counts: one arrival after a pause does not tell how long a
/// shortage has lasted.
const MAX_GAP: Duration = Duration::from_millis(200);

/// Share of arrivals without a free slot above which a shortage lasts.
const BEGINS_ABOVE: f64 = 0.8;

/// Share below which it has ended. Hysteresis keeps the short queue itself, in which some arrivals
/// find a slot, from ending the shortage.
const ENDS_BELOW: f64 = 0.5;

/// Tells whether a shortage of slots lasts.
#[derive(Debug, Default)]
pub(super) struct Shortage {
    waiting_share: f64,
    last_arrival: Option<Instant>,
    is_lasting: bool,
}

impl Shortage {
    /// Records the arrival of a request that is not short, and whether it finds no free slot.
    pub(super) fn record_arrival(&mut self, must_wait: bool, now: Instant) {
        let elapsed = self
            .last_arrival
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.last_arrival = Some(now);
        let elapsed = elapsed.min(MAX_GAP);
        let weight = 1.0 - (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        let latest = if must_wait { 1.0 } else { 0.0 };
        self.waiting_share += weight * (latest - self.waiting_share);
        self.is_lasting = if self.is_lasting {
            self.waiting_share >= ENDS_BELOW
        } else {
            self.waiting_share > BEGINS_ABOVE
        };
    }

    /// Whether more arrives than the slots serve, and has for some time.
    pub(super) fn is_lasting(&self) -> bool {
        self.is_lasting
    }
}
