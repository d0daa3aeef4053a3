//! Decides when the controller writes a snapshot, so that the log still holds the records after
//! the latest one. Does no I/O; the caller passes the time.

use std::time::Duration;
use std::time::Instant;

use base::Offset;

/// Bounds on how far the latest snapshot may lag behind the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduleCfg {
    /// Number of records after a snapshot at which the next one is due.
    pub max_records_behind: u64,
    /// Age of a snapshot at which the next one is due, also without new records, since the
    /// stream of snapshots has a retention too.
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
    latest: Option<LatestSnapshot>,
}

#[derive(Debug, Clone, Copy)]
struct LatestSnapshot {
    next: Offset,
    recorded_at: Instant,
}

impl SnapshotSchedule {
    /// Creates a schedule without a snapshot: one is due as soon as the state has any record.
    #[must_use]
    pub fn new(cfg: ScheduleCfg) -> Self {
        Self { cfg, latest: None }
    }

    /// Records that a snapshot with all records below `next` was written or found. Snapshots that
    /// end before the latest known one are ignored.
    pub fn on_snapshot(&mut self, next: Offset, now: Instant) {
        let is_older = |latest: &LatestSnapshot| next < latest.next;
        if !self.latest.as_ref().is_some_and(is_older) {
            self.latest = Some(LatestSnapshot {
                next,
                recorded_at: now,
            });
        }
    }

    /// Returns whether a snapshot is due for a state with all records below `next`, while the log
    /// holds the records from `oldest` on.
    ///
    /// The retention of the log is not known, so it is estimated from the oldest record: once
    /// records have expired, a snapshot in the older half of the remaining range is replaced.
    #[must_use]
    pub fn is_due(&self, next: Offset, oldest: Offset, now: Instant) -> bool {
        let Some(latest) = self.latest else {
            return next > 0;
        };
        let has_expired = oldest > 0;
        let middle = oldest + next.saturating_sub(oldest) / 2;
        next.saturating_sub(latest.next) >= self.cfg.max_records_behind
            || now.saturating_duration_since(latest.recorded_at) >= self.cfg.max_age
            || (has_expired && latest.next < middle)
    }
}
