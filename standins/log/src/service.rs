//! HTTP handler of the log's protocol, with fault injection and the rate limit.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::pending;
use std::time::Duration;
use std::time::Instant;

use base::Offset;
use bytes::Bytes;
use http::Method;
use http::StatusCode;
use http_edge::Handler;
use http_edge::Latch;
use http_edge::Request;
use http_edge::Response;
use platform::wire::AppendResponse;
use platform::wire::ReadResponse;
use serde::Serialize;

use crate::Cfg;
use crate::counters::Counters;
use crate::counters::StreamCounters;
use crate::faults::Faults;
use crate::faults::Outage;
use crate::store::ReadResult;
use crate::store::Store;
use crate::token_bucket::TokenBucket;

/// Maximum number of records that one read returns.
const MAX_RECORDS: usize = 1000;

/// Longest time that a read at the end of a stream waits for records.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Maximum wait in the `Retry-After` header of a throttled append, before rounding up.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

/// State of the log that all requests share.
pub struct Service {
    store: RefCell<Store>,
    bucket: RefCell<TokenBucket>,
    counters: RefCell<Counters>,
    outage: Cell<Outage>,
    latency: Cell<Duration>,
    lose_answers: Cell<u32>,
    silent_requests: Cell<u32>,
    /// Set and replaced at each append, which wakes the waiting reads.
    appended: RefCell<Latch>,
}

/// A parsed request.
enum ApiRequest<'a> {
    Append { stream: &'a str },
    Read { stream: &'a str, range: ReadRange },
    Bounds { stream: &'a str },
    Faults,
    Counters,
}

#[derive(Clone, Copy)]
struct ReadRange {
    from: Offset,
    max: usize,
    wait: Duration,
}

impl Handler for Service {
    async fn handle(&self, req: Request) -> Response {
        let Some(api_request) = parse(&req) else {
            return Response::text(StatusCode::NOT_FOUND, "no such request");
        };
        match api_request {
            ApiRequest::Faults => self.handle_set_faults(&req.body.to_bytes()),
            ApiRequest::Counters => json(StatusCode::OK, &self.counters()),
            ApiRequest::Append { stream } => {
                self.respond(self.append(stream, &req.body.to_bytes()))
                    .await
            }
            ApiRequest::Read { stream, range } => self.respond(self.read(stream, range)).await,
            ApiRequest::Bounds { stream } => self.respond(async { self.bounds(stream) }).await,
        }
    }
}

impl Service {
    pub fn new(cfg: Cfg) -> Self {
        Self {
            store: RefCell::new(Store::new(cfg.retention)),
            bucket: RefCell::new(TokenBucket::new(cfg.appends_per_second, Instant::now())),
            counters: RefCell::default(),
            outage: Cell::default(),
            latency: Cell::default(),
            lose_answers: Cell::default(),
            silent_requests: Cell::default(),
            appended: RefCell::default(),
        }
    }

    pub fn counters(&self) -> Counters {
        self.counters.borrow().clone()
    }

    pub fn set_faults(&self, faults: &Faults) {
        if let Some(outage) = faults.outage {
            self.outage.set(outage);
        }
        if let Some(latency) = faults.latency {
            self.latency.set(latency);
        }
        if let Some(n) = faults.lose_answers {
            self.lose_answers.set(n);
        }
        if let Some(n) = faults.silent_requests {
            self.silent_requests.set(n);
        }
        if let Some(n) = faults.appends_per_second {
            self.bucket.replace(TokenBucket::new(n, Instant::now()));
        }
        let mut store = self.store.borrow_mut();
        if let Some(n) = faults.retention_records {
            store.retention.records = n;
        }
        if let Some(age) = faults.retention_age {
            store.retention.age = age;
        }
    }

    fn handle_set_faults(&self, body: &Bytes) -> Response {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.set_faults(&faults);
                json(StatusCode::OK, &faults)
            }
            Err(e) => Response::text(StatusCode::BAD_REQUEST, e.to_string()),
        }
    }

    /// Serves a request under the latency, silence and outage that are set.
    async fn respond(&self, response: impl Future<Output = Response>) -> Response {
        monoio::time::sleep(self.latency.get()).await;
        if consume_one(&self.silent_requests) {
            self.counters.borrow_mut().failed += 1;
            never_respond().await;
        }
        if let Some(error_response) = self.outage_response().await {
            return error_response;
        }
        let res = response.await;
        // An outage may have begun while a read waited; it applies to that response too.
        self.outage_response().await.unwrap_or(res)
    }

    /// Returns the error response during an outage. Never returns if the outage is a hang.
    async fn outage_response(&self) -> Option<Response> {
        let outage = self.outage.get();
        if outage == Outage::None {
            return None;
        }
        self.counters.borrow_mut().failed += 1;
        if outage == Outage::Hang {
            never_respond().await;
        }
        Some(unavailable())
    }

    async fn append(&self, stream: &str, body: &Bytes) -> Response {
        let now = Instant::now();
        if let Err(wait) = self.bucket.borrow_mut().take(now) {
            self.counters.borrow_mut().throttled += 1;
            return throttled(wait);
        }
        let Ok(text) = std::str::from_utf8(body) else {
            return Response::text(StatusCode::BAD_REQUEST, "a record is text");
        };
        let appended = self.store.borrow_mut().append(stream, text.to_owned(), now);
        let Ok(offset) = appended else {
            return Response::text(StatusCode::BAD_REQUEST, "too many streams");
        };
        self.appended.take().set();
        self.count(stream, |counters| {
            counters.appends += 1;
            counters.bytes_in += byte_len(text);
        });
        if consume_one(&self.lose_answers) {
            never_respond().await;
        }
        json(StatusCode::OK, &AppendResponse { offset })
    }

    async fn read(&self, stream: &str, range: ReadRange) -> Response {
        let deadline = Instant::now() + range.wait;
        loop {
            let now = Instant::now();
            let result = self
                .store
                .borrow_mut()
                .read(stream, range.from, range.max, now);
            match result {
                ReadResult::Expired(bounds) => return json(StatusCode::GONE, &bounds),
                ReadResult::Records(page) if page.records.is_empty() && now < deadline => {
                    self.wait_for_append(deadline - now).await;
                }
                ReadResult::Records(page) => return self.page_response(stream, &page),
            }
        }
    }

    async fn wait_for_append(&self, timeout: Duration) {
        let appended = self.appended.borrow().clone();
        let _ = monoio::time::timeout(timeout, appended.wait()).await;
    }

    fn page_response(&self, stream: &str, page: &ReadResponse) -> Response {
        let bytes: u64 = page.records.iter().map(|r| byte_len(&r.data)).sum();
        self.count(stream, |counters| {
            counters.reads += 1;
            counters.bytes_out += bytes;
        });
        json(StatusCode::OK, page)
    }

    fn bounds(&self, stream: &str) -> Response {
        let bounds = self.store.borrow_mut().bounds(stream, Instant::now());
        json(StatusCode::OK, &bounds)
    }

    fn count(&self, stream: &str, update: impl FnOnce(&mut StreamCounters)) {
        let mut counters = self.counters.borrow_mut();
        update(counters.streams.entry(stream.into()).or_default());
    }
}

fn parse(req: &Request) -> Option<ApiRequest<'_>> {
    match (&req.method, req.path()) {
        (&Method::POST, "/faults") => return Some(ApiRequest::Faults),
        (&Method::GET, "/counters") => return Some(ApiRequest::Counters),
        _ => {}
    }
    let rest = req.path().strip_prefix("/streams/")?;
    match (&req.method, rest.split_once('/')) {
        (&Method::POST, Some((stream, "records"))) => Some(ApiRequest::Append { stream }),
        (&Method::GET, Some((stream, "records"))) => {
            let range = parse_range(req)?;
            Some(ApiRequest::Read { stream, range })
        }
        (&Method::GET, None) => Some(ApiRequest::Bounds { stream: rest }),
        _ => None,
    }
}

fn parse_range(req: &Request) -> Option<ReadRange> {
    let wait_ms: u64 = parse_query(req, "wait_ms", 0)?;
    Some(ReadRange {
        from: parse_query(req, "from", 0)?,
        max: parse_query(req, "max", MAX_RECORDS)?.min(MAX_RECORDS),
        wait: Duration::from_millis(wait_ms).min(MAX_WAIT),
    })
}

fn parse_query<T: std::str::FromStr>(req: &Request, name: &str, default: T) -> Option<T> {
    match req.query(name) {
        Some(text) => text.parse().ok(),
        None => Some(default),
    }
}

fn consume_one(counter: &Cell<u32>) -> bool {
    let left = counter.get();
    counter.set(left.saturating_sub(1));
    left > 0
}

// Ends when the server drops the response's future, which it does once the client disconnects.
async fn never_respond() {
    pending::<()>().await;
}

fn unavailable() -> Response {
    Response::text(StatusCode::SERVICE_UNAVAILABLE, "out of service")
}

fn throttled(wait: Duration) -> Response {
    let seconds = wait.min(MAX_RETRY_AFTER).as_secs() + 1;
    Response::text(StatusCode::TOO_MANY_REQUESTS, "too many appends")
        .with_header("retry-after", seconds.to_string())
}

fn json(status: StatusCode, value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(text) => Response::json(status, text),
        Err(e) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

fn byte_len(text: &str) -> u64 {
    u64::try_from(text.len()).unwrap_or(u64::MAX)
}
