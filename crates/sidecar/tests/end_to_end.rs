//! End-to-end tests: clients, daemons, instances and the stand-in store in one process, on loopback
//! addresses.

mod common;

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use http::StatusCode;
use http_edge::Conn;
use http_edge::Handler;
use http_edge::Limits;
use http_edge::Request;
use http_edge::Response;
use http_edge::Server;
use http_edge::ServerCfg;
use ledger::Idempotency;
use mesh::rate_limit::RequestRate;
use mesh::wire::ForwardHead;
use monoio::io::AsyncWriteRentExt;
use protocol::call::CALL_HEADER;
use protocol::codec;
use sidecar::run::Daemon;
use standin_store::StoreService;
use users_platform::BootConfig;
use users_platform::records;

use crate::common::HEARTBEATS;
use crate::common::INSTANCE;
use crate::common::PEERS;
use crate::common::READY;
use crate::common::REQUESTS;
use crate::common::STORE;
use crate::common::TIMEOUT;

/// How a test instance responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerMode {
    Answers,
    Rejects,
    MismatchesIds,
}

struct Instance {
    name: String,
    answer_mode: Cell<AnswerMode>,
    received: RefCell<Vec<Request>>,
    arrivals: RefCell<Vec<Instant>>,
    /// Value of the header `Server-Limit` in its responses.
    limit: RefCell<Option<&'static str>>,
    /// Whether its responses say that it is leaving.
    is_leaving: Cell<bool>,
    /// Time that each response takes.
    service_time: Cell<Duration>,
}

impl Instance {
    fn new(number: u8) -> Self {
        Self {
            name: format!("i-{number}"),
            answer_mode: Cell::new(AnswerMode::Answers),
            received: RefCell::default(),
            arrivals: RefCell::default(),
            limit: RefCell::default(),
            is_leaving: Cell::new(false),
            service_time: Cell::default(),
        }
    }

    fn arrivals_since(&self, since: Instant) -> usize {
        let arrivals = self.arrivals.borrow();
        arrivals.iter().filter(|at| **at >= since).count()
    }
}

impl Handler for Instance {
    async fn handle(&self, req: Request) -> Response {
        let id = req.header("x-request-id").unwrap_or_default().to_owned();
        self.received.borrow_mut().push(req);
        self.arrivals.borrow_mut().push(Instant::now());
        monoio::time::sleep(self.service_time.get()).await;
        let mut res =
            Response::text(StatusCode::OK, self.name.clone()).with_header("x-request-id", id);
        if let Some(limit) = *self.limit.borrow() {
            res = res.with_header("server-limit", limit);
        }
        if self.is_leaving.get() {
            res = res.with_header("server-leaving", "1");
        }
        match self.answer_mode.get() {
            AnswerMode::Answers => res.with_header("x-response-stamp", &self.name),
            AnswerMode::Rejects => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Response { status, ..res }.with_header("x-not-executed", "1")
            }
            // The response carries another request's id, as after mixed-up bytes on a connection.
            // The daemon discards it, so the answer is lost.
            AnswerMode::MismatchesIds => res.with_header("x-request-id", "other"),
        }
    }
}

struct Machine {
    daemon: Daemon,
    instance: Rc<Instance>,
    server: Server,
    ip: IpAddr,
    heartbeats_sent: Cell<u64>,
}

/// Each test has its own addresses, since tests run in parallel.
fn ip(test: u8, machine: u8) -> IpAddr {
    IpAddr::from([127, 7, test, machine])
}

fn boot(test: u8, machine: u8, service: &str) -> BootConfig {
    let name = format!("machine-{machine}");
    common::boot(&name, ip(test, machine), service, ip(test, 1))
}

fn serve<H: Handler>(address: SocketAddr, handler: Rc<H>) -> Server {
    let listener = http_edge::listen(address).expect("the address is free");
    Server::start(listener, handler, ServerCfg::default())
}

async fn machine(boot: BootConfig, number: u8) -> Machine {
    let service = boot.service.clone();
    let instance = Rc::new(Instance::new(number));
    let server = serve(boot.instance_address, Rc::clone(&instance));
    let ip = boot.ip;
    let machine = Machine {
        daemon: Daemon::start(boot).expect("the daemon starts"),
        instance,
        server,
        ip,
        heartbeats_sent: Cell::new(0),
    };
    machine.send_heartbeat(&service, "ready").await;
    machine
}

impl Machine {
    async fn send_heartbeat(&self, service: &str, state: &str) {
        self.heartbeats_sent.set(self.heartbeats_sent.get() + 1);
        let body = format!(
            r#"{{"Service":"{service}","Address":"{}:{INSTANCE}","Zone":"suva-a","Version":"v1","Slots":4,"State":"{state}","ColdLeft":"0ms","Seq":{},"born":7}}"#,
            self.ip,
            self.heartbeats_sent.get(),
        );
        let target = format!("/-/Instances.Heartbeat/{}", self.instance.name);
        let res = send(self.ip, HEARTBEATS, Request::post(target, body)).await;
        assert_eq!(res.status, StatusCode::OK);
    }

    async fn send_request(&self, method: http::Method, path: &str, id: &str) -> Response {
        self.send_body(method, path, id, Vec::new()).await
    }

    async fn send_body(
        &self,
        method: http::Method,
        path: &str,
        id: &str,
        body: Vec<u8>,
    ) -> Response {
        let req = Request::new(method, path, body)
            .with_header("host", "shop.example")
            .with_header("x-request-id", id)
            .with_header("x-deadline-ms", "2000");
        send(self.ip, REQUESTS, req).await
    }

    fn request_ids(&self) -> Vec<String> {
        let received = self.instance.received.borrow();
        let id = |req: &Request| req.header("x-request-id").unwrap_or_default().to_owned();
        received.iter().map(id).collect()
    }

    async fn close(self) {
        self.daemon.close().await;
        self.server.close(Duration::ZERO).await;
    }
}

async fn send(ip: IpAddr, port: u16, req: Request) -> Response {
    let address = SocketAddr::new(ip, port);
    let conn = Conn::connect(address, TIMEOUT, Limits::default()).await;
    let mut conn = conn.expect("the daemon listens");
    conn.call(req, TIMEOUT).await.expect("a complete response")
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn append(store: &StoreService, topic: &str, key: &str, value: &[u8]) {
    let mut buf = BytesMut::new();
    records::encode(&mut buf, key, value).expect("the key is short enough");
    let appended = store.with_topic(topic, |topic| topic.append(buf.freeze()));
    appended.expect("the record is complete");
}

fn put_config(store: &StoreService, version: u64, service: &str) {
    let text = format!(
        r#"{{"Version":"r{version}","Routes":{{
"look":{{"Hostname":"shop.example","PathPrefix":"/look/","Kind":"idempotent","Timeout":"1500ms","TargetLatency":"300ms","Priority":2,"Service":"{service}","Attempts":2}},
"book":{{"Hostname":"shop.example","PathPrefix":"/book/","Kind":"non_idempotent","Timeout":"1500ms","TargetLatency":"300ms","Priority":1,"Service":"{service}","Attempts":2}},
"spare":{{"Hostname":"spare.example","PathPrefix":"/look/","Kind":"idempotent","Timeout":"1500ms","TargetLatency":"300ms","Priority":2,"Service":"spare","Attempts":2}}}},
"Services":{{"{service}":{{}},"spare":{{}}}},
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":65536,"HeaderTimeout":"3s","IdleTimeout":"15s"}}}}"#
    );
    append(store, "keyed.op", "config", text.as_bytes());
}

/// Runs a test with a store and two machines: the first runs the service `catalogue`, the second
/// one `bookings`.
fn with_fleet<F: Future<Output = (Machine, Machine)>>(
    test: u8,
    body: impl FnOnce(StoreService, Machine, Machine) -> F,
) {
    with_fleet_on_links(test, 1000, body);
}

/// As [`with_fleet`], on machines with links of this rate.
fn with_fleet_on_links<F: Future<Output = (Machine, Machine)>>(
    test: u8,
    link_mbps: u32,
    body: impl FnOnce(StoreService, Machine, Machine) -> F,
) {
    http_edge::block_on(async {
        let store = StoreService::default();
        let address = SocketAddr::new(ip(test, 1), STORE);
        let server = serve(address, Rc::new(store.clone()));
        put_config(&store, 3, "bookings");
        let boot = |machine, service| BootConfig {
            link_mbps,
            ..boot(test, machine, service)
        };
        let front = machine(boot(2, "catalogue"), 2).await;
        let back = machine(boot(3, "bookings"), 3).await;
        wait_until("both daemons are ready", || {
            let is_up =
                |machine: &Machine| machine.daemon.is_ready() && machine.daemon.member_count() == 2;
            is_up(&front) && is_up(&back)
        })
        .await;
        let (front, back) = body(store, front, back).await;
        front.close().await;
        back.close().await;
        server.close(Duration::ZERO).await;
    });
}

#[test]
fn a_request_is_forwarded_to_the_instance_of_another_daemon() {
    with_fleet(1, |_, front, back| async move {
        wait_for_instance(&front).await;
        let before = back.request_ids().len();
        let res = front
            .send_request(http::Method::GET, "/look/7?x=1", "id-1")
            .await;
        assert_eq!(res.status, StatusCode::OK);
        assert_eq!(res.header("x-response-stamp"), Some("i-3"));
        {
            let received = back.instance.received.borrow();
            let req = &received[before];
            assert_eq!(req.target, "/look/7?x=1");
            assert_eq!(req.header("x-caller-service"), Some("catalogue"));
            assert_eq!(req.header("x-target-instance"), Some("i-3"));
            let left: u64 = req.header("x-deadline-ms").unwrap().parse().unwrap();
            assert!((1..=1500).contains(&left), "{left}");
        }
        let res = front
            .send_request(http::Method::GET, "/none/", "id-2")
            .await;
        assert_eq!(res.status, StatusCode::NOT_FOUND);
        (front, back)
    });
}

#[test]
fn a_draining_instance_gets_no_request_and_the_refusal_allows_a_retry() {
    with_fleet(2, |_, front, back| async move {
        wait_for_instance(&front).await;
        back.send_heartbeat("bookings", "draining").await;
        let before = back.request_ids().len();
        let res = front
            .send_request(http::Method::POST, "/book/1", "id-1")
            .await;
        assert_eq!(res.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(res.header("retry-after").is_some());
        assert_eq!(back.request_ids().len(), before);
        (front, back)
    });
}

#[test]
fn a_non_idempotent_request_whose_answer_is_lost_runs_once() {
    with_fleet(3, |_, front, back| async move {
        wait_for_instance(&front).await;
        back.instance.answer_mode.set(AnswerMode::MismatchesIds);
        let res = front
            .send_request(http::Method::POST, "/book/1", "id-1")
            .await;
        assert_eq!(res.status, StatusCode::BAD_GATEWAY);
        let runs = back.request_ids().iter().filter(|id| *id == "id-1").count();
        assert_eq!(runs, 1);
        (front, back)
    });
}

#[test]
fn a_request_that_may_have_run_is_not_reported_as_not_run() {
    with_fleet(8, |_, front, back| async move {
        wait_for_instance(&front).await;
        back.instance.answer_mode.set(AnswerMode::MismatchesIds);
        // The request is idempotent, but no other instance is left for a retry.
        let res = front
            .send_request(http::Method::GET, "/look/1", "id-1")
            .await;
        assert!(back.request_ids().contains(&"id-1".to_owned()));
        assert_eq!(res.status, StatusCode::BAD_GATEWAY);
        (front, back)
    });
}

#[test]
fn a_rejection_by_the_only_instance_is_reported_as_not_run() {
    with_fleet(4, |_, front, back| async move {
        wait_for_instance(&front).await;
        back.instance.answer_mode.set(AnswerMode::Rejects);
        let res = front
            .send_request(http::Method::POST, "/book/1", "id-1")
            .await;
        assert_eq!(res.status, StatusCode::SERVICE_UNAVAILABLE);
        (front, back)
    });
}

/// Uploads on a slow link are granted in turn, and each arrives whole and once.
#[test]
fn large_bodies_arrive_whole_over_a_slow_link() {
    with_fleet_on_links(9, 16, |_, front, back| async move {
        wait_for_instance(&front).await;
        let front = Rc::new(front);
        let uploads: Vec<_> = (0..8_u8)
            .map(|number| {
                let front = Rc::clone(&front);
                monoio::spawn(async move {
                    let body = vec![number; 120_000];
                    let id = format!("up-{number}");
                    let res = front
                        .send_body(http::Method::POST, "/book/1", &id, body)
                        .await;
                    (id, res)
                })
            })
            .collect();
        for (number, upload) in (0_u8..).zip(uploads) {
            let (id, res) = upload.await;
            let received = back.instance.received.borrow();
            let is_same = |req: &&Request| req.header("x-request-id") == Some(id.as_str());
            let runs: Vec<&Request> = received.iter().filter(is_same).collect();
            // The route leaves an upload 150 ms on the network, so the last ones may be refused.
            if res.status == StatusCode::SERVICE_UNAVAILABLE {
                assert!(res.header("retry-after").is_some());
                assert!(runs.is_empty(), "{id} was refused and ran");
                continue;
            }
            assert_eq!(res.status, StatusCode::OK, "{id}");
            assert_eq!(runs.len(), 1, "{id}");
            assert!(runs[0].body.len() == 120_000 && runs[0].body.iter().all(|b| *b == number));
        }
        let first = front.send_body(http::Method::POST, "/book/1", "up-9", vec![9; 120_000]);
        assert_eq!(first.await.status, StatusCode::OK);
        let front = Rc::into_inner(front).expect("all uploads have ended");
        (front, back)
    });
}

#[test]
fn an_upload_that_is_cut_never_runs() {
    with_fleet_on_links(10, 16, |_, front, back| async move {
        wait_for_instance(&front).await;
        let address = SocketAddr::new(front.ip, REQUESTS);
        let mut stream = monoio::net::TcpStream::connect(address)
            .await
            .expect("the daemon listens");
        let head = "POST /book/1 HTTP/1.1\r\nhost: shop.example\r\nx-request-id: cut\r\n\
                    x-deadline-ms: 2000\r\ncontent-length: 100000\r\n\r\n";
        let sent = [head.as_bytes(), &vec![7; 50_000]].concat();
        let (written, _) = stream.write_all(sent).await;
        written.expect("the daemon reads");
        monoio::time::sleep(Duration::from_millis(100)).await;
        drop(stream);
        monoio::time::sleep(Duration::from_millis(300)).await;
        assert!(!back.request_ids().iter().any(|id| id == "cut"));
        (front, back)
    });
}

#[test]
fn a_configuration_reaches_all_daemons_and_no_older_one_replaces_it() {
    with_fleet(5, |store, front, back| async move {
        put_config(&store, 9, "bookings");
        put_config(&store, 4, "catalogue");
        wait_until("both have the configuration", || {
            front.daemon.config_version() == 9 && back.daemon.config_version() == 9
        })
        .await;
        // The store drops old records and keeps the newest one of each key.
        store.with_topic("keyed.op", standin_store::Topic::delete_records);
        put_config(&store, 12, "bookings");
        wait_until("both have the later configuration", || {
            front.daemon.config_version() == 12 && back.daemon.config_version() == 12
        })
        .await;
        (front, back)
    });
}

#[test]
fn a_stopping_daemon_serves_its_instance_until_it_closes() {
    with_fleet(6, |_, front, back| async move {
        let settings = BootConfig {
            grace_period: Duration::from_secs(6),
            ..boot(6, 4, "spare")
        };
        let spare = machine(settings, 4).await;
        wait_until("the spare daemon is known", || {
            front.daemon.member_count() == 3
        })
        .await;
        let closed = Rc::new(Cell::new(false));
        let closing = Rc::clone(&closed);
        let spare_instance = Rc::clone(&spare.instance);
        monoio::spawn(async move {
            spare.close().await;
            closing.set(true);
        });
        // Long enough for the shutdown announcement to reach the other daemons.
        monoio::time::sleep(Duration::from_secs(1)).await;
        let ready = Request::get("/-/readyz");
        let res = send(ip(6, 4), READY, ready).await;
        assert_eq!(res.status, StatusCode::SERVICE_UNAVAILABLE);
        let req = Request::get("/look/1")
            .with_header("host", "spare.example")
            .with_header("x-request-id", "id-1")
            .with_header("x-deadline-ms", "2000");
        let res = send(front.ip, REQUESTS, req).await;
        assert_eq!(res.status, StatusCode::OK);
        assert_eq!(spare_instance.received.borrow().len(), 1);
        wait_until("the spare daemon has closed", || closed.get()).await;
        (front, back)
    });
}

/// Counts of the responses to a stream of requests.
#[derive(Debug, Default)]
struct Tally {
    answered: Cell<usize>,
    refused: Cell<usize>,
    other: Cell<usize>,
}

/// Sends a request each `interval` until `end`, without waiting for the responses.
async fn send_stream(machine: Rc<Machine>, interval: Duration, end: Instant, tally: Rc<Tally>) {
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let (machine, tally) = (Rc::clone(&machine), Rc::clone(&tally));
        monoio::spawn(async move {
            let id = format!("stream-{}-{number}", machine.ip);
            let res = machine
                .send_request(http::Method::GET, "/look/1", &id)
                .await;
            let count = match res.status {
                StatusCode::OK => &tally.answered,
                StatusCode::SERVICE_UNAVAILABLE if res.header("retry-after").is_some() => {
                    &tally.refused
                }
                _ => &tally.other,
            };
            count.set(count.get() + 1);
        });
        monoio::time::sleep(interval).await;
    }
}

/// Sends requests from both machines to the only instance of the service for [`OFFERED_TIME`].
async fn overload(front: Machine, back: Machine) -> (Machine, Machine, Rc<Tally>) {
    let (front, back, tally) = (Rc::new(front), Rc::new(back), Rc::new(Tally::default()));
    let end = Instant::now() + OFFERED_TIME;
    let streams = [&front, &back].map(|machine| {
        let stream = send_stream(Rc::clone(machine), OFFER_INTERVAL, end, Rc::clone(&tally));
        monoio::spawn(stream)
    });
    for stream in streams {
        stream.await;
    }
    // Requests that are still under way hold their machine.
    let end = Instant::now() + TIMEOUT;
    while Rc::strong_count(&front) + Rc::strong_count(&back) > 2 {
        assert!(Instant::now() < end, "requests without a response");
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
    let front = Rc::into_inner(front).expect("all requests have ended");
    let back = Rc::into_inner(back).expect("all requests have ended");
    (front, back, tally)
}

/// Time in which a limit must be in force after an instance first stated it.
const LIMIT_SETTLE: Duration = Duration::from_secs(3);

/// Span in which the requests to an instance are counted.
const LIMIT_SPAN: Duration = Duration::from_secs(4);

/// Time for which [`overload`] sends requests, and the time between two of one machine.
const OFFERED_TIME: Duration = Duration::from_secs(8);
const OFFER_INTERVAL: Duration = Duration::from_millis(25);

/// Most requests in any [`LIMIT_SPAN`] that the platform accepts for a stated limit.
fn allowed(per_sec: f64) -> f64 {
    1.5 * per_sec * LIMIT_SPAN.as_secs_f64() + 5.0
}

fn assert_limit_is_held(instance: &Instance, per_sec: f64, stated: Instant) {
    let most = most_arrivals(instance, stated);
    let allowed = allowed(per_sec);
    let is_held = f64::from(u32::try_from(most).expect("few requests")) <= allowed;
    assert!(is_held, "{most} requests in 4 s, {allowed} allowed");
}

/// Returns the most arrivals in any [`LIMIT_SPAN`] that ends [`LIMIT_SETTLE`] after `stated` or later.
fn most_arrivals(instance: &Instance, stated: Instant) -> usize {
    let arrivals = instance.arrivals.borrow();
    let ends = arrivals.iter().filter(|end| **end >= stated + LIMIT_SETTLE);
    let in_span = |end: &Instant| {
        let is_counted = |at: &&Instant| **at <= *end && **at + LIMIT_SPAN > *end;
        arrivals.iter().filter(is_counted).count()
    };
    ends.map(in_span).max().unwrap_or(0)
}

/// Incident inc1: an instance got three times the limit that it had stated.
#[test]
fn an_instance_gets_no_more_than_its_stated_limit_from_all_daemons() {
    with_fleet(11, |_, front, back| async move {
        wait_for_instance(&front).await;
        wait_for_instance(&back).await;
        *back.instance.limit.borrow_mut() = Some("12.5");
        let stated = Instant::now();
        let (front, back, tally) = overload(front, back).await;
        assert_limit_is_held(&back.instance, 12.5, stated);
        // The instance is used up to its limit, and nothing is lost.
        let arrived = back.instance.arrivals_since(stated + LIMIT_SETTLE);
        assert!(arrived >= 50, "only {arrived} requests in 5 s");
        assert!(tally.refused.get() > 0, "{tally:?}");
        assert_eq!(tally.other.get(), 0, "{tally:?}");
        (front, back)
    });
}

#[test]
fn a_limit_of_zero_is_held_until_the_instance_accepts_requests_again() {
    with_fleet(12, |_, front, back| async move {
        wait_for_instance(&front).await;
        wait_for_instance(&back).await;
        *back.instance.limit.borrow_mut() = Some("0");
        let stated = Instant::now();
        let (front, back, _) = overload(front, back).await;
        let arrived = back.instance.arrivals_since(stated + LIMIT_SETTLE);
        assert!(arrived <= 5, "{arrived} requests in 5 s");
        *back.instance.limit.borrow_mut() = None;
        let ended = Instant::now();
        let (front, back, tally) = overload(front, back).await;
        let arrived = back.instance.arrivals_since(ended + OFFERED_TIME / 2);
        assert!(
            arrived >= 200,
            "{arrived} requests in the last 4 s, {tally:?}"
        );
        (front, back)
    });
}

/// A daemon that has just started has no answer of its instance; its callers know the limit.
#[test]
fn a_daemon_without_an_answer_of_its_instance_holds_the_limit_that_callers_know() {
    with_fleet(13, |_, front, back| async move {
        back.instance.service_time.set(Duration::from_millis(300));
        *back.instance.limit.borrow_mut() = Some("1");
        let calls: Vec<_> = (0..4)
            .map(|number| {
                let head = ForwardHead {
                    request: format!("id-{number}").into(),
                    instance: "i-3".into(),
                    born: 7,
                    service: "bookings".into(),
                    version: "v1".into(),
                    route: "look".into(),
                    repeat: Idempotency::Idempotent,
                    rank: 1,
                    left_ms: 3000,
                    full_value_ms: 3000,
                    config: 3,
                    limit: RequestRate::from_per_sec(1.0),
                };
                let req = Request::get("/look/1")
                    .with_header("x-request-id", &head.request)
                    .with_header(CALL_HEADER, codec::encode_header_value(&head));
                let ip = back.ip;
                monoio::spawn(async move { send(ip, PEERS, req).await })
            })
            .collect();
        for call in calls {
            call.await;
        }
        {
            let arrivals = back.instance.arrivals.borrow();
            // The others would start too late for an answer in time.
            assert_eq!(arrivals.len(), 2, "{arrivals:?}");
            assert!(arrivals[1] - arrivals[0] >= Duration::from_millis(900));
        }
        (front, back)
    });
}

/// Time after which no request may reach an instance that has said that it is leaving.
const DRAIN_TIME: Duration = Duration::from_secs(2);

#[test]
fn an_instance_that_says_it_is_leaving_in_its_answers_gets_no_more_requests() {
    with_fleet(14, |_, front, back| async move {
        wait_for_instance(&front).await;
        back.instance.is_leaving.set(true);
        let res = front
            .send_request(http::Method::GET, "/look/1", "id-1")
            .await;
        assert_eq!(res.status, StatusCode::OK);
        // Its heartbeats do not say so.
        back.send_heartbeat("bookings", "ready").await;
        monoio::time::sleep(DRAIN_TIME).await;
        let since = Instant::now();
        for machine in [&front, &back] {
            let res = machine
                .send_request(http::Method::GET, "/look/1", "id-2")
                .await;
            assert_eq!(res.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(res.header("retry-after").is_some());
        }
        assert_eq!(back.instance.arrivals_since(since), 0);
        (front, back)
    });
}

#[test]
fn followers_get_a_configuration_from_the_leaders() {
    with_fleet(7, |store, front, back| async move {
        let third = machine(boot(7, 4, "spare"), 4).await;
        let fourth = machine(boot(7, 5, "spare"), 5).await;
        let followers = [&third, &fourth];
        wait_until("two of four daemons are leaders", || {
            front.daemon.is_leader()
                && back.daemon.is_leader()
                && followers
                    .iter()
                    .all(|f| !f.daemon.is_leader() && f.daemon.member_count() == 4)
        })
        .await;
        put_config(&store, 9, "bookings");
        wait_until("the followers have the configuration", || {
            followers.iter().all(|f| f.daemon.config_version() == 9)
        })
        .await;
        third.close().await;
        fourth.close().await;
        (front, back)
    });
}

/// Waits until a request succeeds, that is until `front` knows the instance.
async fn wait_for_instance(front: &Machine) {
    let end = Instant::now() + TIMEOUT;
    loop {
        let res = front
            .send_request(http::Method::GET, "/look/0", "warm-up")
            .await;
        if res.status == StatusCode::OK {
            return;
        }
        assert!(Instant::now() < end, "no instance is known: {}", res.status);
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
}
