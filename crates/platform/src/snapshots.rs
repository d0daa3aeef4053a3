//! Writes snapshots to a stream of the log and loads the latest one.

use std::time::Duration;

use base::Offset;
use ledger::Snapshot;

use crate::client::LogClient;
use crate::error::AppendError;
use crate::error::LogError;
use crate::wire;

/// Number of records at the end of the stream among which the latest snapshot is searched. Two
/// daemons that both acted as controller may have written their snapshots out of order, and one
/// may be damaged.
const MAX_CANDIDATES: u64 = 4;

/// Reads and writes the snapshots in their stream.
pub struct SnapshotStore {
    log: LogClient,
}

impl SnapshotStore {
    /// Creates a store on a client of the stream of snapshots.
    #[must_use]
    pub fn new(log: LogClient) -> Self {
        Self { log }
    }

    /// Returns the snapshot with the highest next offset among the last records of the stream;
    /// `None` if they hold no valid one.
    ///
    /// # Errors
    /// When the log is unavailable, times out or sends an invalid response.
    pub async fn latest(&self) -> Result<Option<Snapshot>, LogError> {
        let bounds = self.log.bounds().await?;
        let Some(from) = first_candidate(bounds) else {
            return Ok(None);
        };
        let mut newest: Option<Snapshot> = None;
        for text in self.log.read_texts(from, bounds.next).await? {
            let Ok(snapshot) = Snapshot::from_text(&text) else {
                log::warn!("snapshots: skipped a damaged snapshot");
                continue;
            };
            let is_later = |newest: &Snapshot| snapshot.state.next > newest.state.next;
            if newest.as_ref().is_none_or(is_later) {
                newest = Some(snapshot);
            }
        }
        Ok(newest)
    }

    /// Appends a snapshot and returns its offset in the stream.
    ///
    /// # Errors
    /// When no attempt succeeded within the append timeout of the client. Writing the snapshot
    /// again is safe, since duplicates are harmless.
    pub async fn write(&self, snapshot: &Snapshot) -> Result<Offset, AppendError> {
        self.log.append_text(&snapshot.to_text()).await
    }

    /// Closes the idle connections of the client.
    pub fn close(self) {
        self.log.close();
    }
}

fn first_candidate(bounds: wire::Bounds) -> Option<Offset> {
    let from = bounds
        .next
        .saturating_sub(MAX_CANDIDATES)
        .max(bounds.oldest);
    (from < bounds.next).then_some(from)
}

impl LogClient {
    /// Returns the texts of the records from `from` up to but not including `end`. Skips records
    /// that expire during the reads.
    async fn read_texts(&self, from: Offset, end: Offset) -> Result<Vec<String>, LogError> {
        let mut texts = Vec::new();
        let mut from = from;
        while from < end {
            // Reads one record at a time, since each may be as large as the largest response.
            match self.read_stored(from, 1, Duration::ZERO).await {
                Ok(page) => {
                    from = page.next.max(from + 1);
                    texts.extend(page.records.into_iter().map(|record| record.data));
                }
                Err(LogError::Expired { oldest, .. }) => from = oldest.max(from + 1),
                Err(e) => return Err(e),
            }
        }
        Ok(texts)
    }
}
