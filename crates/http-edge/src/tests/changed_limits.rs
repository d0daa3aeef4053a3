//! Limits that change while connections are kept.

use std::cell::Cell;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::Limits;
use crate::Request;
use crate::Response;
use crate::Server;
use crate::ServerCfg;
use crate::budget::MemoryBudget;
use crate::listen;
use crate::server::Handler;
use crate::tests::TIMEOUT;
use crate::tests::support::connect;
use crate::tests::support::statuses;
use crate::tests::support::with_started;

/// Body that only the later limits allow.
const LARGE_BODY: usize = 20_000;

/// Idle timeout before the change, and time for which the connections are idle.
const FIRST_IDLE_TIMEOUT: Duration = Duration::from_millis(300);
const IDLE_TIME: Duration = Duration::from_millis(600);

/// Changes the limits of its server when it gets `/change`.
struct Changer {
    cfg: Rc<Cell<ServerCfg>>,
    later: ServerCfg,
}

impl Handler for Changer {
    async fn handle(&self, req: Request) -> Response {
        if req.path() == "/change" {
            self.cfg.set(self.later);
        }
        Response::text(http::StatusCode::OK, "done")
    }
}

fn cfg(max_body_bytes: usize, idle_timeout: Duration) -> ServerCfg {
    ServerCfg {
        limits: Limits {
            max_body_bytes,
            ..Limits::default()
        },
        idle_timeout,
        ..ServerCfg::default()
    }
}

/// Runs a test against a server with these limits, which change to the later ones at a request to `/change`.
fn with_changing(first: ServerCfg, later: ServerCfg, test: impl FnOnce(SocketAddr)) {
    let start = move || {
        let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let cfg = Rc::new(Cell::new(first));
        let handler = Rc::new(Changer {
            cfg: Rc::clone(&cfg),
            later,
        });
        let server = Server::start_within(MemoryBudget::default(), listener, handler, cfg);
        (server, address)
    };
    with_started(start, test);
}

fn large_request() -> String {
    let body = "x".repeat(LARGE_BODY);
    format!("POST / HTTP/1.1\r\nconnection: close\r\ncontent-length: {LARGE_BODY}\r\n\r\n{body}")
}

/// Returns the statuses of the answers to a request on a kept connection, a change of the limits by another one,
/// and a large request.
fn exchange_over_change(address: SocketAddr) -> Vec<u16> {
    let mut kept = connect(address);
    kept.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    let mut first = [0; 64];
    let mut text = String::new();
    while !text.contains("done") {
        let n = kept.read(&mut first).unwrap();
        assert_ne!(n, 0);
        text.push_str(&String::from_utf8_lossy(&first[..n]));
    }
    let mut changing = connect(address);
    changing
        .write_all(b"GET /change HTTP/1.1\r\nconnection: close\r\n\r\n")
        .unwrap();
    changing.read_to_string(&mut String::new()).unwrap();
    std::thread::sleep(IDLE_TIME);
    // A refused body may be left unread.
    let _ = kept.write_all(large_request().as_bytes());
    let mut rest = Vec::new();
    let _ = kept.read_to_end(&mut rest);
    text.push_str(&String::from_utf8_lossy(&rest));
    statuses(&text)
}

/// Guards against requests on kept connections that are held to the limits of the answer before.
#[test]
fn a_request_on_a_kept_connection_is_held_to_the_limits_of_its_arrival() {
    let (small, large) = (cfg(LARGE_BODY / 2, TIMEOUT), cfg(LARGE_BODY, TIMEOUT));
    with_changing(small, large, |address| {
        assert_eq!(exchange_over_change(address), [200, 200]);
    });
    with_changing(large, small, |address| {
        assert_eq!(exchange_over_change(address), [200, 413]);
    });
}

/// Guards against connections that close at the idle timeout that was in force before.
#[test]
fn a_connection_stays_open_for_an_idle_timeout_that_is_raised_meanwhile() {
    let (first, later) = (
        cfg(LARGE_BODY, FIRST_IDLE_TIMEOUT),
        cfg(LARGE_BODY, TIMEOUT),
    );
    with_changing(first, later, |address| {
        assert_eq!(exchange_over_change(address), [200, 200]);
    });
    with_changing(first, first, |address| {
        assert_eq!(exchange_over_change(address), [200]);
    });
}
