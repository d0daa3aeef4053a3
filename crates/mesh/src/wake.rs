//! Detection of a process that stood still.
//!
//! Handles machines that freeze and wake: after a wake the process finds requests and datagrams that
//! waited unread, and its own deadlines may look valid, since the monotonic clock does not count the
//! time of a suspended machine. Times here are read from a clock that does.

use std::time::Duration;

/// Time without a tick after which the process has stood still. Ticks come every 50 ms; a machine that
/// is several times slower than usual stays below.
const STILL_AFTER: Duration = Duration::from_millis(500);

/// Time after a wake in which arriving requests may have waited unread.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Time since the start of the machine, including the time for which it was suspended.
pub type BootTime = Duration;

#[derive(Debug, Clone, Copy)]
struct Wake {
    at: BootTime,
    stood_still: Duration,
}

/// Detects from regular ticks that the process stood still.
#[derive(Debug, Clone, Copy)]
pub struct WakeDetector {
    last_tick: BootTime,
    last_wake: Option<Wake>,
    /// Whether [`Self::tick`] has yet to report the last wake.
    is_new: bool,
}

impl WakeDetector {
    /// Starts at this time.
    #[must_use]
    pub fn new(now: BootTime) -> Self {
        Self {
            last_tick: now,
            last_wake: None,
            is_new: false,
        }
    }

    /// Records a tick. Returns for how long the process stood still if it has just woken.
    pub fn tick(&mut self, now: BootTime) -> Option<Duration> {
        self.observe(now);
        self.last_tick = now;
        let is_new = std::mem::take(&mut self.is_new);
        self.last_wake
            .filter(|_| is_new)
            .map(|wake| wake.stood_still)
    }

    /// Returns for how long a request that is read now may have waited unread, or a decision that is
    /// carried out now may have been delayed.
    pub fn observe(&mut self, now: BootTime) -> Duration {
        let gap = now.saturating_sub(self.last_tick);
        let is_known = self.last_wake.is_some_and(|wake| wake.at >= self.last_tick);
        if gap >= STILL_AFTER && !is_known {
            self.last_wake = Some(Wake {
                at: now,
                stood_still: gap,
            });
            self.is_new = true;
        }
        match self.last_wake {
            Some(wake) if now.saturating_sub(wake.at) < SETTLE_TIME => wake.stood_still,
            _ => Duration::ZERO,
        }
    }
}
