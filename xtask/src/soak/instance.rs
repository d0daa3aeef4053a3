//! Instances: they run requests, tell the daemon beside them of themselves, and judge what arrives.

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

use crate::soak::judge::Bounds;
use crate::soak::judge::Exposure;
use crate::soak::judge::Judge;
use crate::soak::wire;

/// Period of the heartbeats; the settings of the daemons name the same.
pub const HEARTBEAT_EVERY: Duration = Duration::from_millis(500);

/// Longest time for the acknowledgement of a heartbeat; the platform's instances wait as long.
const ACKNOWLEDGEMENT: Duration = Duration::from_secs(1);

/// Time that an instance goes on serving after the acknowledgement of its draining.
const LINGER: Duration = Duration::from_millis(2500);

/// Time after which an instance that gets no acknowledgement ends anyway.
const UNHEARD: Duration = Duration::from_secs(3);

/// Requests that an instance runs at once.
pub const SLOTS: u32 = 8;

/// How an instance treats requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    /// It answers.
    Good,
    /// It runs requests, and loses some answers.
    LosesAnswers,
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
pub struct Seen {
    /// Judges the run.
    pub judge: RefCell<Judge>,
    /// Requests for the service that is moved, while it is.
    pub exposure: Cell<Exposure>,
    /// Whether the target of the move fails most requests.
    pub is_target_bad: Cell<bool>,
    /// The move was ordered; the target's instances start with that.
    pub is_ordered: Cell<bool>,
    /// The move is under way.
    pub is_moving: Cell<bool>,
    /// The move has ended well; the old instances are gone.
    pub is_moved: Cell<bool>,
}

impl Seen {
    /// Nothing was seen.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            judge: RefCell::new(Judge::new(bounds)),
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
    pub manner: Cell<Manner>,
    address: SocketAddr,
    control: SocketAddr,
    name: RefCell<String>,
    born: Cell<u64>,
    sequence: Cell<u64>,
    phase: RefCell<Phase>,
    seen: Rc<Seen>,
    rng: RefCell<SmallRng>,
}

impl Instance {
    /// An instance that is reached at `address` and tells of itself at `control`.
    pub fn new(
        (service, version): (&'static str, &'static str),
        address: SocketAddr,
        control: SocketAddr,
        seen: Rc<Seen>,
        draws: u64,
    ) -> Self {
        let instance = Self {
            service,
            version,
            manner: Cell::new(Manner::Good),
            address,
            control,
            name: RefCell::default(),
            born: Cell::new(0),
            sequence: Cell::new(0),
            phase: RefCell::new(Phase::Gone),
            seen,
            rng: RefCell::new(SmallRng::seed_from_u64(draws)),
        };
        if version == wire::OLD_VERSION {
            instance.be_born();
        }
        instance
    }

    fn be_born(&self) {
        self.born.set(unix_millis(SystemTime::now()));
        self.sequence.set(0);
        *self.name.borrow_mut() = format!("i-{}-{}", self.address.ip(), self.born.get());
        *self.phase.borrow_mut() = Phase::Ready;
    }

    /// Tells the daemon of itself for as long as the run lasts.
    pub async fn tell(self: Rc<Self>) {
        loop {
            let is_replaced = self.version == wire::OLD_VERSION && self.service == wire::MOVED;
            if is_replaced && self.seen.is_moved.get() {
                *self.phase.borrow_mut() = Phase::Gone;
            }
            let is_awaited = self.version == wire::NEW_VERSION && self.born.get() == 0;
            if is_awaited && self.seen.is_ordered.get() {
                self.be_born();
            }
            if !matches!(*self.phase.borrow(), Phase::Gone) {
                self.heartbeat().await;
            }
            monoio::time::sleep(HEARTBEAT_EVERY).await;
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
            self.born.get(),
        );
        let is_acknowledged = self.send(&wire::heartbeat_path(&name), body).await;
        if is_acknowledged && let Phase::Draining { acknowledged } = &mut *self.phase.borrow_mut() {
            acknowledged.get_or_insert_with(Instant::now);
        }
        is_acknowledged
    }

    async fn send(&self, path: &str, body: String) -> bool {
        let conn = Conn::connect(self.control, ACKNOWLEDGEMENT, Limits::default()).await;
        let Ok(mut conn) = conn else {
            return false;
        };
        let answered = conn.call(Request::post(path, body), ACKNOWLEDGEMENT).await;
        answered.is_ok_and(|res| res.status.is_success())
    }

    /// Drains, leaves, and is born anew under another name.
    pub async fn drain(self: Rc<Self>) {
        if !matches!(*self.phase.borrow(), Phase::Ready) {
            return;
        }
        *self.phase.borrow_mut() = Phase::Draining { acknowledged: None };
        let since = Instant::now();
        let is_heard = || {
            matches!(
                &*self.phase.borrow(),
                Phase::Draining {
                    acknowledged: Some(_)
                }
            )
        };
        while !is_heard() && since.elapsed() < UNHEARD {
            self.heartbeat().await;
            monoio::time::sleep(HEARTBEAT_EVERY / 5).await;
        }
        if is_heard() {
            monoio::time::sleep(LINGER).await;
        }
        let path = wire::leave_path(&self.name.borrow().clone());
        self.send(&path, String::new()).await;
        *self.phase.borrow_mut() = Phase::Gone;
        monoio::time::sleep(Duration::from_secs(1)).await;
        self.be_born();
    }

    fn count_exposure(&self) {
        if self.service == wire::MOVED && self.seen.is_moving.get() {
            let Exposure { all, target } = self.seen.exposure.get();
            let is_target = self.version == wire::NEW_VERSION;
            self.seen.exposure.set(Exposure {
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
        let is_meant = wire::target_of(&req) == Some(self.name.borrow().as_str());
        if !is_meant || matches!(*self.phase.borrow(), Phase::Gone) {
            return wire::not_executed(answer(StatusCode::MISDIRECTED_REQUEST, Vec::new()));
        }
        if let Phase::Draining {
            acknowledged: Some(at),
        } = *self.phase.borrow()
        {
            let mut judge = self.seen.judge.borrow_mut();
            judge.reached_draining(&id, at, Instant::now());
        }
        let draw: u32 = self.rng.borrow_mut().random_range(0..100);
        let manner = self.manner.get();
        if manner == Manner::Fails && draw < 30 {
            return wire::not_executed(answer(StatusCode::SERVICE_UNAVAILABLE, Vec::new()));
        }
        let is_repeatable = req.method == Method::GET;
        let path = req.path().to_owned();
        let judge = &self.seen.judge;
        judge
            .borrow_mut()
            .ran(&id, self.service, &path, is_repeatable);
        self.count_exposure();
        let time = Duration::from_millis(10 + u64::from(draw) / 2);
        monoio::time::sleep(time).await;
        if manner == Manner::LosesAnswers && draw < 40 {
            return pending().await;
        }
        let is_bad = self.seen.is_target_bad.get() && self.version == wire::NEW_VERSION;
        if (manner == Manner::Fails || is_bad) && draw < 60 {
            return answer(StatusCode::INTERNAL_SERVER_ERROR, Vec::new());
        }
        if manner == Manner::Fails && draw < 70 {
            let res = answer(StatusCode::OK, wire::body_of("other"));
            return res.with_header(wire::REQUEST_ID, "other");
        }
        answer(StatusCode::OK, wire::body_of(&id)).with_header(wire::STAMP, &id)
    }
}
