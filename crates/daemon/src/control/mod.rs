//! The controller: claims the epoch, renews the lease and decides about moves.
//!
//! Begin reading at [`Control`]. Decisions are those of [`rollout::controller`]; the tasks here
//! give it time, reports and the shared's values, and carry its actions out.

mod appending;
mod deciding;
mod reporting;
mod spreading;

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
use crate::control::appending::Appender;
use crate::control::deciding::Decider;
use crate::control::reporting::Reporter;
use crate::control::spreading::Spreader;
#[cfg(test)]
pub(crate) use crate::control::spreading::readers;
use crate::shared_state::SharedState;

/// What one daemon's control part tells another's.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum Message {
    /// Evidence for the controller.
    Evidence(Vec<EvidenceReport>),
    /// The controller's renewal with the take-backs that it knows.
    Renewal {
        lease: Lease,
        facts: Vec<RollbackFact>,
    },
}

/// Takes messages of other daemons' control parts in.
pub struct Control {
    shared: SharedState,
    reports: unbounded::Tx<EvidenceReport>,
}

impl Control {
    /// Starts to report evidence, to watch for the controller, and to act as one when it is
    /// this daemon's turn.
    #[must_use]
    pub fn start(shared: &SharedState, calls: &UpstreamSide) -> Rc<Self> {
        let (tx, rx) = unbounded::channel();
        let control = Rc::new(Self {
            shared: shared.clone(),
            reports: tx,
        });
        let spreader = Spreader::new(shared, pool(shared));
        let reporter = Reporter::new(shared, Rc::clone(&control), pool(shared));
        monoio::spawn(reporter.run(calls.take_observations()));
        monoio::spawn(Decider::new(shared, rx, Appender::new(shared), spreader).run());
        control
    }

    /// One message of another daemon.
    pub fn handle_message(&self, req: &Request) -> Response {
        match codec::decode::<Message>(&req.body) {
            Ok(Message::Evidence(reports)) => self.take_reports(reports),
            Ok(Message::Renewal { lease, facts }) => {
                self.shared.merge_lease(lease);
                self.shared.merge_rollbacks(facts);
            }
            Err(e) => return Response::text(StatusCode::BAD_REQUEST, e.to_string()),
        }
        Response::new(StatusCode::OK, "")
    }

    fn take_reports(&self, reports: Vec<EvidenceReport>) {
        for report in reports {
            // The receiver empties the channel at each tick; it is gone when the daemon leaves.
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
