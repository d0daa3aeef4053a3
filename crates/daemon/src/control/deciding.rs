//! Ticks of the controller core.

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

use crate::control::appending::Appender;
use crate::control::spreading::Spreader;
use crate::shared_state::SharedState;
use crate::shared_state::ShutdownPhase;

/// Owns the controller core of this daemon.
pub(super) struct Decider {
    shared: SharedState,
    core: Controller,
    reports: unbounded::Rx<EvidenceReport>,
    appender: Appender,
    spreader: Spreader,
}

impl Decider {
    pub(super) fn new(
        shared: &SharedState,
        reports: unbounded::Rx<EvidenceReport>,
        appender: Appender,
        spreader: Spreader,
    ) -> Self {
        let me = shared.daemon_cfg.settings.daemon.clone();
        Self {
            shared: shared.clone(),
            core: Controller::new(me, shared.daemon_cfg.incarnation),
            reports,
            appender,
            spreader,
        }
    }

    /// Ticks until the daemon leaves; then another one claims the epoch.
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
            self.act(action);
        }
        if self.core.epoch().is_some() {
            self.appender.check();
        }
    }

    fn decide(&mut self, now: TickTime) -> Vec<Action> {
        // What waited during a pause is from before it, so it comes before the tick that
        // notices the pause.
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
            warm_slots: &slots(&self.shared.endpoints.get()),
            log: self.appender.health(),
        };
        self.core.on_tick(now, &view, &self.shared.lease_watch())
    }

    fn act(&self, action: Action) {
        match action {
            Action::Claim { epoch, entry } => {
                log::info!("control: claiming epoch {epoch}");
                self.appender.append(entry);
            }
            Action::Renew(lease) => {
                self.shared.merge_lease(lease);
                self.spreader.spread();
            }
            Action::Append(entry) => self.appender.append(entry),
            Action::BroadcastRollback(fact) => {
                log::warn!(
                    "control: taking ticket {} back: {}",
                    fact.ticket,
                    fact.reason
                );
                self.shared.merge_rollbacks([fact]);
                self.spreader.spread();
            }
        }
    }

    /// Live members; this daemon is one in any case.
    fn members(&self) -> Vec<DaemonId> {
        let peers = self.shared.peers.get();
        let mut members: BTreeSet<DaemonId> =
            peers.iter().map(|peer| peer.daemon.clone()).collect();
        members.insert(self.shared.daemon_cfg.settings.daemon.clone());
        members.into_iter().collect()
    }
}

/// Slots of instances that take calls and are past their cold start.
fn slots(endpoints: &[Endpoint]) -> WarmSlots {
    let mut slots = WarmSlots::new();
    for endpoint in endpoints {
        if endpoint.is_serving() && endpoint.first_seen.elapsed() >= endpoint.cold_start {
            let key = (endpoint.service.clone(), endpoint.version.clone());
            *slots.entry(key).or_default() += endpoint.slots;
        }
    }
    slots
}
