//! Tests of a running upstream over HTTP.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use http_edge::Conn;
use http_edge::Handler;
use http_edge::Latch;
use http_edge::Limits;
use http_edge::Request;
use http_edge::Response;
use http_edge::Server;
use http_edge::ServerCfg;
use http_edge::block_on;
use protocol::announce::Announcement;
use protocol::announce::UpstreamPhase;
use protocol::call::NOT_RUN_HEADER;

use crate::ResponseBody;
use crate::Upstream;
use crate::UpstreamCfg;
use crate::faults::CallMode;
use crate::faults::Faults;

const TIMEOUT: Duration = Duration::from_secs(20);

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn cfg() -> UpstreamCfg {
    UpstreamCfg {
        listen: loopback(),
        announce: None,
        service: "bookings".into(),
        version: "v1".into(),
        slots: 2,
        cold_start: Duration::ZERO,
        service_time: Duration::from_millis(2),
    }
}

async fn call(address: SocketAddr, req: Request) -> Response {
    let conn = Conn::connect(address, TIMEOUT, Limits::default()).await;
    conn.unwrap().call(req, TIMEOUT).await.unwrap()
}

fn booking(id: &str) -> Request {
    Request::post("/bookings?size=9", "x").with_header("x-call-id", id)
}

fn mode(mode: CallMode) -> Faults {
    Faults {
        mode,
        ..Faults::default()
    }
}

/// Waits until `ready` returns true; only the test runner's time limit ends a wait that fails.
async fn until(ready: impl Fn() -> bool) {
    while !ready() {
        monoio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[test]
fn runs_are_counted_by_call_id() {
    block_on(async {
        let upstream = Upstream::start(cfg()).unwrap();
        let address = upstream.address();
        for id in ["a", "b", "a"] {
            let res = call(address, booking(id)).await;
            let verified = ResponseBody::verify(&res.body, id).unwrap();
            assert_eq!((verified.version.as_str(), verified.size), ("v1", 9));
        }
        let res = call(address, Request::get("/runs")).await;
        let summary: crate::RunSummary = serde_json::from_slice(&res.body).unwrap();
        assert_eq!((summary.begun, summary.finished, summary.ids), (3, 3, 2));
        assert_eq!(summary.doubled, ["a"]);
        let res = call(address, Request::get("/runs/ids")).await;
        assert_eq!(&res.body[..], br#"{"a":2,"b":1}"#);
    });
}

#[test]
fn a_full_upstream_sheds_calls_and_refused_calls_never_run() {
    block_on(async {
        let upstream = Upstream::start(cfg()).unwrap();
        let (address, service) = (upstream.address(), Rc::clone(upstream.service()));
        service.set_faults(mode(CallMode::Hang));
        let hanging = ["a", "b"].map(|id| monoio::spawn(call(address, booking(id))));
        until(|| service.running() == 2).await;
        let res = call(address, booking("c")).await;
        assert_eq!(res.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(res.header(NOT_RUN_HEADER), Some("full"));
        service.set_faults(mode(CallMode::Refuse));
        for task in hanging {
            assert_eq!(task.await.status, StatusCode::OK);
        }
        let res = call(address, booking("d")).await;
        assert_eq!(res.header(NOT_RUN_HEADER), Some("fault"));
        let runs = service.runs().borrow();
        assert_eq!(runs.counts_by_id().keys().collect::<Vec<_>>(), ["a", "b"]);
        assert_eq!(runs.summary().refused, 2);
    });
}

#[test]
fn a_closed_connection_and_a_deadline_cancel_the_run() {
    block_on(async {
        let upstream = Upstream::start(cfg()).unwrap();
        let (address, service) = (upstream.address(), Rc::clone(upstream.service()));
        service.set_faults(mode(CallMode::Hang));
        let res = call(address, booking("a").with_header("x-deadline-ms", "20")).await;
        assert_eq!(res.status, StatusCode::GATEWAY_TIMEOUT);
        let mut conn = Conn::connect(address, TIMEOUT, Limits::default())
            .await
            .unwrap();
        let timed_out = conn.call(booking("b"), Duration::from_millis(50)).await;
        assert!(timed_out.is_err());
        conn.close();
        until(|| service.running() == 0).await;
        assert_eq!(service.runs().borrow().summary().cancelled, 2);
    });
}

#[test]
fn faults_are_set_over_http_and_unknown_fields_are_rejected() {
    block_on(async {
        let upstream = Upstream::start(cfg()).unwrap();
        let address = upstream.address();
        let res = call(address, Request::post("/faults", r#"{"fail":1.0}"#)).await;
        assert_eq!(res.status, StatusCode::OK);
        let res = call(address, booking("a")).await;
        assert_eq!(res.status, StatusCode::INTERNAL_SERVER_ERROR);
        let res = call(address, Request::post("/faults", r#"{"fial":1.0}"#)).await;
        assert_eq!(res.status, StatusCode::BAD_REQUEST);
    });
}

/// Daemon that records the announcements that it receives.
#[derive(Default)]
struct AnnouncementRecorder {
    received: std::cell::RefCell<Vec<Announcement>>,
    drained: Latch,
}

impl Handler for AnnouncementRecorder {
    async fn handle(&self, req: Request) -> Response {
        let announcement: Announcement = serde_json::from_slice(&req.body.to_bytes()).unwrap();
        if announcement.phase == UpstreamPhase::Draining {
            self.drained.set();
        }
        self.received.borrow_mut().push(announcement);
        Response::text(StatusCode::OK, "received")
    }
}

#[test]
fn a_drain_is_announced_and_running_calls_finish() {
    block_on(async {
        let recorder = Rc::new(AnnouncementRecorder::default());
        let listener = http_edge::listen(loopback()).unwrap();
        let announce = Some(listener.local_addr().unwrap());
        let _daemon = Server::start(listener, Rc::clone(&recorder), ServerCfg::default());
        let upstream = Upstream::start(UpstreamCfg { announce, ..cfg() }).unwrap();
        let (address, service) = (upstream.address(), Rc::clone(upstream.service()));
        service.set_faults(mode(CallMode::Hang));
        let running = monoio::spawn(call(address, booking("a")));
        until(|| service.running() == 1).await;
        call(address, Request::post("/drain", "")).await;
        recorder.drained.wait().await;
        let res = call(address, booking("b")).await;
        assert_eq!(res.header(NOT_RUN_HEADER), Some("leaving"));
        let closed = monoio::spawn(upstream.close());
        service.set_faults(Faults::default());
        assert_eq!(running.await.status, StatusCode::OK);
        closed.await;
        let reconnected = Conn::connect(address, TIMEOUT, Limits::default()).await;
        assert!(reconnected.is_err());
        let received = recorder.received.borrow();
        assert_eq!(received[0].phase, UpstreamPhase::Serving);
        assert_eq!(received[0].address, address);
    });
}
