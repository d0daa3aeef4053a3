//! Snapshots that the holder of the epoch in force writes.

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

/// Time between two looks at whether a snapshot is due.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Why a snapshot that may be due was not written. The next look tries again.
#[derive(Debug)]
enum WriteError {
    /// The log did not say what it holds.
    Look(LogError),
    /// The append failed.
    Append(AppendError),
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Look(e) => write!(f, "cannot look at the log: {e}"),
            Self::Append(e) => write!(f, "cannot write: {e}"),
        }
    }
}

impl From<LogError> for WriteError {
    fn from(e: LogError) -> Self {
        Self::Look(e)
    }
}

impl From<AppendError> for WriteError {
    fn from(e: AppendError) -> Self {
        Self::Append(e)
    }
}

/// Writes snapshots while this daemon holds the epoch in force.
///
/// Two daemons that both take themselves for the holder do no harm: snapshots of the same
/// offset are equal, and readers take the one that reaches furthest.
pub(crate) struct SnapshotWriter {
    shared: SharedState,
    records: LogClient,
    store: SnapshotStore,
    /// `None` while another daemon writes: its snapshots are not known here.
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

    /// Looks again and again, until the daemon leaves.
    pub(crate) async fn run(mut self) {
        while *self.shared.shutdown.get() == ShutdownPhase::NotStarted {
            match self.look().await {
                Ok(Some(next)) => log::info!("snapshots: wrote one up to offset {next}"),
                Ok(None) => {}
                Err(e) => log::warn!("snapshots: {e}"),
            }
            monoio::time::sleep(LOOK_EVERY).await;
        }
        self.records.close();
        self.store.close();
    }

    /// Writes a snapshot if one is due and gives the offset that it reaches to.
    async fn look(&mut self) -> Result<Option<Offset>, WriteError> {
        if !is_holder(&self.shared) {
            self.schedule = None;
            return Ok(None);
        }
        let oldest = self.records.bounds().await?.oldest;
        let schedule = match self.schedule.take() {
            Some(schedule) => schedule,
            None => found(&self.store).await?,
        };
        let schedule = self.schedule.insert(schedule);
        // Taken after the waits above, so that it is as new as can be.
        let state = State::clone(&self.shared.state.get());
        let next = state.next;
        // A state that ends before the oldest record would help no reader.
        if next < oldest || !schedule.is_due(next, oldest, Instant::now()) {
            return Ok(None);
        }
        self.store.write(&Snapshot { state }).await?;
        schedule.on_snapshot(next, Instant::now());
        Ok(Some(next))
    }
}

fn is_holder(shared: &SharedState) -> bool {
    shared.state.get().controller.as_ref() == Some(&shared.daemon_cfg.settings.daemon)
}

/// A schedule that knows the latest snapshot of the store.
async fn found(store: &SnapshotStore) -> Result<SnapshotSchedule, LogError> {
    let mut schedule = SnapshotSchedule::new(ScheduleCfg::default());
    if let Some(latest) = store.latest().await? {
        schedule.on_snapshot(latest.state.next, Instant::now());
    }
    Ok(schedule)
}
