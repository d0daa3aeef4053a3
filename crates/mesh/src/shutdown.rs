//! Which requests a stopping daemon still takes.
//!
//! Handles requests that arrive late in the grace period: on connections that stay in use, with heads or
//! bodies that were on their way, and from daemons that have not heard of the stop. Each must have its
//! answer when the process ends. One that cannot is refused before it runs, so that its client may send
//! it elsewhere.

use std::time::Duration;
use std::time::Instant;

/// Multiple of the time to the full value of an answer in which nearly all requests are answered; operators
/// set that time to a few service times.
const FULL_VALUE_MULTIPLE: u32 = 2;

/// How far the shutdown has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Clients still come: the platform has not taken the daemon out yet.
    Draining,
    /// Listeners close.
    Closing,
}

/// Time limit of a shutdown.
#[derive(Debug, Clone, Copy)]
pub struct Shutdown {
    ends_at: Instant,
    phase: Phase,
}

/// When a request must be answered.
#[derive(Debug, Clone, Copy)]
pub struct Expectation {
    /// Until when its client waits.
    pub deadline: Instant,
    /// Until when an answer has its full value.
    pub full_value_until: Instant,
}

impl Shutdown {
    /// Begins a shutdown in which the last answer is sent at `ends_at`.
    #[must_use]
    pub fn new(ends_at: Instant) -> Self {
        Self {
            ends_at,
            phase: Phase::Draining,
        }
    }

    /// Records that the listeners close.
    pub fn record_closing(&mut self) {
        self.phase = Phase::Closing;
    }

    /// Returns the time left for answers.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        self.ends_at.saturating_duration_since(now)
    }

    /// Whether a request is answered before the process ends: at its deadline at the latest, or, while clients
    /// still come, as nearly all requests are.
    #[must_use]
    pub fn leaves_time_for(&self, expected: Expectation, now: Instant) -> bool {
        if expected.deadline <= self.ends_at {
            return true;
        }
        let full_value = expected.full_value_until.saturating_duration_since(now);
        self.phase == Phase::Draining
            && !full_value.is_zero()
            && full_value * FULL_VALUE_MULTIPLE <= self.time_left(now)
    }
}
