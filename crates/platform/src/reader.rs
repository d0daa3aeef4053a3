//! Decides what a reader of the log does next. Does no I/O and reads no clock.

use std::time::Duration;

use base::Offset;

use crate::backoff::Backoff;
use crate::error::LogError;

/// Next step of a reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadStep {
    /// Read records from this offset on.
    Read {
        /// Offset of the first record to read.
        from: Offset,
    },
    /// Load the latest snapshot.
    LoadSnapshot,
    /// Wait this long, then call [`LogReader::next_step`] again.
    Wait(Duration),
}

/// Decides between reading the log, loading a snapshot and waiting. The offset never decreases.
#[derive(Debug, Clone)]
pub struct LogReader {
    next: Offset,
    source: Source,
    delay: Option<Duration>,
    backoff: Backoff,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// No state yet: a snapshot is cheaper to load than the whole log.
    Cold,
    /// The log has the next record.
    Log,
    /// The log no longer has the next record.
    Expired,
}

impl LogReader {
    /// Creates a reader without a state; it loads a snapshot first.
    #[must_use]
    pub fn cold_start(backoff: Backoff) -> Self {
        Self {
            next: 0,
            source: Source::Cold,
            delay: None,
            backoff,
        }
    }

    /// Creates a reader that has all records below `next`.
    #[must_use]
    pub fn resume(next: Offset, backoff: Backoff) -> Self {
        Self {
            next,
            source: Source::Log,
            ..Self::cold_start(backoff)
        }
    }

    /// Returns the offset of the first record that the reader does not have.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns the next step. A delay is returned once; the step after it is the one that failed.
    pub fn next_step(&mut self) -> ReadStep {
        if let Some(delay) = self.delay.take() {
            return ReadStep::Wait(delay);
        }
        match self.source {
            Source::Cold | Source::Expired => ReadStep::LoadSnapshot,
            Source::Log => ReadStep::Read { from: self.next },
        }
    }

    /// Advances to `next` after a read and resets the backoff.
    pub fn on_records(&mut self, next: Offset) {
        self.next = self.next.max(next);
        self.backoff.reset();
    }

    /// Handles the result of a snapshot load. The snapshot has all records below `next`; `None`
    /// if there is no snapshot.
    pub fn on_snapshot(&mut self, next: Option<Offset>) {
        let is_newer = next.is_some_and(|next| next > self.next);
        if let Some(next) = next.filter(|_| is_newer) {
            self.next = next;
        }
        match self.source {
            // Without a later snapshot, the next read would only fail as expired again.
            Source::Expired if !is_newer => self.delay = Some(self.backoff.next_delay()),
            Source::Cold | Source::Expired | Source::Log => self.source = Source::Log,
        }
    }

    /// Handles the failure of a step: an expired record leads to a snapshot, any other error to a
    /// delay.
    pub fn on_error(&mut self, error: &LogError) {
        match error {
            LogError::Expired { .. } => self.source = Source::Expired,
            LogError::Throttled(min_delay) => {
                self.delay = Some(*min_delay + self.backoff.next_delay());
            }
            LogError::Unavailable(_)
            | LogError::Timeout
            | LogError::RecordsLost { .. }
            | LogError::InvalidResponse(_) => {
                self.delay = Some(self.backoff.next_delay());
            }
        }
    }
}
