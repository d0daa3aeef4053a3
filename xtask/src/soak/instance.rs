//! Simulated instances, which run requests, send heartbeats to the daemon next to them, and report
//! each request to the checker.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use base::units::unix_millis;
use http::Method;
use http::StatusCode;
use http_edge::Conn;
use http_edge::Handler;
use http_edge::Limits;
use http_edge::Request;
use http_edge::Response;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::soak::checker::Checker;
use crate::soak::checker::Exposure;
use crate::soak::checker::Guarantees;
use crate::soak::notices::NoticeChecker;
use crate::soak::notices::Statement;
use crate::soak::wire;

/// Interval of the heartbeats; equals `Heartbeat` in the settings of the daemons.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for the acknowledgement of a heartbeat, as in the platform's instances.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which an instance continues to serve after its draining was acknowledged.
const DRAIN_LINGER: Duration = Duration::from_millis(2500);

/// Time after which a draining instance without an acknowledgement leaves anyway.
const DRAIN_ACK_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of concurrent requests that an instance announces as its capacity.
pub const SLOTS: u32 = 8;

/// How an instance handles requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Responds to each request.
    Good,
    /// Runs requests, but sends no response to some.
    LosesResponses,
    /// Fails or rejects some requests, sends some responses and refusals with the id of another request or
    /// none, and heartbeats with figures that no instance has.
    Fails,
}

#[derive(Debug, Clone)]
enum Phase {
    Ready,
    Draining {
        acknowledged: Option<Instant>,
    },
    /// It has deregistered, sends no heartbeats, and still serves.
    Deregistered {
        acknowledged: Option<Instant>,
    },
    Gone,
}

/// State that all instances and clients of a run share.
#[derive(Default)]
pub struct Shared {
    /// Checker of the run.
    pub checker: RefCell<Checker>,
    /// Checker of what the instances state in their answers.
    pub notices: RefCell<NoticeChecker>,
    /// Counts of the requests to the rollout service while the rollout is active.
    pub exposure: Cell<Exposure>,
    /// Whether the target version fails most of its requests.
    pub is_target_bad: Cell<bool>,
    /// Whether the rollout was ordered; the instances of the target start then.
    pub is_rollout_ordered: Cell<bool>,
    /// Whether the rollout is active.
    pub is_rollout_active: Cell<bool>,
    /// Whether the rollout has completed; the instances of the old version stop then.
    pub is_rollout_complete: Cell<bool>,
}

impl Shared {
    /// Creates the state for a run that checks `guarantees`.
    pub fn new(guarantees: Guarantees) -> Self {
        Self {
            checker: RefCell::new(Checker::new(guarantees)),
            ..Self::default()
        }
    }
}

/// An instance at a fixed address. After it leaves, it starts again under a new name.
pub struct Instance {
    /// Service that the instance runs.
    pub service: &'static str,
    /// Version of the service.
    pub version: &'static str,
    /// How the instance handles requests at present.
    pub behaviour: Cell<Behaviour>,
    /// What it states in its answers.
    pub statement: Cell<Statement>,
    address: SocketAddr,
    control: SocketAddr,
    name: RefCell<String>,
    started_at_ms: Cell<u64>,
    sequence: Cell<u64>,
    phase: RefCell<Phase>,
    shared: Rc<Shared>,
    rng: RefCell<SmallRng>,
}

impl Instance {
    /// Creates an instance that is reachable at `address` and sends heartbeats to `control`.
    /// Instances of the old version start at once, those of the new version when the rollout is
    /// ordered.
    pub fn new(
        (service, version): (&'static str, &'static str),
        address: SocketAddr,
        control: SocketAddr,
        shared: Rc<Shared>,
        seed: u64,
    ) -> Self {
        let instance = Self {
            service,
            version,
            behaviour: Cell::new(Behaviour::Good),
            statement: Cell::default(),
            address,
            control,
            name: RefCell::default(),
            started_at_ms: Cell::new(0),
            sequence: Cell::new(0),
            phase: RefCell::new(Phase::Gone),
            shared,
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
        };
        if version == wire::OLD_VERSION {
            instance.start_new();
        }
        instance
    }

    fn start_new(&self) {
        self.started_at_ms.set(unix_millis(SystemTime::now()));
        self.sequence.set(0);
        self.statement.set(Statement::default());
        *self.name.borrow_mut() = format!("i-{}-{}", self.address.ip(), self.started_at_ms.get());
        *self.phase.borrow_mut() = Phase::Ready;
    }

    /// Sends heartbeats until the end of the run.
    pub async fn run_heartbeats(self: Rc<Self>) {
        loop {
            let is_replaced =
                self.version == wire::OLD_VERSION && self.service == wire::ROLLOUT_SERVICE;
            if is_replaced && self.shared.is_rollout_complete.get() {
                *self.phase.borrow_mut() = Phase::Gone;
            }
            let is_due = self.version == wire::NEW_VERSION && self.started_at_ms.get() == 0;
            if is_due && self.shared.is_rollout_ordered.get() {
                self.start_new();
            }
            if !matches!(*self.phase.borrow(), Phase::Gone) {
                self.heartbeat().await;
            }
            monoio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    async fn heartbeat(&self) -> bool {
        self.sequence.set(self.sequence.get() + 1);
        let state = match *self.phase.borrow() {
            Phase::Ready => "ready",
            Phase::Draining { .. } => "draining",
            Phase::Deregistered { .. } | Phase::Gone => return false,
        };
        let name = self.name.borrow().clone();
        let body = wire::heartbeat(
            (self.service, self.version),
            self.address,
            state,
            self.sequence.get(),
            self.started_at_ms.get(),
        );
        if self.behaviour.get() == Behaviour::Fails {
            let odd = wire::odd_heartbeat(self.service, self.address, self.sequence.get());
            self.send(&wire::heartbeat_path(&name), odd).await;
        }
        let is_acknowledged = self.send(&wire::heartbeat_path(&name), body).await;
        if is_acknowledged && let Phase::Draining { acknowledged } = &mut *self.phase.borrow_mut() {
            acknowledged.get_or_insert_with(Instant::now);
        }
        is_acknowledged
    }

    async fn send(&self, path: &str, body: String) -> bool {
        let conn = Conn::connect(self.control, ACK_TIMEOUT, Limits::default()).await;
        let Ok(mut conn) = conn else {
            return false;
        };
        let answered = conn.call(Request::post(path, body), ACK_TIMEOUT).await;
        answered.is_ok_and(|res| res.status.is_success())
    }

    /// Drains, deregisters, and starts again under a new name.
    pub async fn drain(self: Rc<Self>) {
        if !matches!(*self.phase.borrow(), Phase::Ready) {
            return;
        }
        *self.phase.borrow_mut() = Phase::Draining { acknowledged: None };
        let since = Instant::now();
        let has_ack = || {
            matches!(
                &*self.phase.borrow(),
                Phase::Draining {
                    acknowledged: Some(_)
                }
            )
        };
        while !has_ack() && since.elapsed() < DRAIN_ACK_TIMEOUT {
            self.heartbeat().await;
            monoio::time::sleep(HEARTBEAT_INTERVAL / 5).await;
        }
        if has_ack() {
            monoio::time::sleep(DRAIN_LINGER).await;
        }
        let path = wire::deregister_path(&self.name.borrow().clone());
        self.send(&path, String::new()).await;
        *self.phase.borrow_mut() = Phase::Gone;
        monoio::time::sleep(Duration::from_secs(1)).await;
        self.start_new();
    }

    /// Deregisters, serves on for a while, and starts again under a new name.
    pub async fn deregister_first(self: Rc<Self>) {
        if !matches!(*self.phase.borrow(), Phase::Ready) || self.statement.get().is_leaving {
            return;
        }
        *self.phase.borrow_mut() = Phase::Deregistered { acknowledged: None };
        let path = wire::deregister_path(&self.name());
        let since = Instant::now();
        while since.elapsed() < DRAIN_ACK_TIMEOUT {
            if self.send(&path, String::new()).await {
                let acknowledged = Some(Instant::now());
                *self.phase.borrow_mut() = Phase::Deregistered { acknowledged };
                break;
            }
            monoio::time::sleep(HEARTBEAT_INTERVAL / 5).await;
        }
        monoio::time::sleep(DRAIN_LINGER * 2).await;
        *self.phase.borrow_mut() = Phase::Gone;
        monoio::time::sleep(Duration::from_secs(1)).await;
        self.start_new();
    }

    /// Says in its answers that it leaves, while its heartbeats say that it is ready; then deregisters,
    /// and starts again under a new name.
    pub async fn leave_by_answers(self: Rc<Self>) {
        if !matches!(*self.phase.borrow(), Phase::Ready) || self.statement.get().is_leaving {
            return;
        }
        self.statement.set(Statement {
            is_leaving: true,
            ..self.statement.get()
        });
        let name = self.name.borrow().clone();
        monoio::time::sleep(DRAIN_LINGER * 2).await;
        // It may have drained meanwhile.
        if *self.name.borrow() != name || !matches!(*self.phase.borrow(), Phase::Ready) {
            return;
        }
        self.send(&wire::deregister_path(&name), String::new())
            .await;
        *self.phase.borrow_mut() = Phase::Gone;
        monoio::time::sleep(Duration::from_secs(1)).await;
        self.start_new();
    }

    /// States a limit, in requests a second, for this time.
    pub async fn limit_requests(self: Rc<Self>, per_sec: f64, time: Duration) {
        let before = self.statement.get();
        let limit = Some((per_sec, Instant::now()));
        self.statement.set(Statement { limit, ..before });
        monoio::time::sleep(time).await;
        // Another limit or instance may have taken its place.
        let now = self.statement.get();
        if now.limit == limit {
            self.statement.set(Statement { limit: None, ..now });
        }
    }

    /// Returns the name of the present instance.
    pub fn name(&self) -> String {
        self.name.borrow().clone()
    }

    fn count_exposure(&self) {
        if self.service == wire::ROLLOUT_SERVICE && self.shared.is_rollout_active.get() {
            let Exposure { all, target } = self.shared.exposure.get();
            let is_target = self.version == wire::NEW_VERSION;
            self.shared.exposure.set(Exposure {
                all: all + 1,
                target: target + u32::from(is_target),
            });
        }
    }
}

impl Handler for Instance {
    async fn handle(&self, req: Request) -> Response {
        let id = req.header(wire::REQUEST_ID).unwrap_or_default().to_owned();
        let answer = |status: StatusCode, body: Vec<u8>| {
            let res = Response::new(status, body).with_header(wire::REQUEST_ID, &id);
            wire::with_statement(res, self.statement.get(), &self.name())
        };
        let is_addressee = wire::target_instance(&req) == Some(self.name.borrow().as_str());
        if !is_addressee || matches!(*self.phase.borrow(), Phase::Gone) {
            return wire::not_executed(answer(StatusCode::MISDIRECTED_REQUEST, Vec::new()));
        }
        if let Phase::Draining {
            acknowledged: Some(at),
        }
        | Phase::Deregistered {
            acknowledged: Some(at),
        } = *self.phase.borrow()
        {
            let mut checker = self.shared.checker.borrow_mut();
            checker.reached_draining(&id, at, Instant::now());
        }
        let violation = self.shared.notices.borrow_mut().arrived(
            &id,
            &self.name(),
            self.statement.get(),
            Instant::now(),
        );
        if let Some(text) = violation {
            let mut checker = self.shared.checker.borrow_mut();
            checker.add_timed_violation(text);
        }
        let draw: u32 = self.rng.borrow_mut().random_range(0..100);
        let behaviour = self.behaviour.get();
        if behaviour == Behaviour::Fails && draw < 30 {
            return wire::not_executed(answer(StatusCode::SERVICE_UNAVAILABLE, Vec::new()));
        }
        let is_repeatable = req.method == Method::GET;
        let path = req.path().to_owned();
        let checker = &self.shared.checker;
        checker
            .borrow_mut()
            .request_ran(&id, self.service, &path, is_repeatable);
        self.count_exposure();
        let time = Duration::from_millis(10 + u64::from(draw) / 2);
        monoio::time::sleep(time).await;
        if behaviour == Behaviour::LosesResponses && draw < 40 {
            return pending().await;
        }
        let is_bad = self.shared.is_target_bad.get() && self.version == wire::NEW_VERSION;
        if (behaviour == Behaviour::Fails || is_bad) && draw < 60 {
            return answer(StatusCode::INTERNAL_SERVER_ERROR, Vec::new());
        }
        if behaviour == Behaviour::Fails && draw < 70 {
            let res = answer(StatusCode::OK, wire::body_of("other"));
            return res.with_header(wire::REQUEST_ID, "other");
        }
        if behaviour == Behaviour::Fails && draw < 80 {
            return repeated_refusal(draw);
        }
        if behaviour == Behaviour::Fails && draw < 84 {
            // The request ran, and nothing but the status says that it did not.
            let status = [
                StatusCode::SERVICE_UNAVAILABLE,
                StatusCode::TOO_MANY_REQUESTS,
                StatusCode::REQUEST_TIMEOUT,
                StatusCode::MISDIRECTED_REQUEST,
            ][(draw % 4) as usize];
            return answer(status, Vec::new());
        }
        answer(StatusCode::OK, wire::body_of(&id)).with_header(wire::RESPONSE_STAMP, &id)
    }
}

/// Returns a refusal of an earlier request, in place of the answer to one that ran.
fn repeated_refusal(draw: u32) -> Response {
    let status = if draw.is_multiple_of(2) {
        StatusCode::MISDIRECTED_REQUEST
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let refusal = wire::not_executed(Response::new(status, Vec::new()));
    if draw < 75 {
        refusal.with_header(wire::REQUEST_ID, "other")
    } else {
        refusal
    }
}
