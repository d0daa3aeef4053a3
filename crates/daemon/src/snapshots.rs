//! Writes snapshots of the state to the log while this daemon holds the current epoch.
//!
//! With snapshots, a cold daemon can start after old records of the log have expired.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

use base::Offset;
use ledger::Snapshot;
use ledger::State;
use platform::AppendError;
use platform::LogClient;
use platform::LogError;
use platform::ScheduleCfg;
use platform::SnapshotSchedule;
use platform::SnapshotStore;

use crate::feed::log_cfg;
use crate::shared_state::SharedState;
use crate::shared_state::ShutdownPhase;

/// Time between two checks whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Why a snapshot that may be due was not written. The next check tries again.
#[derive(Debug)]
enum WriteError {
    /// The log's bounds or its latest snapshot could not be read.
    Read(LogError),
    /// The append failed.
    Append(AppendError),
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(e) => write!(f, "cannot read the log: {e}"),
            Self::Append(e) => write!(f, "cannot append the snapshot: {e}"),
        }
    }
}

impl From<LogError> for WriteError {
    fn from(e: LogError) -> Self {
        Self::Read(e)
    }
}

impl From<AppendError> for WriteError {
    fn from(e: AppendError) -> Self {
        Self::Append(e)
    }
}

/// Writes snapshots while this daemon holds the current epoch.
///
/// Two daemons that both act as the holder do no harm: snapshots of the same offset are equal, and
/// readers take the one with the highest offset.
pub(crate) struct SnapshotWriter {
    shared: SharedState,
    records: LogClient,
    store: SnapshotStore,
    /// `None` while another daemon is the holder, whose snapshots are not tracked here.
    schedule: Option<SnapshotSchedule>,
}

impl SnapshotWriter {
    pub(crate) fn new(shared: &SharedState) -> Self {
        let address = shared.daemon_cfg.settings.log.address;
        let streams = shared.daemon_cfg.streams();
        let client = |stream| LogClient::new(address, stream, log_cfg(shared));
        Self {
            shared: shared.clone(),
            records: client(streams.records),
            store: SnapshotStore::new(client(streams.snapshots)),
            schedule: None,
        }
    }

    /// Checks periodically until the daemon shuts down.
    pub(crate) async fn run(mut self) {
        while *self.shared.shutdown.get() == ShutdownPhase::NotStarted {
            match self.write_if_due().await {
                Ok(Some(next)) => log::info!("snapshots: wrote a snapshot up to offset {next}"),
                Ok(None) => {}
                Err(e) => log::warn!("snapshots: {e}"),
            }
            monoio::time::sleep(CHECK_INTERVAL).await;
        }
        self.records.close();
        self.store.close();
    }

    /// Writes a snapshot if one is due and returns the offset of the first record after it.
    async fn write_if_due(&mut self) -> Result<Option<Offset>, WriteError> {
        if !is_epoch_holder(&self.shared) {
            self.schedule = None;
            return Ok(None);
        }
        let oldest = self.records.bounds().await?.oldest;
        let schedule = match self.schedule.take() {
            Some(schedule) => schedule,
            None => load_schedule(&self.store).await?,
        };
        let schedule = self.schedule.insert(schedule);
        // Cloned after the requests above, so that the snapshot is as recent as possible.
        let state = State::clone(&self.shared.state.get());
        let next = state.next;
        // A reader could not continue from a state that ends before the oldest record.
        if next < oldest || !schedule.is_due(next, oldest, Instant::now()) {
            return Ok(None);
        }
        self.store.write(&Snapshot { state }).await?;
        schedule.on_snapshot(next, Instant::now());
        Ok(Some(next))
    }
}

fn is_epoch_holder(shared: &SharedState) -> bool {
    shared.state.get().controller.as_ref() == Some(&shared.daemon_cfg.settings.daemon)
}

/// Creates a schedule that starts from the latest snapshot of the store.
async fn load_schedule(store: &SnapshotStore) -> Result<SnapshotSchedule, LogError> {
    let mut schedule = SnapshotSchedule::new(ScheduleCfg::default());
    if let Some(latest) = store.latest().await? {
        schedule.on_snapshot(latest.state.next, Instant::now());
    }
    Ok(schedule)
}
