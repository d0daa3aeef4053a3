//! Evidence on the version of the local instance, counted from its answers.

use std::net::SocketAddr;
use std::time::Duration;

use base::FastMap;
use base::UnixMillis;
use mesh::config::RouteName;
use mesh::evidence::Evidence;
use mesh::evidence::EvidencePages;
use mesh::evidence::RouteStats;
use mesh::wire::ForwardHead;

use crate::dispatcher::InstanceDispatcher;
use crate::node::Node;

/// What a request contributes to the canary evidence on the instance's version.
#[derive(Debug, Clone, Copy)]
pub(crate) enum EvidenceSample {
    Answer { took: Duration, is_failure: bool },
    Missing,
}

/// What has been told to whom.
#[derive(Default)]
pub(crate) struct ToldEvidence {
    controller: Option<SocketAddr>,
    to_controller: EvidencePages,
    to_others: EvidencePages,
}

/// Evidence by route on the instance that was created at `born`.
#[derive(Default)]
pub(crate) struct RouteCounts {
    pub(crate) born: UnixMillis,
    pub(crate) routes: FastMap<RouteName, RouteStats>,
}

impl InstanceDispatcher {
    /// Returns the evidence on the current instance, of all routes; `None` if there is none. Requests during the
    /// instance's cold phase do not count.
    pub fn evidence(&self, node: &Node) -> Option<Evidence> {
        let local = node.local.borrow();
        let heartbeat = local.last_heartbeat()?;
        let counts = self.counts.borrow();
        if counts.born != heartbeat.born || counts.routes.is_empty() {
            return None;
        }
        let routes = counts.routes.iter();
        Some(Evidence {
            service: heartbeat.service.clone(),
            version: heartbeat.version.clone(),
            born: counts.born,
            routes: routes
                .map(|(route, count)| (route.clone(), count.clone()))
                .collect(),
        })
    }

    /// Returns the part of the evidence for the next message to the controller at `address`.
    pub fn evidence_for_controller(&self, node: &Node, address: SocketAddr) -> Option<Evidence> {
        let evidence = self.evidence(node)?;
        let mut pages = self.pages.borrow_mut();
        if pages.controller != Some(address) {
            pages.controller = Some(address);
            pages.to_controller = EvidencePages::default();
        }
        Some(pages.to_controller.next_page(evidence))
    }

    /// Returns the part of the evidence for the next message to other daemons, which may become the
    /// controller.
    pub fn evidence_for_others(&self, node: &Node) -> Option<Evidence> {
        let evidence = self.evidence(node)?;
        Some(self.pages.borrow_mut().to_others.next_page(evidence))
    }

    pub(crate) fn record_evidence(&self, node: &Node, head: &ForwardHead, sample: EvidenceSample) {
        let local = node.local.borrow();
        let is_cold = local
            .last_heartbeat()
            .is_some_and(|heartbeat| !heartbeat.cold_left.is_zero());
        let is_cold = is_cold || node.is_maybe_cold();
        let mut counts = self.counts.borrow_mut();
        if is_cold || counts.born != head.born {
            return;
        }
        let count = counts.routes.entry(head.route.clone()).or_default();
        match sample {
            EvidenceSample::Answer { took, is_failure } => count.record_answer(took, is_failure),
            EvidenceSample::Missing => count.missing += 1,
        }
    }
}
