//! Simulated clients, which reuse their connections, check each response, and probe the
//! configuration in force.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::StatusCode;
use http_edge::CallError;
use http_edge::Conn;
use http_edge::Limits;
use http_edge::Response;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::error::TaskError;
use crate::soak::checker::Probe;
use crate::soak::instance::Shared;
use crate::soak::machine::Machine;
use crate::soak::wire;

/// Requests of a client after which one states a deadline that no clock holds.
const ODD_DEADLINE_INTERVAL: u64 = 17;

/// Time that a client waits for a response; sent as the deadline of the request.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Additional time in which a response that is already on its way is still accepted.
const RESPONSE_SLACK: Duration = Duration::from_millis(700);

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Range of the random pause between two requests of a client, in milliseconds.
const THINK_TIME_MS: std::ops::Range<u64> = 10..80;

/// Probability that a client switches to a random machine before a request, in percent.
const SWITCH_PERCENT: u32 = 2;

/// Pause between two probes of the configuration in force.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Request counts of all clients since the last reset.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    /// Requests that were sent, and those that failed to connect.
    pub requests: u32,
    /// Requests that succeeded.
    pub successes: u32,
}

/// State that the clients of a run share.
pub struct Clients {
    /// Machines that the clients send requests to.
    pub machines: Vec<Rc<Machine>>,
    /// State shared with the instances, which includes the checker.
    pub shared: Rc<Shared>,
    /// Request counts of all clients.
    pub tally: Cell<Tally>,
    /// Version of the newest configuration, and the time of its acknowledgement.
    pub newest: Cell<(u64, Instant)>,
    /// Set at the end of the run; stops all clients and probes.
    pub is_finished: Cell<bool>,
}

impl Clients {
    /// Runs one client until the end of the run.
    pub async fn run_client(self: Rc<Self>, number: u64, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed ^ (number << 32));
        let mut conn: Option<Conn> = None;
        let mut machine = usize::try_from(number).unwrap_or(0) % self.machines.len();
        let mut count = 0_u64;
        while !self.is_finished.get() {
            monoio::time::sleep(Duration::from_millis(rng.random_range(THINK_TIME_MS))).await;
            if rng.random_ratio(SWITCH_PERCENT, 100) {
                machine = rng.random_range(0..self.machines.len());
                conn = None;
            }
            let open = if let Some(open) = conn.take().filter(Conn::is_reusable) {
                Ok(open)
            } else {
                let address = self.machines[machine].clients_addr(false);
                Conn::connect(address, CONNECT_TIMEOUT, Limits::default()).await
            };
            let Ok(mut open) = open else {
                self.count(false);
                continue;
            };
            count += 1;
            let id = format!("{number}-{count}");
            let (method, path) = draw_request(&mut rng, count);
            let mut req = wire::request(method, &path, &id, CLIENT_TIMEOUT);
            if count.is_multiple_of(ODD_DEADLINE_INTERVAL) {
                req = req.with_header("x-deadline-ms", "1e22");
            }
            let sent = Instant::now();
            self.shared
                .notices
                .borrow_mut()
                .request_sent(&id, machine, sent);
            let answered = open.call(req, CLIENT_TIMEOUT + RESPONSE_SLACK).await;
            if let Ok(res) = &answered {
                self.record_statement(&id, res);
            }
            let is_success = self.check_response(&id, sent, answered);
            self.count(is_success);
            if is_success {
                conn = Some(open);
            }
        }
    }

    /// Records each daemon that has ended by itself, and starts it again.
    pub fn check_processes(&self) -> Result<(), TaskError> {
        for machine in &self.machines {
            if machine.restart_if_ended()? {
                let mut checker = self.shared.checker.borrow_mut();
                checker.add_violation(format!("daemon {} ended by itself", machine.number));
            }
        }
        Ok(())
    }

    fn record_statement(&self, id: &str, res: &Response) {
        if let Some((instance, stated)) = wire::stated(res) {
            let mut notices = self.shared.notices.borrow_mut();
            notices.answer_passed_on(id, instance, stated, Instant::now());
        }
    }

    fn count(&self, is_success: bool) {
        let Tally {
            requests,
            successes,
        } = self.tally.get();
        self.tally.set(Tally {
            requests: requests + 1,
            successes: successes + u32::from(is_success),
        });
    }

    fn check_response(
        &self,
        id: &str,
        sent: Instant,
        answered: Result<Response, CallError>,
    ) -> bool {
        let mut checker = self.shared.checker.borrow_mut();
        let Ok(res) = answered else {
            checker.request_cut(id, sent, Instant::now());
            return false;
        };
        match res.status {
            StatusCode::OK => {
                let stamp = res.header(wire::RESPONSE_STAMP);
                checker.request_succeeded(id, &res.body, &wire::body_of(id), stamp);
                return true;
            }
            StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST => checker.request_refused(id),
            StatusCode::NOT_FOUND => checker.add_violation(format!("request {id} found no route")),
            _ => checker.outcome_unknown(),
        }
        false
    }

    /// Probes one machine for the route of the newest configuration, until the end of the run.
    pub async fn probe(self: Rc<Self>, machine: Rc<Machine>) {
        let mut count = 0;
        while !self.is_finished.get() {
            monoio::time::sleep(PROBE_INTERVAL).await;
            count += 1;
            let (version, acknowledged) = self.newest.get();
            let process = machine.process_number();
            let is_settled = machine.is_settled();
            let address = machine.clients_addr(true);
            let Ok(mut conn) = Conn::connect(address, CONNECT_TIMEOUT, Limits::default()).await
            else {
                continue;
            };
            let id = format!("probe-{}-{count}", machine.number);
            let sent = Instant::now();
            let Ok(res) = conn
                .call(wire::probe(version, &id), CLIENT_TIMEOUT + RESPONSE_SLACK)
                .await
            else {
                continue;
            };
            let is_known = match res.status {
                StatusCode::OK => true,
                StatusCode::NOT_FOUND => false,
                _ => continue,
            };
            // A probe that overlaps a restart describes neither process.
            if machine.process_number() != process {
                continue;
            }
            self.shared.checker.borrow_mut().probe_answered(&Probe {
                machine: machine.number,
                process,
                version,
                acknowledged,
                sent,
                answered: Instant::now(),
                is_known,
                is_settled: is_settled && machine.is_settled(),
            });
        }
    }
}

fn draw_request(rng: &mut SmallRng, count: u64) -> (Method, String) {
    let service = [wire::ROLLOUT_SERVICE, wire::OTHER_SERVICE][rng.random_range(0..2)];
    if rng.random_bool(0.4) {
        (Method::POST, format!("/{service}/book/{count}"))
    } else {
        (Method::GET, format!("/{service}/{count}"))
    }
}
