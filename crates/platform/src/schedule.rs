//! When the controller writes a snapshot. Pure: time comes in as an argument.

use std::time::Duration;
use std::time::Instant;

use base::Offset;

/// Bounds on how far the latest snapshot may lag behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduleCfg {
    /// Records after a snapshot before the next one.
    pub max_records_behind: u64,
    /// Time after a snapshot before the next one, also without new records: the stream of
    /// snapshots has a retention too.
    pub max_age: Duration,
}

impl Default for ScheduleCfg {
    fn default() -> Self {
        Self {
            max_records_behind: 500,
            max_age: Duration::from_mins(10),
        }
    }
}

/// Decides when a snapshot is due.
#[derive(Debug, Clone)]
pub struct SnapshotSchedule {
    cfg: ScheduleCfg,
    last: Option<Written>,
}

#[derive(Debug, Clone, Copy)]
struct Written {
    next: Offset,
    at: Instant,
}

impl SnapshotSchedule {
    /// A schedule that knows of no snapshot.
    #[must_use]
    pub fn new(cfg: ScheduleCfg) -> Self {
        Self { cfg, last: None }
    }

    /// A snapshot with all records below `next` was written or found.
    pub fn on_snapshot(&mut self, next: Offset, now: Instant) {
        let is_older = |last: &Written| next < last.next;
        if !self.last.as_ref().is_some_and(is_older) {
            self.last = Some(Written { next, at: now });
        }
    }

    /// Whether a snapshot of the state that reaches to `next` is due, while the log holds the
    /// records from `oldest` on.
    ///
    /// The retention of the log is not known, so its oldest record stands for it: a snapshot in
    /// the older half of what is left is replaced.
    #[must_use]
    pub fn is_due(&self, next: Offset, oldest: Offset, now: Instant) -> bool {
        let Some(last) = self.last else {
            return next > 0;
        };
        let has_expired = oldest > 0;
        let middle = oldest + next.saturating_sub(oldest) / 2;
        next.saturating_sub(last.next) >= self.cfg.max_records_behind
            || now.saturating_duration_since(last.at) >= self.cfg.max_age
            || (has_expired && last.next < middle)
    }
}
