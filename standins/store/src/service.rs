//! The store's calls.

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

/// How often a read that waits looks for records.
const WAIT_POLL: Duration = Duration::from_millis(5);

/// Faults of the store.
#[derive(Debug, Default)]
pub struct Faults {
    /// Every call is refused with 503.
    pub is_down: Cell<bool>,
    /// Appends are done and not answered.
    pub drops_append_responses: Cell<bool>,
}

/// The store.
#[derive(Debug, Default, Clone)]
pub struct StoreService {
    topics: Rc<RefCell<FastMap<SmolStr, Topic>>>,
    faults: Rc<Faults>,
}

impl StoreService {
    /// Switches for its faults.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Looks at or changes a topic, as the operator does.
    pub fn with_topic<R>(&self, name: &str, f: impl FnOnce(&mut Topic) -> R) -> R {
        f(self.topics.borrow_mut().entry(name.into()).or_default())
    }

    async fn append(&self, name: &str, req: &Request) -> Response {
        let at = req.query("At").and_then(|at| at.parse().ok());
        let end = self.with_topic(name, |topic| topic.end());
        if at.is_some_and(|at: u64| at != end) {
            return Response::json(
                StatusCode::PRECONDITION_FAILED,
                json!({ "End": end }).to_string(),
            );
        }
        let appended = self.with_topic(name, |topic| {
            topic
                .append(req.body.clone())
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
        let number = |key: &str| req.query(key).and_then(|text| text.parse::<u64>().ok());
        let Some(from) = number("From") else {
            return Response::text(StatusCode::BAD_REQUEST, "From is missing");
        };
        let until = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
        while self.with_topic(name, |topic| topic.end()) <= from && Instant::now() < until {
            monoio::time::sleep(WAIT_POLL).await;
        }
        let page = self.with_topic(name, |topic| topic.page(from));
        let Some(page) = page else {
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
            "/-/log-append" => self.append(&name, &req).await,
            "/-/log-read" => self.read(&name, &req).await,
            "/-/log-newest" => self.newest(&name),
            _ => Response::text(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}
