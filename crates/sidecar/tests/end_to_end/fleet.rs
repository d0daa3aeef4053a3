//! A fleet on loopback addresses: daemons, instances and the stand-in store in one process.

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
use sidecar::run::Daemon;
use standin_store::StoreService;
use users_platform::BootConfig;
use users_platform::records;

use crate::common;
use crate::common::HEARTBEATS;
use crate::common::INSTANCE;
use crate::common::REQUESTS;
use crate::common::STORE;
use crate::common::TIMEOUT;

/// Path at which instances answer health probes.
pub const HEALTH_PATH: &str = "/healthz";

/// How a test instance responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerMode {
    Answers,
    Rejects,
    MismatchesIds,
    Fails,
}

pub struct Instance {
    pub name: String,
    pub version: &'static str,
    pub answer_mode: Cell<AnswerMode>,
    pub received: RefCell<Vec<Request>>,
    pub arrivals: RefCell<Vec<Instant>>,
    /// Value of the header `Server-Limit` in its responses.
    pub limit: RefCell<Option<&'static str>>,
    /// Load that it states in its answers.
    pub load: RefCell<Option<&'static str>>,
    /// Whether its responses say that it is leaving.
    pub is_leaving: Cell<bool>,
    /// Until when it says in health answers that it is cold.
    pub cold_until: Cell<Option<Instant>>,
    /// Number of health probes that it got.
    pub probes: Cell<u32>,
    /// Time that each response takes.
    pub service_time: Cell<Duration>,
    /// Requests whose connection was closed before their response.
    pub abandoned: Cell<u32>,
}

impl Instance {
    fn new(number: u8, version: &'static str) -> Self {
        Self {
            name: format!("i-{number}"),
            version,
            answer_mode: Cell::new(AnswerMode::Answers),
            received: RefCell::default(),
            arrivals: RefCell::default(),
            limit: RefCell::default(),
            load: RefCell::default(),
            is_leaving: Cell::new(false),
            cold_until: Cell::default(),
            probes: Cell::default(),
            service_time: Cell::default(),
            abandoned: Cell::default(),
        }
    }

    fn health(&self) -> Response {
        self.probes.set(self.probes.get() + 1);
        let res =
            Response::text(StatusCode::OK, "healthy").with_header("x-instance-id", &self.name);
        let until = self.cold_until.get();
        match until.map(|until| until.saturating_duration_since(Instant::now())) {
            Some(left) if !left.is_zero() => {
                res.with_header("x-cold-ms", left.as_millis().to_string())
            }
            _ => res,
        }
    }

    pub fn arrivals_since(&self, since: Instant) -> usize {
        let arrivals = self.arrivals.borrow();
        arrivals.iter().filter(|at| **at >= since).count()
    }
}

/// Counts a run that is dropped before its end.
struct Run<'a> {
    abandoned: &'a Cell<u32>,
    is_done: Cell<bool>,
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        if !self.is_done.get() {
            self.abandoned.set(self.abandoned.get() + 1);
        }
    }
}

impl Handler for Instance {
    async fn handle(&self, req: Request) -> Response {
        if req.path() == HEALTH_PATH {
            return self.health();
        }
        let id = req.header("x-request-id").unwrap_or_default().to_owned();
        self.received.borrow_mut().push(req);
        self.arrivals.borrow_mut().push(Instant::now());
        let run = Run {
            abandoned: &self.abandoned,
            is_done: Cell::new(false),
        };
        monoio::time::sleep(self.service_time.get()).await;
        run.is_done.set(true);
        let mut res =
            Response::text(StatusCode::OK, self.name.clone()).with_header("x-request-id", id);
        if let Some(limit) = *self.limit.borrow() {
            res = res.with_header("server-limit", limit);
        }
        if let Some(load) = *self.load.borrow() {
            res = res.with_header("x-server-load", load);
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
            AnswerMode::Fails => {
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                Response { status, ..res }.with_header("x-response-stamp", &self.name)
            }
        }
    }
}

pub struct Machine {
    pub daemon: Daemon,
    pub instance: Rc<Instance>,
    server: Server,
    pub ip: IpAddr,
    heartbeats_sent: Cell<u64>,
}

/// Each test has its own addresses, since tests run in parallel.
pub fn ip(test: u8, machine: u8) -> IpAddr {
    IpAddr::from([127, 7, test, machine])
}

pub fn boot(test: u8, machine: u8, service: &str) -> BootConfig {
    let name = format!("machine-{machine}");
    common::boot(&name, ip(test, machine), service, ip(test, 1))
}

pub fn serve<H: Handler>(address: SocketAddr, handler: Rc<H>) -> Server {
    let listener = http_edge::listen(address).expect("the address is free");
    Server::start(listener, handler, ServerCfg::default())
}

pub async fn machine(boot: BootConfig, number: u8) -> Machine {
    machine_of_version(boot, number, "v1").await
}

pub async fn machine_of_version(boot: BootConfig, number: u8, version: &'static str) -> Machine {
    let service = boot.service.clone();
    let instance = Rc::new(Instance::new(number, version));
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
    pub async fn send_heartbeat(&self, service: &str, state: &str) {
        self.heartbeats_sent.set(self.heartbeats_sent.get() + 1);
        let body = format!(
            r#"{{"Service":"{service}","Address":"{}:{INSTANCE}","Zone":"suva-a","Version":"{}","Slots":4,"State":"{state}","ColdLeft":"0ms","Seq":{},"born":7}}"#,
            self.ip,
            self.instance.version,
            self.heartbeats_sent.get(),
        );
        let target = format!("/-/Instances.Heartbeat/{}", self.instance.name);
        let res = send(self.ip, HEARTBEATS, Request::post(target, body)).await;
        assert_eq!(res.status, StatusCode::OK);
    }

    pub async fn send_request(&self, method: http::Method, path: &str, id: &str) -> Response {
        self.send_body(method, path, id, Vec::new()).await
    }

    pub async fn send_body(
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

    pub fn request_ids(&self) -> Vec<String> {
        let received = self.instance.received.borrow();
        let id = |req: &Request| req.header("x-request-id").unwrap_or_default().to_owned();
        received.iter().map(id).collect()
    }

    pub async fn close(self) {
        self.daemon.close().await;
        self.server.close(Duration::ZERO).await;
    }
}

pub async fn send(ip: IpAddr, port: u16, req: Request) -> Response {
    let address = SocketAddr::new(ip, port);
    let conn = Conn::connect(address, TIMEOUT, Limits::default()).await;
    let mut conn = conn.expect("the daemon listens");
    conn.call(req, TIMEOUT).await.expect("a complete response")
}

pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
}

pub fn append(store: &StoreService, topic: &str, key: &str, value: &[u8]) {
    let mut buf = BytesMut::new();
    records::encode(&mut buf, key, value).expect("the key is short enough");
    let appended = store.with_topic(topic, |topic| topic.append(buf.freeze()));
    appended.expect("the record is complete");
}

pub fn put_config(store: &StoreService, version: u64, service: &str) {
    put_config_with(store, version, service, "{}", "");
}

/// As [`put_config`], with these properties of the service and these further fields. The route `open` needs no key.
pub fn put_config_with(
    store: &StoreService,
    version: u64,
    service: &str,
    properties: &str,
    fields: &str,
) {
    let text = config_text(version, service, properties, fields);
    append(store, "keyed.op", "config", text.as_bytes());
}

/// Returns a configuration as the operator writes it; see [`put_config_with`].
pub fn config_text(version: u64, service: &str, properties: &str, fields: &str) -> String {
    format!(
        r#"{{"Version":"r{version}","Routes":{{
"look":{{"Hostname":"shop.example","PathPrefix":"/look/","Kind":"idempotent","Timeout":"1500ms","TargetLatency":"300ms","Priority":2,"Service":"{service}","Attempts":2}},
"book":{{"Hostname":"shop.example","PathPrefix":"/book/","Kind":"non_idempotent","Timeout":"1500ms","TargetLatency":"300ms","Priority":1,"Service":"{service}","Attempts":2}},
"spare":{{"Hostname":"spare.example","PathPrefix":"/look/","Kind":"idempotent","Timeout":"1500ms","TargetLatency":"300ms","Priority":2,"Service":"spare","Attempts":2}},
"open":{{"Hostname":"shop.example","PathPrefix":"/open/","Kind":"idempotent","Timeout":"1500ms","TargetLatency":"300ms","Priority":2,"Service":"{service}","Attempts":2,"Public":true}}}},
"Services":{{"{service}":{properties},"spare":{{}}}},
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":131072,"HeaderTimeout":"3s","IdleTimeout":"15s"}}{fields}}}"#
    )
}

/// Runs a test with a store and two machines: the first runs the service `catalogue`, the second
/// one `bookings`.
pub fn with_fleet<F: Future<Output = (Machine, Machine)>>(
    test: u8,
    body: impl FnOnce(StoreService, Machine, Machine) -> F,
) {
    with_fleet_on_links(test, 1000, body);
}

/// As [`with_fleet`], in a deployment that asks for keys to be revoked within a time.
pub fn with_fleet_that_revokes<F: Future<Output = (Machine, Machine)>>(
    test: u8,
    revoke_within: Duration,
    body: impl FnOnce(StoreService, Machine, Machine) -> F,
) {
    let settings = |boot| BootConfig {
        revoke_within: Some(revoke_within),
        ..boot
    };
    with_fleet_of(test, settings, body);
}

/// As [`with_fleet`], on machines with links of this rate.
pub fn with_fleet_on_links<F: Future<Output = (Machine, Machine)>>(
    test: u8,
    link_mbps: u32,
    body: impl FnOnce(StoreService, Machine, Machine) -> F,
) {
    with_fleet_of(test, |boot| BootConfig { link_mbps, ..boot }, body);
}

/// As [`with_fleet`], with changed settings.
fn with_fleet_of<F: Future<Output = (Machine, Machine)>>(
    test: u8,
    settings: impl Fn(BootConfig) -> BootConfig,
    body: impl FnOnce(StoreService, Machine, Machine) -> F,
) {
    http_edge::block_on(async {
        let store = StoreService::default();
        let address = SocketAddr::new(ip(test, 1), STORE);
        let server = serve(address, Rc::new(store.clone()));
        put_config(&store, 3, "bookings");
        let boot = |machine, service| settings(boot(test, machine, service));
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

/// Waits until a request succeeds, that is until `front` knows the instance.
pub async fn wait_for_instance(front: &Machine) {
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
