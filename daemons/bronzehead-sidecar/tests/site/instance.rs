//! An instance of the service.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use base::units::unix_millis;
use http::StatusCode;
use http_edge::Handler;
use http_edge::Request;
use http_edge::Response;

use super::HEALTH_PATH;
use super::TIMEOUT;

/// An instance: answers requests after a while, or at their deadline, and records when they arrived.
pub struct Instance {
    pub id: String,
    pub arrivals: RefCell<Vec<(Instant, String)>>,
    pub work: Cell<Duration>,
    /// Size of the body of its answers; the body is the request's id if 0.
    pub answer_bytes: Cell<usize>,
    /// Size of the largest body that it received.
    pub largest_body: Cell<usize>,
    pub is_beating: Cell<bool>,
    /// Whether it says in health answers that it stays.
    pub is_staying: Cell<bool>,
    pub born: u64,
    pub sequence: Cell<u64>,
}

impl Instance {
    pub fn new(number: u8) -> Self {
        Self {
            id: format!("i-{number}"),
            arrivals: RefCell::default(),
            work: Cell::new(Duration::from_millis(20)),
            answer_bytes: Cell::new(0),
            largest_body: Cell::new(0),
            is_beating: Cell::new(true),
            is_staying: Cell::new(true),
            born: unix_millis(SystemTime::now()),
            sequence: Cell::new(0),
        }
    }

    /// Returns how many requests arrived at `since` or later.
    pub fn arrivals_since(&self, since: Instant) -> usize {
        let arrivals = self.arrivals.borrow();
        arrivals.iter().filter(|(at, _)| *at >= since).count()
    }

    /// Returns how often a request arrived.
    pub fn runs(&self, id: &str) -> usize {
        let arrivals = self.arrivals.borrow();
        arrivals.iter().filter(|(_, known)| known == id).count()
    }
}

impl Handler for Instance {
    async fn handle(&self, req: Request) -> Response {
        if req.path() == HEALTH_PATH {
            let status = if self.is_staying.get() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            return Response::text(status, "").with_header("x-instance-id", &self.id);
        }
        let id = req.header("x-request-id").unwrap_or_default().to_owned();
        if req.header("x-target-instance") != Some(self.id.as_str()) {
            let refusal = Response::text(StatusCode::MISDIRECTED_REQUEST, "another instance");
            return refusal
                .with_header("x-request-id", id)
                .with_header("x-not-executed", "1");
        }
        let arrival = (Instant::now(), id.clone());
        self.arrivals.borrow_mut().push(arrival);
        let largest = self.largest_body.get().max(req.body.len());
        self.largest_body.set(largest);
        let deadline = req.header("x-deadline-ms").and_then(|ms| ms.parse().ok());
        let left = deadline.map_or(TIMEOUT, Duration::from_millis);
        let status = if self.work.get() <= left {
            StatusCode::OK
        } else {
            StatusCode::GATEWAY_TIMEOUT
        };
        monoio::time::sleep(self.work.get().min(left)).await;
        let body = match self.answer_bytes.get() {
            0 => id.clone(),
            bytes => "x".repeat(bytes),
        };
        Response::text(status, body)
            .with_header("x-request-id", id)
            .with_header("x-response-stamp", &self.id)
    }
}
