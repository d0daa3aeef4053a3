//! The way of a request into the instance: admission, the connection, the answer.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::FastMap;
use base::FastSet;
use base::UnixMillis;
use http_edge::Pool;
use http_edge::PoolCfg;
use http_edge::Request;
use http_edge::Response;
use local_sync::oneshot;
use mesh::AdmissionController;
use mesh::admission::AdmissionCfg;
use mesh::admission::AdmissionDecision;
use mesh::admission::AdmissionRequest;
use mesh::admission::QueueAction;
use mesh::config::RouteName;
use mesh::evidence::Evidence;
use mesh::evidence::RouteStats;
use mesh::health::Health;
use mesh::instance::Change;
use mesh::wire::ForwardHead;
use mesh::wire::ForwardOutcome;
use protocol::call::Load;
use protocol::call::NotRun;
use protocol::call::NotRunReason;
use serde_json::json;
use users_platform::requests;
use users_platform::responses;
use users_platform::responses::InstanceResponse;

use crate::logs::EventClass;
use crate::node::Node;

/// Slots that are assumed before the instance told its own: fewer than any of the users' has.
const INITIAL_SLOTS: u32 = 8;

/// Requests that may wait; bounds memory, since the time left bounds the wait.
const MAX_QUEUED: usize = 128;

/// Service time that is assumed before the first answer: between the users' calls and pages.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(50);

/// Shortest time after which a refused request is told to come back: about the time in which one of a
/// few slots gets free.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest such time; clients have less than two seconds in all.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Longest time to open a connection to the instance on the same machine; the users' take 1 ms.
const CONNECT: Duration = Duration::from_millis(250);

/// Idle connections to the instance are not used again after this time; instances close theirs
/// after several seconds.
const IDLE: Duration = Duration::from_secs(4);

/// Idle connections kept to the instance: more than any of the users' instances has slots.
const KEPT: usize = 64;

/// How often waiting requests are looked at when none ends: the shortest time that one is told to stay
/// away.
pub const PUMP_EVERY: Duration = Duration::from_millis(50);

type Key = u64;

/// What becomes of a waiting request.
enum Decision {
    Run,
    Refused(NotRun),
}

/// Admission to the instance and the connections to it.
pub struct GateTask {
    gate: RefCell<AdmissionController<Key>>,
    waiting: RefCell<FastMap<Key, oneshot::Sender<Decision>>>,
    /// Started, but not yet told so.
    granted: RefCell<FastSet<Key>>,
    last_key: Cell<Key>,
    conns: Pool,
    instance: Cell<SocketAddr>,
    counts: RefCell<Counts>,
    health: RefCell<Health>,
}

/// What a request tells of the instance's version.
#[derive(Debug, Clone, Copy)]
enum Counted {
    Answer { took: Duration, is_failure: bool },
    Missing,
}

#[derive(Default)]
struct Counts {
    born: UnixMillis,
    routes: FastMap<RouteName, RouteStats>,
}

impl GateTask {
    /// A gate in front of the instance at this address.
    pub fn new(instance: SocketAddr) -> Self {
        let cfg = AdmissionCfg {
            slots: INITIAL_SLOTS,
            max_queued: MAX_QUEUED,
            initial_service_time: INITIAL_SERVICE_TIME,
            min_retry_after: MIN_RETRY_AFTER,
            max_retry_after: MAX_RETRY_AFTER,
        };
        let pool = PoolCfg {
            connect_timeout: CONNECT,
            idle_timeout: IDLE,
            max_idle_per_peer: KEPT,
            ..PoolCfg::default()
        };
        Self {
            gate: RefCell::new(AdmissionController::new(cfg)),
            waiting: RefCell::default(),
            granted: RefCell::default(),
            last_key: Cell::new(0),
            conns: Pool::new(pool),
            instance: Cell::new(instance),
            counts: RefCell::default(),
            health: RefCell::default(),
        }
    }

    /// Load to tell others.
    pub fn load(&self) -> Load {
        self.gate.borrow().load()
    }

    /// Share of its latest requests that the instance failed, in thousandths.
    pub fn failures(&self, now: Instant) -> u16 {
        self.health.borrow().failures_permille(now)
    }

    /// Changes the address of the instance.
    pub fn set_instance(&self, address: SocketAddr) {
        if self.instance.replace(address) != address {
            self.conns.close_idle(address);
        }
    }

    /// Takes in that another instance, or the same one with other slots, is beside the daemon.
    pub fn set_slots(&self, slots: u32, born: UnixMillis) {
        let mut counts = self.counts.borrow_mut();
        if counts.born != born {
            *counts = Counts {
                born,
                ..Counts::default()
            };
            self.gate.borrow_mut().reset_service_times();
            *self.health.borrow_mut() = Health::default();
            self.conns.close_idle(self.instance.get());
        }
        drop(counts);
        self.gate.borrow_mut().set_slots(slots);
        self.pump();
    }

    /// Refuses what waits: the instance takes no new work.
    pub fn refuse_waiting(&self) {
        let refused = self.gate.borrow_mut().refuse_waiting(NotRunReason::Leaving);
        for (key, not_run) in refused {
            self.tell(key, Decision::Refused(not_run));
        }
    }

    /// Starts or refuses what waits, as far as slots and deadlines say so.
    pub fn pump(&self) {
        loop {
            let next = self.gate.borrow_mut().next(Instant::now());
            match next {
                QueueAction::Run(key) => {
                    self.granted.borrow_mut().insert(key);
                    if !self.tell(key, Decision::Run) && self.granted.borrow_mut().remove(&key) {
                        self.gate.borrow_mut().released();
                    }
                }
                QueueAction::Refuse(key, not_run) => {
                    self.tell(key, Decision::Refused(not_run));
                }
                QueueAction::Idle => return,
            }
        }
    }

    fn tell(&self, key: Key, decision: Decision) -> bool {
        let tx = self.waiting.borrow_mut().remove(&key);
        tx.is_some_and(|tx| tx.send(decision).is_ok())
    }

    /// What the present instance answered since it is warm.
    pub fn evidence(&self, node: &Node) -> Option<Evidence> {
        let local = node.local.borrow();
        let heartbeat = local.last_heartbeat()?;
        let counts = self.counts.borrow();
        if counts.born != heartbeat.born || counts.routes.is_empty() {
            return None;
        }
        Some(Evidence::of_busiest(
            heartbeat.service.clone(),
            heartbeat.version.clone(),
            counts.born,
            counts
                .routes
                .iter()
                .map(|(route, count)| (route.clone(), count.clone())),
        ))
    }

    fn note_health(&self, is_failure: bool) {
        let now = Instant::now();
        self.health.borrow_mut().record(is_failure, now);
    }

    fn count(&self, node: &Node, head: &ForwardHead, counted: Counted) {
        let local = node.local.borrow();
        let is_cold = local
            .last_heartbeat()
            .is_some_and(|heartbeat| !heartbeat.cold_left.is_zero());
        let mut counts = self.counts.borrow_mut();
        if is_cold || counts.born != head.born {
            return;
        }
        let count = counts.routes.entry(head.route.clone()).or_default();
        match counted {
            Counted::Answer { took, is_failure } => count.record_answer(took, is_failure),
            Counted::Missing => count.missing += 1,
        }
    }
}

/// What a gate says to a request.
pub struct Passed {
    /// What became of it.
    pub outcome: ForwardOutcome,
    /// The instance's answer.
    pub res: Option<Response>,
}

impl Passed {
    fn without_answer(outcome: ForwardOutcome) -> Self {
        Self { outcome, res: None }
    }
}

impl Node {
    /// Admits a request to the instance beside this daemon and brings its answer.
    pub async fn pass(&self, head: &ForwardHead, req: Request, arrived: Instant) -> Passed {
        let passed = self.pass_inner(head, req, arrived).await;
        if let ForwardOutcome::NotRun(not_run) = &passed.outcome {
            self.event_log
                .emit(EventClass::Failure, "gate-refused", Instant::now(), || {
                    let load = self.gate.load();
                    json!({
                        "request": head.request,
                        "route": head.route,
                        "reason": format!("{:?}", not_run.reason),
                        "retry_after_ms": not_run.retry_after.map(|after| after.as_millis()),
                        "running": load.running,
                        "queued": load.queued,
                        "slots": load.slots,
                        "rank": head.rank,
                        "full_value_ms": head.full_value_ms,
                        "left_ms": head.left_ms,
                    })
                });
        }
        passed
    }

    async fn pass_inner(&self, head: &ForwardHead, mut req: Request, arrived: Instant) -> Passed {
        if let Some(reason) = self.mismatch(head) {
            return self.refuse(reason);
        }
        let deadline = arrived + Duration::from_millis(u64::from(head.left_ms));
        let Some(ticket) = self.admit(head, arrived, deadline).await else {
            return self.refuse(NotRunReason::GivenUp);
        };
        let slot = match ticket {
            Ok(slot) => slot,
            Err(not_run) => return Passed::without_answer(ForwardOutcome::NotRun(not_run)),
        };
        // The instance may have gone while the request waited.
        if let Some(reason) = self.mismatch(head) {
            return self.refuse(reason);
        }
        let address = self.gate.instance.get();
        let mut conn = match self.gate.conns.take(address).await {
            Ok(conn) => conn,
            Err(e) => {
                if self.local.borrow_mut().mark_unreachable() == Change::Told {
                    self.log_state(
                        "instance-unreachable",
                        || json!({ "instance": head.instance, "reason": e.to_string() }),
                    );
                }
                return self.refuse(NotRunReason::Unreachable);
            }
        };
        let began = Instant::now();
        let left = deadline.saturating_duration_since(began);
        requests::prepare_for_instance(&mut req, &head.instance, left);
        let answered = conn.call(req, left + ANSWER_SLACK).await;
        let took = began.elapsed();
        let mut res = match answered {
            Ok(res) => res,
            Err(e) => {
                drop(conn);
                self.gate.note_health(true);
                self.gate.count(self, head, Counted::Missing);
                self.event_log.emit(
                    EventClass::Failure,
                    "answer-missing",
                    Instant::now(),
                    || {
                        json!({
                            "request": head.request,
                            "instance": head.instance,
                            "reason": e.to_string(),
                            "waited_ms": took.as_millis(),
                        })
                    },
                );
                return Passed::without_answer(ForwardOutcome::Unknown);
            }
        };
        let answer = responses::decode(&res, &head.request);
        self.gate.note_health(answer != InstanceResponse::Done);
        if answer == InstanceResponse::Mismatched {
            drop(conn);
            return Passed::without_answer(ForwardOutcome::Unknown);
        }
        self.gate.conns.put(conn);
        match answer {
            InstanceResponse::NotRun => {
                let not_run = self
                    .gate
                    .gate
                    .borrow()
                    .not_run(NotRunReason::UpstreamRefused);
                Passed::without_answer(ForwardOutcome::Rejected(not_run))
            }
            InstanceResponse::Misdirected => self.refuse(NotRunReason::WrongVersion),
            InstanceResponse::Mismatched => Passed::without_answer(ForwardOutcome::Unknown),
            InstanceResponse::Done | InstanceResponse::Failed => {
                let is_failure = answer == InstanceResponse::Failed;
                let counted = Counted::Answer { took, is_failure };
                self.gate.count(self, head, counted);
                slot.finished(&head.route, took);
                responses::prepare_for_client(&mut res);
                Passed {
                    outcome: ForwardOutcome::Answered {
                        took_ms: u32::try_from(took.as_millis()).unwrap_or(u32::MAX),
                    },
                    res: Some(res),
                }
            }
        }
    }

    fn refuse(&self, reason: NotRunReason) -> Passed {
        let not_run = self.gate.gate.borrow().not_run(reason);
        Passed::without_answer(ForwardOutcome::NotRun(not_run))
    }

    /// Why the instance beside this daemon is not the one that the request is meant for.
    fn mismatch(&self, head: &ForwardHead) -> Option<NotRunReason> {
        let every = self.boot.borrow().heartbeat_interval;
        let local = self.local.borrow();
        let Some(heartbeat) = local.serving(every, Instant::now()) else {
            return Some(NotRunReason::Leaving);
        };
        let fits = heartbeat.id == head.instance
            && heartbeat.born == head.born
            && heartbeat.service == head.service
            && heartbeat.version == head.version;
        (!fits).then_some(NotRunReason::WrongVersion)
    }

    /// A slot of the instance, after a wait where there is none; `None` when the decision was lost.
    async fn admit(
        &self,
        head: &ForwardHead,
        arrived: Instant,
        deadline: Instant,
    ) -> Option<Result<Slot<'_>, NotRun>> {
        let task = &self.gate;
        let key = task.last_key.get() + 1;
        task.last_key.set(key);
        let ask = AdmissionRequest {
            key,
            route: head.route.clone(),
            rank: head.rank,
            full_value_until: arrived + Duration::from_millis(u64::from(head.full_value_ms)),
            deadline,
        };
        let offer = task.gate.borrow_mut().offer(ask, Instant::now());
        let mut slot = Slot {
            task,
            key,
            state: SlotState::Waiting,
        };
        match offer {
            AdmissionDecision::Run => {
                slot.state = SlotState::Running;
                return Some(Ok(slot));
            }
            AdmissionDecision::Refused(not_run) => {
                slot.state = SlotState::Over;
                return Some(Err(not_run));
            }
            AdmissionDecision::Queued => {}
            AdmissionDecision::QueuedInPlaceOf(other, not_run) => {
                task.tell(other, Decision::Refused(not_run));
            }
        }
        let (tx, rx) = oneshot::channel();
        task.waiting.borrow_mut().insert(key, tx);
        match rx.await {
            Ok(Decision::Run) => {
                task.granted.borrow_mut().remove(&key);
                slot.state = SlotState::Running;
                Some(Ok(slot))
            }
            Ok(Decision::Refused(not_run)) => {
                slot.state = SlotState::Over;
                Some(Err(not_run))
            }
            Err(_) => None,
        }
    }
}

/// Time beyond the deadline in which an instance's answer is still taken: it answers at the
/// deadline, and the answer has to travel.
const ANSWER_SLACK: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotState {
    Waiting,
    Running,
    Over,
}

/// A place in the queue, then a slot; given back when dropped, as when the client goes away.
struct Slot<'a> {
    task: &'a GateTask,
    key: Key,
    state: SlotState,
}

impl Slot<'_> {
    fn finished(mut self, route: &RouteName, took: Duration) {
        self.task.gate.borrow_mut().finished(route, took);
        self.state = SlotState::Over;
        self.task.pump();
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        match self.state {
            SlotState::Over => return,
            SlotState::Running => self.task.gate.borrow_mut().released(),
            SlotState::Waiting => {
                self.task.waiting.borrow_mut().remove(&self.key);
                self.task.gate.borrow_mut().withdraw(&self.key);
                // It was started at the moment in which its client went away.
                if self.task.granted.borrow_mut().remove(&self.key) {
                    self.task.gate.borrow_mut().released();
                }
            }
        }
        self.task.pump();
    }
}
