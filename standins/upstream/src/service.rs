//! HTTP handler of the upstream: admits calls to slots, runs them under the faults that are set,
//! and serves the control paths.

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

use crate::faults::CallAction;
use crate::faults::CallMode;
use crate::faults::FaultInjector;
use crate::faults::Faults;
use crate::faults::WhenFull;
use crate::load::LoadMeter;
use crate::load::cold_start_factor;
use crate::response_body::DEFAULT_FILLER_BYTES;
use crate::response_body::MAX_FILLER_BYTES;
use crate::response_body::ResponseBody;
use crate::runs::ActiveRun;
use crate::runs::RunRecorder;
use crate::upstream::UpstreamCfg;

/// Time limit of a call without a deadline header.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Interval at which a hanging call checks whether the mode has changed.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State of the upstream that all requests share.
pub struct Service {
    cfg: UpstreamCfg,
    started: Instant,
    slots: Rc<Semaphore>,
    injector: RefCell<FaultInjector>,
    meter: RefCell<LoadMeter>,
    runs: Rc<RefCell<RunRecorder>>,
    draining: Latch,
}

/// Result of waiting for a slot; a refusal carries its reason.
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

    /// Returns the latch that is set when the upstream begins to drain.
    #[must_use]
    pub fn draining(&self) -> &Latch {
        &self.draining
    }

    /// Returns the phase for announcements: draining, starting during the cold start, or serving.
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

    /// Returns the counts of runs and refusals so far.
    #[must_use]
    pub fn runs(&self) -> &RefCell<RunRecorder> {
        &self.runs
    }

    /// Returns a copy of the faults that are set.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.injector.borrow().faults().clone()
    }

    /// Replaces the faults and resets the call count of [`Faults::after_calls`].
    pub fn set_faults(&self, faults: Faults) {
        self.injector.borrow_mut().set(faults);
    }

    /// Returns the number of slots in use.
    #[must_use]
    pub fn running(&self) -> u32 {
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(u32::MAX);
        self.cfg.slots.saturating_sub(free)
    }

    async fn handle_call(&self, req: &Request) -> Response {
        let deadline = Instant::now() + time_limit(req);
        if self.draining.is_set() {
            return self.refuse("leaving");
        }
        let load = f64::from(self.running()) / f64::from(self.cfg.slots.max(1));
        let action = self.injector.borrow_mut().next_action(req.path(), load);
        if action == CallAction::Refuse {
            return self.refuse("fault");
        }
        let permit = match self.admit(deadline).await {
            Admission::Refused(reason) => return self.refuse(reason),
            Admission::Admitted(permit) => permit,
        };
        let res = self.run(req, action, deadline).await;
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

    /// Runs a call that holds a slot. The call counts as run from here on.
    async fn run(&self, req: &Request, action: CallAction, deadline: Instant) -> Response {
        let run = ActiveRun::begin(&self.runs, req.header(CALL_ID_HEADER));
        let left = deadline.saturating_duration_since(Instant::now());
        if monoio::time::timeout(left, self.simulate_work(action))
            .await
            .is_err()
        {
            return self.with_load_header(Response::text(StatusCode::GATEWAY_TIMEOUT, "deadline"));
        }
        run.finish();
        let res = match action {
            CallAction::Fail(_) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
            _ => self.success_response(req),
        };
        self.with_load_header(res)
    }

    async fn simulate_work(&self, action: CallAction) {
        let slow = match action {
            CallAction::Answer(slow) | CallAction::Fail(slow) => slow,
            CallAction::Hang | CallAction::Refuse => 1.0,
        };
        while action == CallAction::Hang && self.injector.borrow().faults().mode == CallMode::Hang {
            monoio::time::sleep(HANG_POLL_INTERVAL).await;
        }
        let cold_factor = cold_start_factor(self.started.elapsed(), self.cfg.cold_start);
        monoio::time::sleep(self.cfg.service_time.mul_f64(slow * cold_factor)).await;
    }

    fn success_response(&self, req: &Request) -> Response {
        let size = req.query("size").and_then(|size| size.parse().ok());
        let response_body = ResponseBody {
            call_id: req.header(CALL_ID_HEADER).unwrap_or("-").into(),
            version: self.cfg.version.clone(),
            size: size.unwrap_or(DEFAULT_FILLER_BYTES).min(MAX_FILLER_BYTES),
        };
        Response::new(StatusCode::OK, response_body.encode())
    }

    fn refuse(&self, reason: &str) -> Response {
        self.runs.borrow_mut().record_refusal();
        let res = Response::text(StatusCode::SERVICE_UNAVAILABLE, reason);
        self.with_load_header(res.with_header(NOT_RUN_HEADER, reason))
    }

    fn with_load_header(&self, res: Response) -> Response {
        let kind = self.injector.borrow().faults().load;
        let mut meter = self.meter.borrow_mut();
        let load = meter.report(kind, self.running(), Instant::now());
        res.with_header(LOAD_HEADER, load.to_string())
    }

    fn handle_set_faults(&self, req: &Request) -> Response {
        match serde_json::from_slice(&req.body.to_bytes()) {
            Ok(faults) => {
                log::info!("upstream: faults set to {faults:?}");
                self.set_faults(faults);
                Response::text(StatusCode::OK, "set")
            }
            Err(e) => Response::text(StatusCode::BAD_REQUEST, e.to_string()),
        }
    }

    fn handle_drain(&self) -> Response {
        self.draining.set();
        Response::text(StatusCode::OK, "draining")
    }
}

impl Handler for Service {
    async fn handle(&self, req: Request) -> Response {
        match (req.method.as_str(), req.path()) {
            ("GET", "/health") => Response::text(StatusCode::OK, "ok"),
            ("GET", "/faults") => json(&self.faults()),
            ("POST", "/faults") => self.handle_set_faults(&req),
            ("POST", "/drain") => self.handle_drain(),
            ("GET", "/runs") => json(&self.runs.borrow().summary()),
            ("GET", "/runs/ids") => json(&self.runs.borrow().counts_by_id()),
            _ => self.handle_call(&req).await,
        }
    }
}

fn time_limit(req: &Request) -> Duration {
    let millis = req.header(DEADLINE_HEADER).and_then(|ms| ms.parse().ok());
    millis.map_or(DEFAULT_DEADLINE, Duration::from_millis)
}

fn json(value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(text) => Response::json(StatusCode::OK, text),
        Err(e) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}
