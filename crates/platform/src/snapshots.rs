//! Snapshots in a stream of the log.

use std::time::Duration;

use base::Offset;
use ledger::Snapshot;

use crate::client::LogClient;
use crate::error::AppendError;
use crate::error::LogError;
use crate::wire;

/// Latest records among which the newest snapshot is looked for. Two daemons that each took
/// themselves for the controller may have written theirs in the wrong order, and one may be
/// damaged.
const CANDIDATES: u64 = 4;

/// Snapshots in a stream of their own.
pub struct SnapshotStore {
    log: LogClient,
}

impl SnapshotStore {
    /// A store over a client of the snapshots' stream.
    #[must_use]
    pub fn new(log: LogClient) -> Self {
        Self { log }
    }

    /// The snapshot that reaches furthest among the latest ones; `None` where there is none.
    ///
    /// # Errors
    /// When the log is out or slow.
    pub async fn latest(&self) -> Result<Option<Snapshot>, LogError> {
        let bounds = self.log.bounds().await?;
        let Some(from) = first_candidate(bounds) else {
            return Ok(None);
        };
        let mut best: Option<Snapshot> = None;
        for text in self.log.read_texts(from, bounds.next).await? {
            let Ok(snapshot) = Snapshot::from_text(&text) else {
                log::warn!("snapshots: passed over a damaged one");
                continue;
            };
            let is_better = |best: &Snapshot| snapshot.state.next > best.state.next;
            if best.as_ref().is_none_or(is_better) {
                best = Some(snapshot);
            }
        }
        Ok(best)
    }

    /// Appends a snapshot.
    ///
    /// # Errors
    /// When no attempt was answered in time. A second copy of a snapshot does no harm.
    pub async fn write(&self, snapshot: &Snapshot) -> Result<Offset, AppendError> {
        self.log.append_text(&snapshot.to_text()).await
    }

    /// Closes idle connections.
    pub fn close(self) {
        self.log.close();
    }
}

fn first_candidate(bounds: wire::Bounds) -> Option<Offset> {
    let from = bounds.next.saturating_sub(CANDIDATES).max(bounds.oldest);
    (from < bounds.next).then_some(from)
}

impl LogClient {
    /// Texts of the records of a range. Those that expire meanwhile are left out.
    async fn read_texts(&self, from: Offset, end: Offset) -> Result<Vec<String>, LogError> {
        let mut texts = Vec::new();
        let mut from = from;
        while from < end {
            // One at a time, since each may be as large as an answer may be.
            match self.read_stored(from, 1, Duration::ZERO).await {
                Ok(records) => {
                    from = records.next.max(from + 1);
                    texts.extend(records.records.into_iter().map(|record| record.data));
                }
                Err(LogError::Expired { oldest, .. }) => from = oldest.max(from + 1),
                Err(e) => return Err(e),
            }
        }
        Ok(texts)
    }
}
