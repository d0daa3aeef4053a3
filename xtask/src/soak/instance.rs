//! Instances: they run requests, run_heartbeats the daemon beside them of themselves, and checker what arrives.

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

use crate::soak::checker::Bounds;
use crate::soak::checker::Checker;
use crate::soak::checker::Exposure;
use crate::soak::wire;

/// Period of the heartbeats; the settings of the daemons name the same.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time for the acknowledgement of a heartbeat; the platform's instances wait as long.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that an instance goes on serving after the acknowledgement of its draining.
const DRAIN_LINGER: Duration = Duration::from_millis(2500);

/// Time after which an instance that gets no acknowledgement ends anyway.
const DRAIN_ACK_TIMEOUT: Duration = Duration::from_secs(3);

/// Requests that an instance runs at once.
pub const SLOTS: u32 = 8;

/// How an instance treats requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// It answers.
    Good,
    /// It runs requests, and loses some answers.
    LosesResponses,
    /// It fails, rejects, or answers for others.
    Fails,
}

#[derive(Debug, Clone)]
enum Phase {
    Ready,
    Draining { acknowledged: Option<Instant> },
    Gone,
}

/// What all instances and clients of a run share.
#[derive(Default)]
pub struct Shared {
    /// Judges the run.
    pub checker: RefCell<Checker>,
    /// Requests for the service that is moved, while it is.
    pub exposure: Cell<Exposure>,
    /// Whether the target of the move fails most requests.
    pub is_target_bad: Cell<bool>,
    /// The move was ordered; the target's instances start with that.
    pub is_rollout_ordered: Cell<bool>,
    /// The move is under way.
    pub is_rollout_active: Cell<bool>,
    /// The move has ended well; the old instances are gone.
    pub is_rollout_complete: Cell<bool>,
}

impl Shared {
    /// Nothing was shared.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            checker: RefCell::new(Checker::new(bounds)),
            ..Self::default()
        }
    }
}

/// One place for instances, one after the other.
pub struct Instance {
    /// Service that it runs.
    pub service: &'static str,
    /// Version of its software.
    pub version: &'static str,
    /// How it treats requests.
    pub behaviour: Cell<Behaviour>,
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
    /// An instance that is reached at `address` and tells of itself at `control`.
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
        *self.name.borrow_mut() = format!("i-{}-{}", self.address.ip(), self.started_at_ms.get());
        *self.phase.borrow_mut() = Phase::Ready;
    }

    /// Tells the daemon of itself for as long as the run lasts.
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
            Phase::Gone => return false,
        };
        let name = self.name.borrow().clone();
        let body = wire::heartbeat(
            (self.service, self.version),
            self.address,
            state,
            self.sequence.get(),
            self.started_at_ms.get(),
        );
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

    /// Drains, leaves, and is started_at_ms anew under another name.
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
            Response::new(status, body).with_header(wire::REQUEST_ID, &id)
        };
        let is_addressee = wire::target_instance(&req) == Some(self.name.borrow().as_str());
        if !is_addressee || matches!(*self.phase.borrow(), Phase::Gone) {
            return wire::not_executed(answer(StatusCode::MISDIRECTED_REQUEST, Vec::new()));
        }
        if let Phase::Draining {
            acknowledged: Some(at),
        } = *self.phase.borrow()
        {
            let mut checker = self.shared.checker.borrow_mut();
            checker.reached_draining_instance(&id, at, Instant::now());
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
        answer(StatusCode::OK, wire::body_of(&id)).with_header(wire::RESPONSE_STAMP, &id)
    }
}
