//! Appends the controller's entries to the log and tracks whether the log works.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use ledger::Entry;
use platform::LogClient;
use rollout::controller::LogHealth;

use crate::feed::log_cfg;
use crate::shared_state::SharedState;

/// Time between two probes of a log whose last append failed.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Appends entries, each in its own task. Clones share the client and the health.
#[derive(Clone)]
pub(super) struct Appender {
    inner: Rc<Inner>,
}

struct Inner {
    client: LogClient,
    health: Cell<LogHealth>,
    last_probe: Cell<Option<Instant>>,
}

impl Appender {
    pub(super) fn new(shared: &SharedState) -> Self {
        let log = &shared.daemon_cfg.settings.log;
        let client = LogClient::new(log.address, log.stream.clone(), log_cfg(shared));
        let inner = Inner {
            client,
            health: Cell::new(LogHealth::Up),
            last_probe: Cell::new(None),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Whether the last append or probe succeeded.
    pub(super) fn health(&self) -> LogHealth {
        self.inner.health.get()
    }

    /// Starts to append an entry. The controller repeats it until the entry is part of the state.
    pub(super) fn append(&self, entry: Entry) {
        let inner = Rc::clone(&self.inner);
        monoio::spawn(async move {
            match inner.client.append(&entry).await {
                Ok(offset) => {
                    log::info!("control: appended {} at offset {offset}", entry.id);
                    inner.health.set(LogHealth::Up);
                }
                Err(e) => {
                    log::warn!("control: cannot append {}: {e}", entry.id);
                    inner.health.set(LogHealth::Down);
                }
            }
        });
    }

    /// Probes the log if its last append failed, at most once per interval.
    pub(super) fn probe_if_down(&self) {
        let is_early = self
            .inner
            .last_probe
            .get()
            .is_some_and(|last_probe| last_probe.elapsed() < PROBE_INTERVAL);
        if self.health() == LogHealth::Up || is_early {
            return;
        }
        self.inner.last_probe.set(Some(Instant::now()));
        let inner = Rc::clone(&self.inner);
        monoio::spawn(async move {
            if inner.client.bounds().await.is_ok() {
                inner.health.set(LogHealth::Up);
            }
        });
    }
}
