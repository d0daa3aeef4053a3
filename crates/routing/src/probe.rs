//! Limit on the calls that an unproven version takes.

use std::time::Duration;
use std::time::Instant;

/// Limits the calls of an unproven version at one instance, whatever the callers choose.
#[derive(Debug, Clone)]
pub struct ProbeBudget {
    calls: u32,
    window: Duration,
    used: u32,
    since: Instant,
}

/// Whether an unproven version takes a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeDecision {
    /// It does.
    Admitted,
    /// It had its calls; try again after this time.
    Exhausted(Duration),
}

impl ProbeBudget {
    /// Admits `calls` in each window.
    #[must_use]
    pub fn new(calls: u32, window: Duration, now: Instant) -> Self {
        Self {
            calls,
            window,
            used: 0,
            since: now,
        }
    }

    /// Asks for one call.
    pub fn try_admit(&mut self, now: Instant) -> ProbeDecision {
        let elapsed = now.saturating_duration_since(self.since);
        if elapsed >= self.window {
            self.used = 0;
            self.since = now;
        }
        if self.used >= self.calls {
            return ProbeDecision::Exhausted(self.window.saturating_sub(elapsed));
        }
        self.used += 1;
        ProbeDecision::Admitted
    }
}
