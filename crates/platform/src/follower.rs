//! Follows the log and applies its records to a state.

use std::net::SocketAddr;
use std::time::Duration;

use base::Offset;
use ledger::Applied;
use ledger::Snapshot;
use ledger::StampedRecord;
use ledger::State;
use smol_str::SmolStr;

use crate::backoff::Backoff;
use crate::client::LogCfg;
use crate::client::LogClient;
use crate::client::Page;
use crate::error::LogError;
use crate::reader::LogReader;
use crate::reader::ReadStep;
use crate::snapshots::SnapshotStore;
use crate::streams::Streams;

/// Maximum number of records in one read.
const PAGE_RECORDS: usize = 256;

/// Result of one step of a [`Follower`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// These records were applied to the state.
    Folded(Vec<FoldedRecord>),
    /// The log had no new records; the state has all records of the log.
    CaughtUp,
    /// The state was replaced by the state of a snapshot.
    Restored,
    /// There is no snapshot that is later than the state.
    NoSnapshot,
    /// The step failed; the next step waits or loads a snapshot.
    Failed(LogError),
    /// A delay after a failure has passed.
    Waited,
}

/// A record and its effect on the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoldedRecord {
    /// The record with its offset.
    pub record: StampedRecord,
    /// Its effect on the state.
    pub applied: Applied,
}

/// Follows the log from the latest snapshot or a given state on, and falls back to a snapshot when
/// the next record has expired.
pub struct Follower {
    log: LogClient,
    snapshots: SnapshotStore,
    reader: LogReader,
    state: State,
    oldest: Offset,
}

impl Follower {
    /// Creates a follower with an empty state; it loads the latest snapshot first.
    #[must_use]
    pub fn cold_start(address: SocketAddr, cfg: LogCfg) -> Self {
        Self::with_state(address, cfg, State::default(), LogReader::cold_start)
    }

    /// Creates a follower that continues from `state` with the record at `state.next`.
    #[must_use]
    pub fn resume(address: SocketAddr, cfg: LogCfg, state: State) -> Self {
        let next = state.next;
        let reader = |backoff| LogReader::resume(next, backoff);
        Self::with_state(address, cfg, state, reader)
    }

    fn with_state(
        address: SocketAddr,
        cfg: LogCfg,
        state: State,
        reader: impl FnOnce(Backoff) -> LogReader,
    ) -> Self {
        let (log, snapshots) = new_clients(address, cfg, &Streams::default());
        Self {
            log,
            snapshots,
            reader: reader(Backoff::new(cfg.backoff, cfg.seed)),
            state,
            oldest: 0,
        }
    }

    /// Replaces the default streams.
    #[must_use]
    pub fn with_streams(mut self, streams: &Streams) -> Self {
        let cfg = *self.log.cfg();
        (self.log, self.snapshots) = new_clients(self.log.address(), cfg, streams);
        self
    }

    /// Returns the offset of the oldest record that the log held at the last successful read; 0
    /// before it.
    #[must_use]
    pub fn oldest(&self) -> Offset {
        self.oldest
    }

    /// Returns the state after the records applied so far.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the client of the stream of records.
    #[must_use]
    pub fn log(&self) -> &LogClient {
        &self.log
    }

    /// Returns the store of the snapshots.
    #[must_use]
    pub fn snapshots(&self) -> &SnapshotStore {
        &self.snapshots
    }

    /// Runs the next step; a read waits up to `wait` for new records.
    pub async fn advance(&mut self, wait: Duration) -> Progress {
        match self.reader.next_step() {
            ReadStep::Wait(delay) => {
                monoio::time::sleep(delay).await;
                Progress::Waited
            }
            ReadStep::LoadSnapshot => match self.snapshots.latest().await {
                Ok(latest) => self.restore(latest),
                Err(e) => self.record_failure(e),
            },
            ReadStep::Read { from } => match self.log.read(from, PAGE_RECORDS, wait).await {
                Ok(page) => self.apply_page(page),
                Err(e) => self.record_failure(e),
            },
        }
    }

    /// Closes the idle connections and returns the state.
    #[must_use]
    pub fn close(self) -> State {
        self.log.close();
        self.snapshots.close();
        self.state
    }

    fn restore(&mut self, latest: Option<Snapshot>) -> Progress {
        self.reader
            .on_snapshot(latest.as_ref().map(|s| s.state.next));
        match latest {
            Some(latest) if latest.state.next > self.state.next => {
                self.state = latest.state;
                Progress::Restored
            }
            _ => Progress::NoSnapshot,
        }
    }

    fn apply_page(&mut self, page: Page) -> Progress {
        self.reader.on_records(page.next);
        self.oldest = page.oldest;
        if page.records.is_empty() {
            return Progress::CaughtUp;
        }
        let apply_record = |record: StampedRecord| {
            let applied = self.state.apply(&record);
            FoldedRecord { record, applied }
        };
        Progress::Folded(page.records.into_iter().map(apply_record).collect())
    }

    fn record_failure(&mut self, error: LogError) -> Progress {
        self.reader.on_error(&error);
        Progress::Failed(error)
    }
}

fn new_clients(address: SocketAddr, cfg: LogCfg, streams: &Streams) -> (LogClient, SnapshotStore) {
    let client = |stream: &SmolStr| LogClient::new(address, stream.clone(), cfg);
    let snapshots = SnapshotStore::new(client(&streams.snapshots));
    (client(&streams.records), snapshots)
}
