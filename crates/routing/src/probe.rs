//! Rate limit for calls to a version that is not proven yet.

use std::time::Duration;
use std::time::Instant;

/// Limits the calls that one instance of an unproven version accepts per window.
///
/// The limit holds at the instance, however many callers route to it.
#[derive(Debug, Clone)]
pub struct ProbeBudget {
    calls_per_window: u32,
    window: Duration,
    used: u32,
    window_start: Instant,
}

/// Whether an instance of an unproven version accepts a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeDecision {
    /// The call is within the limit.
    Admitted,
    /// The limit of this window is reached; the next window starts after this time.
    Exhausted(Duration),
}

impl ProbeBudget {
    /// Creates a budget of `calls_per_window` calls; the first window starts at `now`.
    #[must_use]
    pub fn new(calls_per_window: u32, window: Duration, now: Instant) -> Self {
        Self {
            calls_per_window,
            window,
            used: 0,
            window_start: now,
        }
    }

    /// Admits one call if the current window has budget left.
    pub fn try_admit(&mut self, now: Instant) -> ProbeDecision {
        let elapsed = now.saturating_duration_since(self.window_start);
        if elapsed >= self.window {
            self.used = 0;
            self.window_start = now;
        }
        if self.used >= self.calls_per_window {
            return ProbeDecision::Exhausted(self.window.saturating_sub(elapsed));
        }
        self.used += 1;
        ProbeDecision::Admitted
    }
}
