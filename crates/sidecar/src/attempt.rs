//! One attempt of a client request, as the balancer records it.

use std::time::Duration;
use std::time::Instant;

use mesh::balancer::Observation;
use mesh::config::Route;
use mesh::directory::Entry;
use mesh::wire::ForwardOutcome;
use protocol::call::NotRunReason;

use crate::forward::ForwardResult;
use crate::node::Node;

/// Returns what the result of an attempt shows about the instance.
pub(crate) fn observation(result: &ForwardResult) -> Observation {
    match result {
        ForwardResult::Unreachable | ForwardResult::Lost(_) => Observation::Unreachable,
        ForwardResult::Replied(dispatched) => match &dispatched.outcome {
            ForwardOutcome::Answered { took_ms } => match &dispatched.res {
                Some(res) if res.status.is_server_error() => Observation::Failed,
                _ => Observation::Success(Duration::from_millis(u64::from(*took_ms))),
            },
            ForwardOutcome::Rejected(_) | ForwardOutcome::Unknown => Observation::Failed,
            ForwardOutcome::Granted => Observation::Neutral,
            ForwardOutcome::NotRun(not_run) => match not_run.reason {
                NotRunReason::Unreachable => Observation::Unreachable,
                _ => Observation::Neutral,
            },
        },
    }
}

/// An attempt in progress; recorded as ended when dropped, also if the client disconnects.
pub(crate) struct Attempt<'a> {
    node: &'a Node,
    entry: &'a Entry,
    route: &'a Route,
    observation: Observation,
}

impl<'a> Attempt<'a> {
    pub(crate) fn start(node: &'a Node, entry: &'a Entry, route: &'a Route) -> Self {
        node.balancer.borrow_mut().attempt_started(entry);
        Self {
            node,
            entry,
            route,
            observation: Observation::Neutral,
        }
    }

    pub(crate) fn end(mut self, observation: Observation) {
        self.observation = observation;
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        let mut balancer = self.node.balancer.borrow_mut();
        balancer.attempt_ended(
            self.entry,
            &self.route.name,
            self.observation,
            Instant::now(),
        );
    }
}
