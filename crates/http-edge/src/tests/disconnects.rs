//! Clients that disconnect while their request is being handled, after whatever they have sent behind it.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;

use crate::Handler;
use crate::Limits;
use crate::Request;
use crate::Response;
use crate::Server;
use crate::ServerCfg;
use crate::listen;
use crate::tests::support::connect;
use crate::tests::support::statuses;
use crate::tests::support::with_started;

/// Time that a request to `/slow` takes, longer than any test case.
const SLOW: Duration = Duration::from_secs(5);

/// Time after which a request must not be handled any more once its client has disconnected.
const CANCEL_TIME: Duration = Duration::from_millis(500);

/// Idle timeout of the server, and longest time that a head may take.
const IDLE_TIMEOUT: Duration = Duration::from_millis(100);

const FIRST: &str = "GET /slow/first HTTP/1.1\r\n\r\n";
const NEXT: &str = "GET /slow/next HTTP/1.1\r\n\r\n";

/// Targets of requests, as their handling began and as it was cancelled.
#[derive(Clone, Default)]
struct Events {
    began: Arc<Mutex<Vec<String>>>,
    cancelled: Arc<Mutex<Vec<String>>>,
}

struct SlowHandler(Events);

/// Records a request as cancelled when dropped.
struct CancelGuard<'a> {
    target: String,
    cancelled: &'a Mutex<Vec<String>>,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        self.cancelled.lock().unwrap().push(self.target.clone());
    }
}

impl Handler for SlowHandler {
    async fn handle(&self, req: Request) -> Response {
        self.0.began.lock().unwrap().push(req.target.clone());
        if req.path().starts_with("/slow") {
            let guard = CancelGuard {
                target: req.target,
                cancelled: &self.0.cancelled,
            };
            monoio::time::sleep(SLOW).await;
            std::mem::forget(guard);
        }
        Response::text(StatusCode::OK, "done")
    }
}

/// How a client leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Leave {
    Close,
    /// With an answer that it has not read, so that the system resets the connection.
    Reset,
    /// It closes its sending side only.
    HalfClose,
}

const ALL_WAYS: [Leave; 3] = [Leave::Close, Leave::Reset, Leave::HalfClose];

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + CANCEL_TIME;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Sends a slow request, then `behind` it, and leaves after `stay`. Checks that the slow request is cancelled and
/// that no other is handled.
fn check(address: SocketAddr, events: &Events, behind: &[&str], stay: Duration, leave: Leave) {
    let case = format!("{leave:?} after {behind:?}");
    events.began.lock().unwrap().clear();
    events.cancelled.lock().unwrap().clear();
    let mut stream = connect(address);
    if leave == Leave::Reset {
        stream.write_all(b"GET /quick HTTP/1.1\r\n\r\n").unwrap();
        stream.peek(&mut [0]).unwrap();
        events.began.lock().unwrap().clear();
    }
    stream.write_all(FIRST.as_bytes()).unwrap();
    wait_until(&case, || !events.began.lock().unwrap().is_empty());
    for bytes in behind {
        stream.write_all(bytes.as_bytes()).unwrap();
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(stay);
    assert!(events.cancelled.lock().unwrap().is_empty(), "{case}");
    let stream = leave_by(stream, leave);
    wait_until(&case, || !events.cancelled.lock().unwrap().is_empty());
    thread::sleep(Duration::from_millis(20));
    assert_eq!(*events.began.lock().unwrap(), ["/slow/first"], "{case}");
    drop(stream);
}

fn leave_by(stream: TcpStream, leave: Leave) -> Option<TcpStream> {
    match leave {
        Leave::Close | Leave::Reset => None,
        Leave::HalfClose => {
            stream.shutdown(Shutdown::Write).unwrap();
            Some(stream)
        }
    }
}

fn start(events: Events, cfg: ServerCfg) -> (Server, SocketAddr) {
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let server = Server::start(listener, Rc::new(SlowHandler(events)), cfg);
    (server, address)
}

/// Checks each way of leaving.
fn check_all(cfg: ServerCfg, behind: &[&str], stay: Duration) {
    let events = Events::default();
    let seen = events.clone();
    with_started(
        move || start(events, cfg),
        |address| {
            for leave in ALL_WAYS {
                check(address, &seen, behind, stay, leave);
            }
        },
    );
}

/// Guards against requests that run on for clients that have left by a reset, or behind something that they sent.
#[test]
fn a_request_is_cancelled_when_its_client_disconnects_whatever_follows_it() {
    let upload = "POST /slow/next HTTP/1.1\r\ncontent-length: 10000\r\n\r\nhello";
    let expecting = "POST / HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 5\r\n\r\n";
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(1000));
    let too_large = format!("GET /{}", "x".repeat(20_000));
    let cases: [&[&str]; 10] = [
        &[],
        &["\r\n"],
        &[NEXT],
        &["GET /slow/next HT"],
        &[NEXT, NEXT, NEXT, "GET /slow/ne"],
        &[NEXT, &long, &long],
        &[upload],
        &[expecting],
        &[NEXT, expecting, "he"],
        &["no request\r\n\r\n"],
    ];
    for behind in cases {
        check_all(ServerCfg::default(), behind, Duration::ZERO);
    }
    check_all(ServerCfg::default(), &[&too_large], Duration::ZERO);
}

/// Guards against requests that run on for clients that have left after a timeout of their connection.
#[test]
fn a_request_is_cancelled_when_its_client_disconnects_after_an_idle_or_stalled_time() {
    let cfg = ServerCfg {
        idle_timeout: IDLE_TIMEOUT,
        head_timeout: IDLE_TIMEOUT,
        ..ServerCfg::default()
    };
    for behind in [&[][..], &["GET /slow/next HT"], &[NEXT]] {
        check_all(cfg, behind, IDLE_TIMEOUT * 3);
    }
}

/// Guards against connections that end under a request that takes longer than the idle timeout.
#[test]
fn a_connection_is_not_idle_while_its_request_is_handled() {
    let cfg = ServerCfg {
        idle_timeout: SLOW / 10,
        ..ServerCfg::default()
    };
    with_started(
        move || start(Events::default(), cfg),
        |address| {
            let mut stream = connect(address);
            stream.write_all(FIRST.as_bytes()).unwrap();
            thread::sleep(SLOW / 2);
            stream
                .write_all(b"GET /quick HTTP/1.1\r\nconnection: close\r\n\r\n")
                .unwrap();
            let mut responses = String::new();
            stream.read_to_string(&mut responses).unwrap();
            assert_eq!(statuses(&responses), [200, 200]);
        },
    );
}

/// Guards against refusals that a client which has closed its sending side does not get.
#[test]
fn a_refusal_reaches_a_client_that_has_closed_its_sending_side() {
    let limits = Limits {
        max_head_bytes: 1024,
        ..Limits::default()
    };
    let cfg = ServerCfg {
        limits,
        ..ServerCfg::default()
    };
    with_started(
        move || start(Events::default(), cfg),
        |address| {
            let mut stream = connect(address);
            let head = format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(10_000));
            stream.write_all(head.as_bytes()).unwrap();
            stream.shutdown(Shutdown::Write).unwrap();
            let mut response = String::new();
            stream.read_to_string(&mut response).unwrap();
            assert_eq!(statuses(&response), [413]);
        },
    );
}
