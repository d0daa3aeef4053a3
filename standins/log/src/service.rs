//! Requests of the log's protocol.

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
use crate::bucket::Bucket;
use crate::counters::Counters;
use crate::counters::StreamCounters;
use crate::faults::Faults;
use crate::faults::Outage;
use crate::store::Found;
use crate::store::Store;

/// Records that one read may ask for.
const MAX_RECORDS: usize = 1000;

/// Longest wait of a read.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Longest pause that a throttled client is told.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Answers the requests.
pub struct Service {
    store: RefCell<Store>,
    bucket: RefCell<Bucket>,
    counters: RefCell<Counters>,
    outage: Cell<Outage>,
    latency: Cell<Duration>,
    lose_answers: Cell<u32>,
    silent_requests: Cell<u32>,
    /// Set and replaced at each append; wakes the reads that wait.
    appended: RefCell<Latch>,
}

/// A request of the protocol, parsed.
enum Call<'a> {
    Append { stream: &'a str },
    Read { stream: &'a str, range: Range },
    Bounds { stream: &'a str },
    Faults,
    Counters,
}

#[derive(Clone, Copy)]
struct Range {
    from: Offset,
    max: usize,
    wait: Duration,
}

impl Handler for Service {
    async fn handle(&self, req: Request) -> Response {
        let Some(call) = parse(&req) else {
            return Response::text(StatusCode::NOT_FOUND, "no such request");
        };
        match call {
            Call::Faults => self.switch(&req.body),
            Call::Counters => json(StatusCode::OK, &self.counters()),
            Call::Append { stream } => self.serve(self.append(stream, &req.body)).await,
            Call::Read { stream, range } => self.serve(self.read(stream, range)).await,
            Call::Bounds { stream } => self.serve(async { self.bounds(stream) }).await,
        }
    }
}

impl Service {
    pub fn new(cfg: Cfg) -> Self {
        Self {
            store: RefCell::new(Store::new(cfg.retention)),
            bucket: RefCell::new(Bucket::new(cfg.appends_per_second, Instant::now())),
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
            self.bucket.replace(Bucket::new(n, Instant::now()));
        }
        let mut store = self.store.borrow_mut();
        if let Some(n) = faults.retention_records {
            store.retention.records = n;
        }
        if let Some(age) = faults.retention_age {
            store.retention.age = age;
        }
    }

    fn switch(&self, body: &Bytes) -> Response {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.set_faults(&faults);
                json(StatusCode::OK, &faults)
            }
            Err(e) => Response::text(StatusCode::BAD_REQUEST, e.to_string()),
        }
    }

    /// Answers under the faults that are switched on.
    async fn serve(&self, answer: impl Future<Output = Response>) -> Response {
        monoio::time::sleep(self.latency.get()).await;
        if take_one(&self.silent_requests) {
            self.counters.borrow_mut().failed += 1;
            silence().await;
        }
        if let Some(refusal) = self.outage().await {
            return refusal;
        }
        let res = answer.await;
        // An outage that began while a read waited holds for its answer too.
        self.outage().await.unwrap_or(res)
    }

    /// The refusal of an outage; never returns while the service hangs.
    async fn outage(&self) -> Option<Response> {
        let outage = self.outage.get();
        if outage == Outage::None {
            return None;
        }
        self.counters.borrow_mut().failed += 1;
        if outage == Outage::Hang {
            silence().await;
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
            counters.bytes_in += length(text);
        });
        if take_one(&self.lose_answers) {
            silence().await;
        }
        json(StatusCode::OK, &AppendResponse { offset })
    }

    async fn read(&self, stream: &str, range: Range) -> Response {
        let deadline = Instant::now() + range.wait;
        loop {
            let now = Instant::now();
            let found = self
                .store
                .borrow_mut()
                .read(stream, range.from, range.max, now);
            match found {
                Found::Expired(bounds) => return json(StatusCode::GONE, &bounds),
                Found::Records(records) if records.records.is_empty() && now < deadline => {
                    self.wait_for_append(deadline - now).await;
                }
                Found::Records(records) => return self.answer(stream, &records),
            }
        }
    }

    async fn wait_for_append(&self, timeout: Duration) {
        let appended = self.appended.borrow().clone();
        let _ = monoio::time::timeout(timeout, appended.wait()).await;
    }

    fn answer(&self, stream: &str, records: &ReadResponse) -> Response {
        let bytes: u64 = records.records.iter().map(|r| length(&r.data)).sum();
        self.count(stream, |counters| {
            counters.reads += 1;
            counters.bytes_out += bytes;
        });
        json(StatusCode::OK, records)
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

fn parse(req: &Request) -> Option<Call<'_>> {
    match (&req.method, req.path()) {
        (&Method::POST, "/faults") => return Some(Call::Faults),
        (&Method::GET, "/counters") => return Some(Call::Counters),
        _ => {}
    }
    let rest = req.path().strip_prefix("/streams/")?;
    match (&req.method, rest.split_once('/')) {
        (&Method::POST, Some((stream, "records"))) => Some(Call::Append { stream }),
        (&Method::GET, Some((stream, "records"))) => {
            let range = parse_range(req)?;
            Some(Call::Read { stream, range })
        }
        (&Method::GET, None) => Some(Call::Bounds { stream: rest }),
        _ => None,
    }
}

fn parse_range(req: &Request) -> Option<Range> {
    let wait: u64 = number(req, "wait_ms", 0)?;
    Some(Range {
        from: number(req, "from", 0)?,
        max: number(req, "max", MAX_RECORDS)?.min(MAX_RECORDS),
        wait: Duration::from_millis(wait).min(MAX_WAIT),
    })
}

fn number<T: std::str::FromStr>(req: &Request, name: &str, default: T) -> Option<T> {
    match req.query(name) {
        Some(text) => text.parse().ok(),
        None => Some(default),
    }
}

fn take_one(counter: &Cell<u32>) -> bool {
    let left = counter.get();
    counter.set(left.saturating_sub(1));
    left > 0
}

// The server drops the answer's future when the client goes away.
async fn silence() {
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

fn length(text: &str) -> u64 {
    u64::try_from(text.len()).unwrap_or(u64::MAX)
}
