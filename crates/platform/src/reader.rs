//! What a reader of the log does next. Pure: no I/O and no clock.

use std::time::Duration;

use base::Offset;

use crate::backoff::Backoff;
use crate::error::LogError;

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadStep {
    /// Read records from this offset on.
    Read {
        /// Offset of the first record wanted.
        from: Offset,
    },
    /// Load the latest snapshot.
    LoadSnapshot,
    /// Wait this long, then ask again.
    Wait(Duration),
}

/// Decides between the log, a snapshot and a pause. The offset never falls.
#[derive(Debug, Clone)]
pub struct LogReader {
    next: Offset,
    source: Source,
    pause: Option<Duration>,
    backoff: Backoff,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// Nothing is known yet: a snapshot is better than the whole log.
    Cold,
    /// The log has the next record.
    Log,
    /// The log no longer has the next record.
    Expired,
}

impl LogReader {
    /// A reader that knows nothing yet.
    #[must_use]
    pub fn cold_start(backoff: Backoff) -> Self {
        Self {
            next: 0,
            source: Source::Cold,
            pause: None,
            backoff,
        }
    }

    /// A reader that has all records below `next`.
    #[must_use]
    pub fn resume(next: Offset, backoff: Backoff) -> Self {
        Self {
            next,
            source: Source::Log,
            ..Self::cold_start(backoff)
        }
    }

    /// Offset of the first record that is still wanted.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// What to do next. A pause is named once; the step after it is the one that failed.
    pub fn next_step(&mut self) -> ReadStep {
        if let Some(pause) = self.pause.take() {
            return ReadStep::Wait(pause);
        }
        match self.source {
            Source::Cold | Source::Expired => ReadStep::LoadSnapshot,
            Source::Log => ReadStep::Read { from: self.next },
        }
    }

    /// Records up to `next` came.
    pub fn on_records(&mut self, next: Offset) {
        self.next = self.next.max(next);
        self.backoff.reset();
    }

    /// The latest snapshot has all records below `next`; `None` where there is none.
    pub fn on_snapshot(&mut self, next: Option<Offset>) {
        let gained = next.is_some_and(|next| next > self.next);
        if let Some(next) = next.filter(|_| gained) {
            self.next = next;
        }
        match self.source {
            // Without a later snapshot the log would only say again that the record has expired.
            Source::Expired if !gained => self.pause = Some(self.backoff.next_delay()),
            Source::Cold | Source::Expired | Source::Log => self.source = Source::Log,
        }
    }

    /// The step failed.
    pub fn on_error(&mut self, error: &LogError) {
        match error {
            LogError::Expired { .. } => self.source = Source::Expired,
            LogError::Throttled(after) => {
                self.pause = Some(*after + self.backoff.next_delay());
            }
            LogError::Unavailable(_)
            | LogError::Timeout
            | LogError::RecordsLost { .. }
            | LogError::InvalidResponse(_) => {
                self.pause = Some(self.backoff.next_delay());
            }
        }
    }
}
