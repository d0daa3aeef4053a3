//! Slots of the local instance: a request acquires one, or waits or is refused as admission control
//! decides.

use std::time::Duration;
use std::time::Instant;

use local_sync::oneshot;
use mesh::admission::AdmissionDecision;
use mesh::admission::AdmissionRequest;
use mesh::admission::Ended;
use mesh::config::Rank;
use mesh::config::RouteName;
use mesh::run_origins::RepeatShare;
use mesh::wire::ForwardHead;
use protocol::call::NotRun;

use crate::dispatcher::InstanceDispatcher;
use crate::dispatcher::RequestKey;
use crate::dispatcher::WaitOutcome;
use crate::node::Node;

/// Divisor of the time to the full value of an answer that gives the service time assumed for a route
/// at first; operators set that time to a few service times.
const SERVICE_TIME_DIVISOR: u32 = 3;

/// Factor on that time while the instance is cold after its start.
const COLD_FACTOR: u32 = 2;

impl Node {
    /// Returns the service time of a request as far as its route tells.
    fn expected_service_time(&self, head: &ForwardHead) -> Duration {
        let full_value = Duration::from_millis(u64::from(head.full_value_ms));
        let local = self.local.borrow();
        let is_cold = local
            .last_heartbeat()
            .is_some_and(|heartbeat| !heartbeat.cold_left.is_zero());
        full_value / SERVICE_TIME_DIVISOR * if is_cold { COLD_FACTOR } else { 1 }
    }

    /// Acquires a slot of the instance, queueing if none is free. Returns `None` if the queue
    /// dropped the request without an outcome.
    pub(crate) async fn admit(
        &self,
        head: &ForwardHead,
        arrived: Instant,
        deadline: Instant,
    ) -> Option<Result<SlotGuard<'_>, NotRun>> {
        let owner = &self.dispatcher;
        let key = owner.last_key.get() + 1;
        owner.last_key.set(key);
        let admission_request = AdmissionRequest {
            key,
            route: head.route.clone(),
            rank: head.rank,
            full_value_until: arrived + Duration::from_millis(u64::from(head.full_value_ms)),
            deadline,
            expected_service_time: self.expected_service_time(head),
        };
        let customer = head.customer.as_ref().map(|customer| customer.name.clone());
        let offer =
            owner
                .admission
                .borrow_mut()
                .offer_for(customer, admission_request, Instant::now());
        let mut slot = SlotGuard {
            owner,
            key,
            rank: head.rank,
            route: head.route.clone(),
            deadline,
            repeat_share: head.repeat_share,
            state: SlotState::Waiting,
        };
        match offer {
            AdmissionDecision::Run => {
                slot.start_run();
                return Some(Ok(slot));
            }
            AdmissionDecision::Refused(not_run) => {
                slot.state = SlotState::Released;
                return Some(Err(not_run));
            }
            AdmissionDecision::Queued => {}
            AdmissionDecision::QueuedInPlaceOf(other, not_run) => {
                owner.notify_waiter(other, WaitOutcome::Refused(not_run));
            }
        }
        let (tx, rx) = oneshot::channel();
        owner.waiting.borrow_mut().insert(key, tx);
        match rx.await {
            Ok(WaitOutcome::Run) => {
                owner.granted.borrow_mut().remove(&key);
                slot.start_run();
                Some(Ok(slot))
            }
            Ok(WaitOutcome::Refused(not_run)) => {
                slot.state = SlotState::Released;
                Some(Err(not_run))
            }
            Err(_) => None,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotState {
    Waiting,
    Running,
    Released,
}

/// A queue position, then a slot. Released on drop, also if the client disconnects.
pub(crate) struct SlotGuard<'a> {
    owner: &'a InstanceDispatcher,
    key: RequestKey,
    rank: Rank,
    route: RouteName,
    deadline: Instant,
    repeat_share: RepeatShare,
    state: SlotState,
}

impl SlotGuard<'_> {
    pub(crate) fn finish(mut self, took: Duration) {
        self.free(Some(took));
        self.state = SlotState::Released;
        self.owner.process_queue();
    }

    fn start_run(&mut self) {
        self.state = SlotState::Running;
        self.owner
            .origins
            .borrow_mut()
            .run_started(self.key, self.deadline, self.repeat_share);
    }

    fn free(&self, took: Option<Duration>) {
        self.owner.origins.borrow_mut().run_ended(self.key);
        self.owner.admission.borrow_mut().ended(&Ended {
            rank: self.rank,
            route: &self.route,
            took,
        });
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        match self.state {
            SlotState::Released => return,
            SlotState::Running => self.free(None),
            SlotState::Waiting => {
                self.owner.waiting.borrow_mut().remove(&self.key);
                self.owner.admission.borrow_mut().withdraw(&self.key);
                // The slot was granted before the client's disconnect was seen.
                if self.owner.granted.borrow_mut().remove(&self.key) {
                    self.free(None);
                }
            }
        }
        self.owner.process_queue();
    }
}
