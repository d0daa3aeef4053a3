//! The controller: claims the epoch, renews the lease and decides about rollouts.
//!
//! [`Control`] is the entry point. [`rollout::controller`] makes the decisions; the tasks here pass
//! it time, evidence reports and values of the shared state, and execute its actions.

mod appender;
mod broadcaster;
mod controller_task;
mod reporter;

use std::rc::Rc;

use http::StatusCode;
use http_edge::Pool;
use http_edge::PoolCfg;
use http_edge::Request;
use http_edge::Response;
use local_sync::mpsc::unbounded;
use protocol::codec;
use protocol::evidence::EvidenceReport;
use protocol::feed::Lease;
use protocol::feed::RollbackFact;
use serde::Deserialize;
use serde::Serialize;

use crate::calls::UpstreamSide;
use crate::control::appender::Appender;
use crate::control::broadcaster::Broadcaster;
#[cfg(test)]
pub(crate) use crate::control::broadcaster::zone_readers;
use crate::control::controller_task::ControllerTask;
use crate::control::reporter::Reporter;
use crate::shared_state::SharedState;

/// Message between the control parts of two daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum Message {
    /// Evidence for the controller.
    Evidence(Vec<EvidenceReport>),
    /// Renewal of the controller's lease, with all rollbacks that the controller knows.
    Renewal {
        lease: Lease,
        facts: Vec<RollbackFact>,
    },
}

/// Receives messages from the control parts of other daemons.
pub struct Control {
    shared: SharedState,
    reports: unbounded::Tx<EvidenceReport>,
}

impl Control {
    /// Starts the tasks that report evidence, watch the lease, and act as the controller while this
    /// daemon holds the epoch.
    #[must_use]
    pub fn start(shared: &SharedState, calls: &UpstreamSide) -> Rc<Self> {
        let (tx, rx) = unbounded::channel();
        let control = Rc::new(Self {
            shared: shared.clone(),
            reports: tx,
        });
        let broadcaster = Broadcaster::new(shared, pool(shared));
        let reporter = Reporter::new(shared, Rc::clone(&control), pool(shared));
        monoio::spawn(reporter.run(calls.take_observations()));
        monoio::spawn(ControllerTask::new(shared, rx, Appender::new(shared), broadcaster).run());
        control
    }

    /// Handles a message of another daemon; an unreadable one gets status 400.
    pub fn handle_message(&self, req: &Request) -> Response {
        match codec::decode::<Message>(&req.body.to_bytes()) {
            Ok(Message::Evidence(reports)) => self.accept_reports(reports),
            Ok(Message::Renewal { lease, facts }) => {
                self.shared.merge_lease(lease);
                self.shared.merge_rollbacks(facts);
            }
            Err(e) => return Response::text(StatusCode::BAD_REQUEST, e.to_string()),
        }
        Response::new(StatusCode::OK, "")
    }

    fn accept_reports(&self, reports: Vec<EvidenceReport>) {
        for report in reports {
            // The receiver drains the channel at each tick and is dropped when the daemon shuts down.
            let _ = self.reports.send(report);
        }
    }
}

fn pool(shared: &SharedState) -> Pool {
    Pool::new(PoolCfg {
        connect_timeout: shared.daemon_cfg.settings.timing.connect,
        ..PoolCfg::default()
    })
}
