//! Follows the log and folds what comes.

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

/// Records that one read asks for.
const PAGE_RECORDS: usize = 256;

/// What one step brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// These records were folded.
    Folded(Vec<Folded>),
    /// The log had nothing new; the state holds all that it has.
    CaughtUp,
    /// The state was replaced by that of a snapshot.
    Restored,
    /// No snapshot helped; the next step goes on.
    NoSnapshot,
    /// The step failed; the next one waits.
    Failed(LogError),
    /// A pause has passed.
    Waited,
}

/// A record and what it did to the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Folded {
    /// The record.
    pub record: StampedRecord,
    /// What it did.
    pub applied: Applied,
}

/// Follows the log from the latest snapshot on.
pub struct Follower {
    log: LogClient,
    snapshots: SnapshotStore,
    reader: LogReader,
    state: State,
    oldest: Offset,
}

impl Follower {
    /// A follower that knows nothing yet.
    #[must_use]
    pub fn cold_start(address: SocketAddr, cfg: LogCfg) -> Self {
        Self::with_state(address, cfg, State::default(), LogReader::cold_start)
    }

    /// A follower that goes on from a state.
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
        let (log, snapshots) = clients(address, cfg, &Streams::default());
        Self {
            log,
            snapshots,
            reader: reader(Backoff::new(cfg.backoff, cfg.seed)),
            state,
            oldest: 0,
        }
    }

    /// The same follower on streams of other names than the default ones.
    #[must_use]
    pub fn with_streams(mut self, streams: &Streams) -> Self {
        let cfg = *self.log.cfg();
        (self.log, self.snapshots) = clients(self.log.address(), cfg, streams);
        self
    }

    /// Offset of the oldest record that the log held at the last read.
    #[must_use]
    pub fn oldest(&self) -> Offset {
        self.oldest
    }

    /// The state so far.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Client of the records' stream.
    #[must_use]
    pub fn log(&self) -> &LogClient {
        &self.log
    }

    /// Store of the snapshots.
    #[must_use]
    pub fn snapshots(&self) -> &SnapshotStore {
        &self.snapshots
    }

    /// Takes the next step; a read waits up to `wait` for new records.
    pub async fn advance(&mut self, wait: Duration) -> Progress {
        match self.reader.next_step() {
            ReadStep::Wait(pause) => {
                monoio::time::sleep(pause).await;
                Progress::Waited
            }
            ReadStep::LoadSnapshot => match self.snapshots.latest().await {
                Ok(latest) => self.restore(latest),
                Err(e) => self.fail(e),
            },
            ReadStep::Read { from } => match self.log.read(from, PAGE_RECORDS, wait).await {
                Ok(page) => self.fold(page),
                Err(e) => self.fail(e),
            },
        }
    }

    /// Closes idle connections and hands out the state.
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

    fn fold(&mut self, page: Page) -> Progress {
        self.reader.on_records(page.next);
        self.oldest = page.oldest;
        if page.records.is_empty() {
            return Progress::CaughtUp;
        }
        let fold = |record: StampedRecord| {
            let applied = self.state.apply(&record);
            Folded { record, applied }
        };
        Progress::Folded(page.records.into_iter().map(fold).collect())
    }

    fn fail(&mut self, error: LogError) -> Progress {
        self.reader.on_error(&error);
        Progress::Failed(error)
    }
}

fn clients(address: SocketAddr, cfg: LogCfg, streams: &Streams) -> (LogClient, SnapshotStore) {
    let client = |stream: &SmolStr| LogClient::new(address, stream.clone(), cfg);
    let snapshots = SnapshotStore::new(client(&streams.snapshots));
    (client(&streams.records), snapshots)
}
