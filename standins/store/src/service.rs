//! HTTP handler of the store's calls: append, read and newest records by key.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::FastMap;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::StatusCode;
use http_edge::Handler;
use http_edge::Request;
use http_edge::Response;
use serde_json::json;
use smol_str::SmolStr;

use crate::topic::Topic;

/// Interval at which a waiting read checks for new records.
const READ_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Faults to inject; all are off by default.
#[derive(Debug, Default)]
pub struct Faults {
    /// Every call is refused with status 503 and has no effect.
    pub is_down: Cell<bool>,
    /// No call is answered, and neither are the reads that wait meanwhile, even later.
    pub is_silent: Cell<bool>,
    /// Appends take effect but are never answered.
    pub drops_append_responses: Cell<bool>,
    /// Responses with status 410 carry a body that cannot be decoded.
    pub garbles_expired: Cell<bool>,
    /// Era that all responses name in the header `Store-Era`; none if it is empty.
    pub era: RefCell<SmolStr>,
}

/// The store. Clones share topics and faults.
#[derive(Debug, Default, Clone)]
pub struct StoreService {
    topics: Rc<RefCell<FastMap<SmolStr, Topic>>>,
    faults: Rc<Faults>,
}

impl StoreService {
    /// Returns a service on the same topics with faults of its own, as for callers that the store turns away.
    #[must_use]
    pub fn with_own_faults(&self) -> Self {
        Self {
            topics: Rc::clone(&self.topics),
            faults: Rc::default(),
        }
    }

    /// Returns the faults; setting a cell takes effect for later calls.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Calls `f` with a topic, which is created if it does not exist. Tests use it to read topics
    /// and to write records without a call.
    pub fn with_topic<R>(&self, name: &str, f: impl FnOnce(&mut Topic) -> R) -> R {
        f(self.topics.borrow_mut().entry(name.into()).or_default())
    }

    async fn append(&self, name: &str, req: &Request) -> Response {
        let expected_end = req.query("At").and_then(|raw| raw.parse().ok());
        let end = self.with_topic(name, |topic| topic.end());
        if expected_end.is_some_and(|expected: u64| expected != end) {
            return Response::json(
                StatusCode::PRECONDITION_FAILED,
                json!({ "End": end }).to_string(),
            );
        }
        let appended = self.with_topic(name, |topic| {
            topic
                .append(req.body.to_bytes())
                .map(|offset| (offset, topic.end()))
        });
        if self.faults.drops_append_responses.get() {
            std::future::pending::<()>().await;
        }
        match appended {
            Ok((offset, end)) => Response::json(
                StatusCode::OK,
                json!({ "Offset": offset, "End": end }).to_string(),
            ),
            Err(_) => Response::text(StatusCode::BAD_REQUEST, "malformed records"),
        }
    }

    async fn read(&self, name: &str, req: &Request) -> Response {
        let parse_query = |key: &str| req.query(key).and_then(|text| text.parse::<u64>().ok());
        let Some(from) = parse_query("From") else {
            return Response::text(StatusCode::BAD_REQUEST, "From is missing");
        };
        let deadline = Instant::now() + Duration::from_millis(parse_query("WaitMs").unwrap_or(0));
        // A read beyond the end is answered at once, since nothing can be appended there next.
        while self.with_topic(name, |topic| topic.end()) == from && Instant::now() < deadline {
            monoio::time::sleep(READ_POLL_INTERVAL).await;
            self.hang_if_silent().await;
        }
        let page = self.with_topic(name, |topic| topic.page(from));
        let Some(page) = page else {
            if self.faults.garbles_expired.get() {
                return Response::text(StatusCode::GONE, "no such records");
            }
            let first = self.with_topic(name, |topic| topic.first());
            return Response::json(StatusCode::GONE, json!({ "First": first }).to_string());
        };
        Response::new(StatusCode::OK, page)
    }

    fn newest(&self, name: &str) -> Response {
        let (records, end) = self.with_topic(name, |topic| (topic.newest(), topic.end()));
        let items: Vec<_> = records
            .iter()
            .map(|(key, offset, value)| {
                json!({ "Key": key, "Value": STANDARD.encode(value), "Offset": offset })
            })
            .collect();
        let body = json!({ "items": items, "More": false, "End": end });
        Response::json(StatusCode::OK, body.to_string())
    }
}

impl Handler for StoreService {
    async fn handle(&self, req: Request) -> Response {
        let res = self.answer(&req).await;
        let era = self.faults.era.borrow();
        if era.is_empty() {
            return res;
        }
        res.with_header("store-era", era.as_str())
    }
}

impl StoreService {
    async fn hang_if_silent(&self) {
        if self.faults.is_silent.get() {
            std::future::pending::<()>().await;
        }
    }

    async fn answer(&self, req: &Request) -> Response {
        self.hang_if_silent().await;
        if self.faults.is_down.get() {
            return Response::text(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        if req.header("host").is_none() {
            return Response::text(StatusCode::BAD_REQUEST, "Host is missing");
        }
        let Some(name) = req.query("Topic").map(str::to_owned) else {
            return Response::text(StatusCode::BAD_REQUEST, "Topic is missing");
        };
        match req.path() {
            "/-/log-append" => self.append(&name, req).await,
            "/-/log-read" => self.read(&name, req).await,
            "/-/log-newest" => self.newest(&name),
            _ => Response::text(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}
