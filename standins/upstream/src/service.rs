//! Handler of the upstream's requests.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use http_edge::Handler;
use http_edge::Latch;
use http_edge::Request;
use http_edge::Response;
use local_sync::semaphore::OwnedSemaphorePermit;
use local_sync::semaphore::Semaphore;
use protocol::announce::UpstreamPhase;
use protocol::call::CALL_ID_HEADER;
use protocol::call::DEADLINE_HEADER;
use protocol::call::LOAD_HEADER;
use protocol::call::NOT_RUN_HEADER;
use serde::Serialize;

use crate::faults::CallMode;
use crate::faults::Fate;
use crate::faults::Faults;
use crate::faults::Injector;
use crate::faults::WhenFull;
use crate::load::LoadMeter;
use crate::load::cold_factor;
use crate::response_body::DEFAULT_SIZE;
use crate::response_body::MAX_SIZE;
use crate::response_body::ResponseBody;
use crate::runs::Run;
use crate::runs::Runs;
use crate::upstream::UpstreamCfg;

/// Longest time that a call without a deadline may take.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// How often a hanging call looks whether the fault was lifted.
const HANG_POLL: Duration = Duration::from_millis(20);

/// What all requests share.
pub struct Service {
    cfg: UpstreamCfg,
    started: Instant,
    slots: Rc<Semaphore>,
    injector: RefCell<Injector>,
    meter: RefCell<LoadMeter>,
    runs: Rc<RefCell<Runs>>,
    draining: Latch,
}

/// Whether a call got a slot.
enum Admission {
    Admitted(OwnedSemaphorePermit),
    Refused(&'static str),
}

impl Service {
    pub(crate) fn new(cfg: UpstreamCfg) -> Self {
        Self {
            started: Instant::now(),
            slots: Rc::new(Semaphore::new(cfg.slots as usize)),
            injector: RefCell::default(),
            meter: RefCell::default(),
            runs: Rc::default(),
            draining: Latch::default(),
            cfg,
        }
    }

    /// Set when the upstream is to leave.
    #[must_use]
    pub fn draining(&self) -> &Latch {
        &self.draining
    }

    /// Whether new work is taken.
    #[must_use]
    pub fn phase(&self) -> UpstreamPhase {
        if self.draining.is_set() {
            UpstreamPhase::Draining
        } else if self.started.elapsed() < self.cfg.cold_start {
            UpstreamPhase::Starting
        } else {
            UpstreamPhase::Serving
        }
    }

    /// What ran so far.
    #[must_use]
    pub fn runs(&self) -> &RefCell<Runs> {
        &self.runs
    }

    /// The faults in force.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.injector.borrow().faults().clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.injector.borrow_mut().set(faults);
    }

    /// Calls that run now.
    #[must_use]
    pub fn running(&self) -> u32 {
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(u32::MAX);
        self.cfg.slots.saturating_sub(free)
    }

    async fn call(&self, req: &Request) -> Response {
        let deadline = Instant::now() + deadline_of(req);
        if self.draining.is_set() {
            return self.refuse("leaving");
        }
        let load = f64::from(self.running()) / f64::from(self.cfg.slots.max(1));
        let fate = self.injector.borrow_mut().next(req.path(), load);
        if fate == Fate::Refuse {
            return self.refuse("fault");
        }
        let permit = match self.admit(deadline).await {
            Admission::Refused(reason) => return self.refuse(reason),
            Admission::Admitted(permit) => permit,
        };
        let res = self.run(req, fate, deadline).await;
        drop(permit);
        res
    }

    async fn admit(&self, deadline: Instant) -> Admission {
        if let Ok(permit) = Rc::clone(&self.slots).try_acquire_owned() {
            return Admission::Admitted(permit);
        }
        if self.faults().when_full == WhenFull::Shed {
            return Admission::Refused("full");
        }
        let wait = Rc::clone(&self.slots).acquire_owned();
        let left = deadline.saturating_duration_since(Instant::now());
        match monoio::time::timeout(left, wait).await {
            Ok(Ok(permit)) => Admission::Admitted(permit),
            _ => Admission::Refused("deadline"),
        }
    }

    /// Runs a call that has a slot. From here on it has run.
    async fn run(&self, req: &Request, fate: Fate, deadline: Instant) -> Response {
        let run = Run::begin(&self.runs, req.header(CALL_ID_HEADER));
        let left = deadline.saturating_duration_since(Instant::now());
        if monoio::time::timeout(left, self.work(fate)).await.is_err() {
            return self.reply(Response::text(StatusCode::GATEWAY_TIMEOUT, "deadline"));
        }
        run.finish();
        let res = match fate {
            Fate::Fail(_) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
            _ => self.answer(req),
        };
        self.reply(res)
    }

    async fn work(&self, fate: Fate) {
        let slow = match fate {
            Fate::Answer(slow) | Fate::Fail(slow) => slow,
            Fate::Hang | Fate::Refuse => 1.0,
        };
        while fate == Fate::Hang && self.injector.borrow().faults().mode == CallMode::Hang {
            monoio::time::sleep(HANG_POLL).await;
        }
        let cold = cold_factor(self.started.elapsed(), self.cfg.cold_start);
        monoio::time::sleep(self.cfg.service_time.mul_f64(slow * cold)).await;
    }

    fn answer(&self, req: &Request) -> Response {
        let size = req.query("size").and_then(|size| size.parse().ok());
        let answer = ResponseBody {
            call_id: req.header(CALL_ID_HEADER).unwrap_or("-").into(),
            version: self.cfg.version.clone(),
            size: size.unwrap_or(DEFAULT_SIZE).min(MAX_SIZE),
        };
        Response::new(StatusCode::OK, answer.encode())
    }

    fn refuse(&self, reason: &str) -> Response {
        self.runs.borrow_mut().refused();
        let res = Response::text(StatusCode::SERVICE_UNAVAILABLE, reason);
        self.reply(res.with_header(NOT_RUN_HEADER, reason))
    }

    fn reply(&self, res: Response) -> Response {
        let kind = self.injector.borrow().faults().load;
        let mut meter = self.meter.borrow_mut();
        let load = meter.report(kind, self.running(), Instant::now());
        res.with_header(LOAD_HEADER, load.to_string())
    }

    fn take_faults(&self, req: &Request) -> Response {
        match serde_json::from_slice(&req.body) {
            Ok(faults) => {
                log::info!("faults: now {faults:?}");
                self.set_faults(faults);
                Response::text(StatusCode::OK, "set")
            }
            Err(e) => Response::text(StatusCode::BAD_REQUEST, e.to_string()),
        }
    }

    fn drain(&self) -> Response {
        self.draining.set();
        Response::text(StatusCode::OK, "draining")
    }
}

impl Handler for Service {
    async fn handle(&self, req: Request) -> Response {
        match (req.method.as_str(), req.path()) {
            ("GET", "/health") => Response::text(StatusCode::OK, "ok"),
            ("GET", "/faults") => json(&self.faults()),
            ("POST", "/faults") => self.take_faults(&req),
            ("POST", "/drain") => self.drain(),
            ("GET", "/runs") => json(&self.runs.borrow().summary()),
            ("GET", "/runs/ids") => json(&self.runs.borrow().counts_by_id()),
            _ => self.call(&req).await,
        }
    }
}

fn deadline_of(req: &Request) -> Duration {
    let millis = req.header(DEADLINE_HEADER).and_then(|ms| ms.parse().ok());
    millis.map_or(DEFAULT_DEADLINE, Duration::from_millis)
}

fn json(value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(text) => Response::json(StatusCode::OK, text),
        Err(e) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}
