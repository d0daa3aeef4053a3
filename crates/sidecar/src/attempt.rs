//! One attempt of a client request, as the balancer records it.

use std::time::Duration;
use std::time::Instant;

use ledger::Idempotency;
use mesh::balancer::Observation;
use mesh::config::Route;
use mesh::directory::Entry;
use mesh::wire::ForwardOutcome;
use protocol::call::NotRunReason;

use crate::forward::ForwardResult;
use crate::node::Node;

/// Number of daemons that may refuse a request before the client gets the refusal: three refusals
/// from a handful of instances indicate that the service is full.
const MAX_REFUSALS: usize = 3;

/// Divisor of the time in which an answer has its full value. A request that is refused after that
/// fraction of it is not sent to another instance, where it would queue again while the client could
/// retry later.
const REFUSAL_TIME_DIVISOR: u32 = 4;

/// The same for an idempotent request after an attempt that reached nobody. A machine that went dark
/// takes the whole connect timeout, and tells nothing about the other instances. A request that may run
/// only once is refused instead: at another machine of the same cut it could be lost.
const UNREACHABLE_TIME_DIVISOR: u32 = 2;

/// Why an attempt did not run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotRunBy {
    /// The daemon of the instance refused it.
    Refusal,
    /// That daemon could not be reached.
    Nobody,
}

/// Whether a request that did not run goes to another instance, after attempts on `tried` instances in
/// `elapsed`, with `full_value` from its arrival until the answer loses value.
pub(crate) fn may_try_another(
    by: NotRunBy,
    repeat: Idempotency,
    tried: usize,
    elapsed: Duration,
    full_value: Duration,
) -> bool {
    let divisor = match (by, repeat) {
        (NotRunBy::Nobody, Idempotency::Idempotent) => UNREACHABLE_TIME_DIVISOR,
        _ => REFUSAL_TIME_DIVISOR,
    };
    tried < MAX_REFUSALS && elapsed < full_value / divisor
}

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
        node.balancer
            .borrow_mut()
            .attempt_started(entry, Instant::now());
        if entry.member.zone != node.boot.borrow().zone {
            node.metrics.record_crossing();
        }
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
