//! Use of a machine's network link.
//!
//! Handles large bodies on slow links: an instance with free slots is still a bad choice while its
//! link is full, for the body itself and for each small request that waits behind it.

use std::time::Duration;
use std::time::Instant;

/// Length of one of the two intervals over which the use is averaged.
const INTERVAL: Duration = Duration::from_millis(250);

/// Bytes a second of one Mbit/s.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Direction of traffic on the link, which carries both at its full rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Received by this machine.
    In,
    /// Sent by this machine.
    Out,
}

/// Counts the bytes on a link over the last few hundred milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct LinkMeter {
    started_at: Instant,
    current: [u64; 2],
    previous: [u64; 2],
}

impl LinkMeter {
    /// Starts without traffic.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            current: [0; 2],
            previous: [0; 2],
        }
    }

    /// Records bytes that were transferred.
    pub fn record(&mut self, direction: Direction, bytes: u64, now: Instant) {
        self.advance(now);
        self.current[direction as usize] += bytes;
    }

    /// Returns the used part of a link with this rate, in thousandths; the busier direction counts.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn permille(&self, link_mbps: u32, now: Instant) -> u16 {
        let mut meter = *self;
        meter.advance(now);
        let covered = INTERVAL + now.saturating_duration_since(meter.started_at);
        let capacity = capacity_bytes(link_mbps, covered);
        let busier = [0, 1].map(|index| meter.current[index] + meter.previous[index]);
        let used = busier[0].max(busier[1]) as f64 / capacity;
        (used * 1000.0) as u16
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.started_at);
        if elapsed < INTERVAL {
            return;
        }
        let is_next = elapsed < INTERVAL * 2;
        self.previous = if is_next { self.current } else { [0; 2] };
        self.current = [0; 2];
        self.started_at = if is_next {
            self.started_at + INTERVAL
        } else {
            now
        };
    }
}

/// Returns the bytes that a link of this rate carries in a time; at least 1.
#[must_use]
pub fn capacity_bytes(link_mbps: u32, time: Duration) -> f64 {
    (f64::from(link_mbps) * BYTES_PER_MBIT * time.as_secs_f64()).max(1.0)
}
