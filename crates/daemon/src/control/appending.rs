//! Appends of the controller's entries, and whether the log works.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use ledger::Entry;
use platform::LogClient;
use rollout::controller::LogHealth;

use crate::feed::log_cfg;
use crate::shared_state::SharedState;

/// Time between two questions to a log that did not work.
const ASK_EVERY: Duration = Duration::from_secs(2);

/// Appends entries, each in a task of its own. Clones share everything.
#[derive(Clone)]
pub(super) struct Appender {
    inner: Rc<Inner>,
}

struct Inner {
    client: LogClient,
    health: Cell<LogHealth>,
    asked: Cell<Option<Instant>>,
}

impl Appender {
    pub(super) fn new(shared: &SharedState) -> Self {
        let log = &shared.daemon_cfg.settings.log;
        let client = LogClient::new(log.address, log.stream.clone(), log_cfg(shared));
        let inner = Inner {
            client,
            health: Cell::new(LogHealth::Up),
            asked: Cell::new(None),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Whether the last exchange with the log worked.
    pub(super) fn health(&self) -> LogHealth {
        self.inner.health.get()
    }

    /// Begins to append an entry. The controller repeats it until it is folded.
    pub(super) fn append(&self, entry: Entry) {
        let inner = Rc::clone(&self.inner);
        monoio::spawn(async move {
            match inner.client.append(&entry).await {
                Ok(offset) => {
                    log::info!("control: {} is at offset {offset}", entry.id);
                    inner.health.set(LogHealth::Up);
                }
                Err(e) => {
                    log::warn!("control: cannot append {}: {e}", entry.id);
                    inner.health.set(LogHealth::Down);
                }
            }
        });
    }

    /// Asks a log that did not work whether it works again.
    pub(super) fn check(&self) {
        let is_early = self
            .inner
            .asked
            .get()
            .is_some_and(|asked| asked.elapsed() < ASK_EVERY);
        if self.health() == LogHealth::Up || is_early {
            return;
        }
        self.inner.asked.set(Some(Instant::now()));
        let inner = Rc::clone(&self.inner);
        monoio::spawn(async move {
            if inner.client.bounds().await.is_ok() {
                inner.health.set(LogHealth::Up);
            }
        });
    }
}
