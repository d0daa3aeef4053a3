//! Runs the controller core: ticks it and executes its actions.

use std::collections::BTreeSet;
use std::time::Instant;
use std::time::SystemTime;

use base::DaemonId;
use base::units::unix_millis;
use local_sync::mpsc::unbounded;
use protocol::evidence::EvidenceReport;
use protocol::feed::RollbackFact;
use rollout::controller::Action;
use rollout::controller::ClusterView;
use rollout::controller::Controller;
use rollout::controller::TICK_INTERVAL;
use rollout::controller::TickTime;
use rollout::controller::WarmSlots;
use routing::Endpoint;

use crate::control::appender::Appender;
use crate::control::broadcaster::Broadcaster;
use crate::shared_state::SharedState;
use crate::shared_state::ShutdownPhase;

/// Owns the controller core of this daemon.
pub(super) struct ControllerTask {
    shared: SharedState,
    core: Controller,
    reports: unbounded::Rx<EvidenceReport>,
    appender: Appender,
    broadcaster: Broadcaster,
}

impl ControllerTask {
    pub(super) fn new(
        shared: &SharedState,
        reports: unbounded::Rx<EvidenceReport>,
        appender: Appender,
        broadcaster: Broadcaster,
    ) -> Self {
        let me = shared.daemon_cfg.settings.daemon.clone();
        Self {
            shared: shared.clone(),
            core: Controller::new(me, shared.daemon_cfg.incarnation),
            reports,
            appender,
            broadcaster,
        }
    }

    /// Ticks until the daemon shuts down; another daemon claims the epoch then.
    pub(super) async fn run(mut self) {
        while *self.shared.shutdown.get() == ShutdownPhase::NotStarted {
            self.tick();
            monoio::time::sleep(TICK_INTERVAL).await;
        }
    }

    fn tick(&mut self) {
        let now = TickTime {
            monotonic: Instant::now(),
            wall: unix_millis(SystemTime::now()),
        };
        let actions = self.decide(now);
        for action in actions {
            self.execute(action);
        }
        if self.core.epoch().is_some() {
            self.appender.probe_if_down();
        }
    }

    fn decide(&mut self, now: TickTime) -> Vec<Action> {
        // Reports that queued up during a pause of this process are older than the pause, so they
        // are passed on before the tick that detects it.
        while let Ok(report) = self.reports.try_recv() {
            self.core.on_report(report);
        }
        let state = self.shared.state.get();
        let members = self.members();
        let facts: Vec<RollbackFact> = self.shared.rollbacks.get().iter().cloned().collect();
        let view = ClusterView {
            state: &state,
            members: &members,
            rollbacks: &facts,
            warm_slots: &warm_slots_of(&self.shared.endpoints.get()),
            log: self.appender.health(),
        };
        self.core.on_tick(now, &view, &self.shared.lease_watch())
    }

    fn execute(&self, action: Action) {
        match action {
            Action::Claim { epoch, entry } => {
                log::info!("control: claiming epoch {epoch}");
                self.appender.append(entry);
            }
            Action::Renew(lease) => {
                self.shared.merge_lease(lease);
                self.broadcaster.broadcast();
            }
            Action::Append(entry) => self.appender.append(entry),
            Action::BroadcastRollback(fact) => {
                log::warn!(
                    "control: rolling back ticket {}: {}",
                    fact.ticket,
                    fact.reason
                );
                self.shared.merge_rollbacks([fact]);
                self.broadcaster.broadcast();
            }
        }
    }

    /// Live members; always includes this daemon.
    fn members(&self) -> Vec<DaemonId> {
        let peers = self.shared.peers.get();
        let mut members: BTreeSet<DaemonId> =
            peers.iter().map(|peer| peer.daemon.clone()).collect();
        members.insert(self.shared.daemon_cfg.settings.daemon.clone());
        members.into_iter().collect()
    }
}

/// Sums the slots of instances that accept calls and have finished their cold start.
fn warm_slots_of(endpoints: &[Endpoint]) -> WarmSlots {
    let mut slots = WarmSlots::new();
    for endpoint in endpoints {
        if endpoint.is_serving() && endpoint.first_seen.elapsed() >= endpoint.cold_start {
            let key = (endpoint.service.clone(), endpoint.version.clone());
            *slots.entry(key).or_default() += endpoint.slots;
        }
    }
    slots
}
