//! Fixture: one caller side and two instances of a service, each behind a relay, in one process.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use http_edge::Conn;
use http_edge::Handler;
use http_edge::Limits;
use http_edge::Request;
use http_edge::Response;
use http_edge::Server;
use http_edge::ServerCfg;
use ledger::State;
use protocol::announce::Announcement;
use protocol::announce::UpstreamPhase;
use protocol::call::CALL_ID_HEADER;
use protocol::paths;
use routing::Endpoint;
use routing::EndpointPhase;
use routing::Table;
use settings::Settings;
use standin_upstream::ResponseBody;
use standin_upstream::Upstream;
use standin_upstream::UpstreamCfg;

use crate::calls::CallerSide;
use crate::calls::UpstreamSide;
use crate::shared_state::SharedState;
use crate::tests::relay::Relay;

pub(super) const SLOTS: u32 = 2;
pub(super) const QUEUE: usize = 2;

/// An upstream and the upstream side of its daemon, behind a relay.
pub(super) struct Instance {
    pub(super) upstream: Upstream,
    pub(super) shared: SharedState,
    pub(super) relay: Relay,
    zone: &'static str,
}

/// A caller side and two instances. `near` is in the caller's zone, so it gets the calls.
pub(super) struct Fleet {
    pub(super) near: Instance,
    pub(super) far: Instance,
    pub(super) calls: SocketAddr,
}

struct UpstreamSideHandler(Rc<UpstreamSide>);

impl Handler for UpstreamSideHandler {
    async fn handle(&self, req: Request) -> Response {
        match req.path() {
            paths::CALL => self.0.call(req).await,
            _ => self.0.resolve(req).await,
        }
    }
}

impl Instance {
    fn start(zone: &'static str) -> Self {
        let upstream = upstream(None);
        let shared = shared(zone, zone, upstream.address());
        let relay = Relay::start(serve_inner(&shared));
        Self {
            upstream,
            shared,
            relay,
            zone,
        }
    }

    /// Replaces the daemon by one with a new incarnation, which knows no attempts.
    pub(super) async fn restart(&self) {
        // Incarnations are start times in milliseconds.
        monoio::time::sleep(Duration::from_millis(2)).await;
        let shared = shared(self.zone, self.zone, self.upstream.address());
        assert!(shared.daemon_cfg.incarnation > self.shared.daemon_cfg.incarnation);
        self.relay.set_target(serve_inner(&shared));
        self.relay.cut_all();
    }

    /// Stops the daemon; its address refuses connections from then on.
    pub(super) fn kill(&self) {
        let unused = http_edge::listen(any_port()).unwrap();
        self.relay.set_target(unused.local_addr().unwrap());
        drop(unused);
        self.relay.cut_all();
    }

    fn endpoint(&self) -> Endpoint {
        Endpoint {
            daemon: self.shared.daemon_cfg.settings.daemon.clone(),
            incarnation: self.shared.daemon_cfg.incarnation,
            address: self.relay.address,
            zone: self.zone.into(),
            service: "bookings".into(),
            version: "v1".into(),
            slots: SLOTS,
            cold_start: Duration::ZERO,
            first_seen: Instant::now(),
            phase: EndpointPhase::Serving,
        }
    }
}

impl Fleet {
    pub(super) fn start() -> Self {
        let near = Instance::start("suva-a");
        let far = Instance::start("suva-b");
        let shared = shared("caller", "suva-a", any_port());
        let endpoints = [near.endpoint(), far.endpoint()];
        let table = Table::build(&state("2s"), &BTreeSet::new(), endpoints).unwrap();
        shared.table.set(table);
        let calls = serve(CallerSide::new(&shared));
        Self { near, far, calls }
    }

    /// Sends a client's call whose answer has `size` bytes.
    pub(super) async fn call(&self, path: &str, id: &str, size: usize) -> Response {
        let req = Request::post(format!("{path}?size={size}"), "one gown")
            .with_header(CALL_ID_HEADER, id);
        let mut conn = self.connect().await;
        conn.call(req, Duration::from_secs(30)).await.unwrap()
    }

    pub(super) async fn connect(&self) -> Conn {
        let timeout = Duration::from_secs(30);
        Conn::connect(self.calls, timeout, Limits::default())
            .await
            .unwrap()
    }

    /// Number of runs of a call at both upstreams.
    pub(super) fn runs(&self, id: &str) -> u32 {
        let runs_at = |instance: &Instance| {
            let runs = instance.upstream.service().runs().borrow().counts_by_id();
            runs.get(id).copied().unwrap_or(0)
        };
        runs_at(&self.near) + runs_at(&self.far)
    }
}

/// Classifies a response as the complete answer to the call, a refusal, or an unknown outcome.
pub(super) fn outcome_of(res: &Response, id: &str) -> &'static str {
    match res.status {
        StatusCode::OK => match ResponseBody::verify(&res.body, id) {
            Ok(_) => "answer",
            Err(_) => "wrong answer",
        },
        StatusCode::SERVICE_UNAVAILABLE if res.header("retry-after").is_some() => "not run",
        StatusCode::GATEWAY_TIMEOUT => "unknown",
        _ => "other",
    }
}

fn shared(daemon: &str, zone: &str, upstream: SocketAddr) -> SharedState {
    let text = format!(
        "daemon: {daemon}\nzone: {zone}\nlisten:\n  calls: 127.0.0.1:7101\n  \
         peers: 127.0.0.1:7102\n  local: 127.0.0.1:7103\nlog:\n  address: 127.0.0.1:7104\n\
         limits:\n  queue: {QUEUE}\ntiming:\n  heartbeat: 100ms\n"
    );
    let shared = SharedState::new(Settings::parse(&text, "test.yaml").unwrap());
    shared.upstream.set(Some(Announcement {
        service: "bookings".into(),
        version: "v1".into(),
        address: upstream,
        slots: SLOTS,
        cold_start: Duration::ZERO,
        phase: UpstreamPhase::Serving,
    }));
    shared
}

pub(super) fn upstream(announce: Option<SocketAddr>) -> Upstream {
    let cfg = UpstreamCfg {
        listen: any_port(),
        announce,
        service: "bookings".into(),
        version: "v1".into(),
        slots: 64,
        cold_start: Duration::ZERO,
        service_time: Duration::from_millis(20),
    };
    Upstream::start(cfg).unwrap()
}

/// A state with one service and a route of each kind.
pub(super) fn state(timeout: &str) -> State {
    let text = format!(
        "ticket: 1\nservices:\n  bookings: {{version: v1}}\nroutes:\n  \
                /book: {{service: bookings, repeat: at-most-once, timeout: {timeout}}}\n  \
                /look: {{service: bookings, repeat: idempotent, timeout: {timeout}}}\n"
    );
    let ticket = ledger::ticket::parse_ticket(&text).unwrap();
    let entry = ledger::Entry {
        id: "1".into(),
        at: 0,
        record: ledger::Record::Ticket(ticket),
    };
    let mut state = State::default();
    state.apply(&ledger::StampedRecord {
        offset: 0,
        entry: Some(entry),
    });
    state
}

pub(super) fn serve(handler: impl Handler) -> SocketAddr {
    let listener = http_edge::listen(any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    // The server keeps running after its handle is dropped.
    drop(Server::start(
        listener,
        Rc::new(handler),
        ServerCfg::default(),
    ));
    address
}

fn serve_inner(shared: &SharedState) -> SocketAddr {
    serve(UpstreamSideHandler(Rc::new(UpstreamSide::new(shared))))
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}
