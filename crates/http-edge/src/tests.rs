//! Tests of server and client, with each other and with raw sockets.

mod arrivals;
mod budget;
mod changed_limits;
mod chunks;
mod disconnects;
mod endless;
mod fuzz;
mod heads;
mod latch;
mod requests;
mod responses;
mod support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;

use crate::CallError;
use crate::Conn;
use crate::Handler;
use crate::Limits;
use crate::Request;
use crate::Response;
use crate::Server;
use crate::ServerCfg;
use crate::block_on;
use crate::listen;
use crate::tests::support::exchange;
use crate::tests::support::with_server;

const TIMEOUT: Duration = Duration::from_secs(10);

struct Echo;

impl Handler for Echo {
    async fn handle(&self, req: Request) -> Response {
        if req.path() == "/slow" {
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
        let status = match req.path() {
            "/204" => StatusCode::NO_CONTENT,
            "/304" => StatusCode::NOT_MODIFIED,
            _ => StatusCode::OK,
        };
        Response::new(status, req.body.to_bytes()).with_header("x-path", req.target)
    }
}

fn start(limits: Limits) -> (Server, SocketAddr) {
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let cfg = ServerCfg {
        limits,
        ..ServerCfg::default()
    };
    (Server::start(listener, Rc::new(Echo), cfg), address)
}

#[test]
fn bodies_of_all_sizes_are_echoed_on_one_connection() {
    block_on(async {
        let (_server, address) = start(Limits::default());
        let mut conn = Conn::connect(address, TIMEOUT, Limits::default())
            .await
            .unwrap();
        for size in [0, 1, 100, 8 * 1024, 64 * 1024, 1024 * 1024] {
            let body = Bytes::from(vec![b'x'; size]);
            let req = Request::post(format!("/echo?size={size}"), body.clone());
            let res = conn.call(req, TIMEOUT).await.unwrap();
            assert_eq!(res.body, body, "size {size}");
            assert_eq!(
                res.header("x-path"),
                Some(format!("/echo?size={size}").as_str())
            );
            assert!(conn.is_reusable());
        }
    });
}

#[test]
fn response_over_the_limit_is_an_error() {
    block_on(async {
        let (_server, address) = start(Limits::default());
        let limits = Limits {
            max_head_bytes: 1024,
            max_body_bytes: 1024,
        };
        let mut conn = Conn::connect(address, TIMEOUT, limits).await.unwrap();
        let res = conn
            .call(Request::post("/", vec![0; 100_000]), TIMEOUT)
            .await;
        assert!(matches!(res, Err(CallError::TooLarge)), "{res:?}");
        assert!(!conn.is_reusable());
    });
}

#[test]
fn close_waits_for_the_running_request() {
    block_on(async {
        let (server, address) = start(Limits::default());
        let mut conn = Conn::connect(address, TIMEOUT, Limits::default())
            .await
            .unwrap();
        let call = monoio::spawn(async move { conn.call(Request::get("/slow"), TIMEOUT).await });
        while server.active_requests() == 0 {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        server.close(TIMEOUT).await;
        assert_eq!(call.await.unwrap().status, StatusCode::OK);
        assert!(
            Conn::connect(address, TIMEOUT, Limits::default())
                .await
                .is_err()
        );
    });
}

#[test]
fn close_answers_requests_in_transit() {
    block_on(async {
        let (server, address) = start(Limits::default());
        let mut conn = Conn::connect(address, TIMEOUT, Limits::default())
            .await
            .unwrap();
        // Connects before the listener is closed, and is not accepted before the close begins.
        let mut waiting = std::net::TcpStream::connect(address).unwrap();
        waiting.set_read_timeout(Some(TIMEOUT)).unwrap();
        waiting.write_all(b"GET /ok HTTP/1.1\r\n\r\n").unwrap();
        let closed = monoio::spawn(server.close(TIMEOUT));
        monoio::time::sleep(Duration::from_millis(10)).await;
        let res = conn.call(Request::get("/late"), TIMEOUT).await.unwrap();
        assert_eq!(res.header("connection"), Some("close"));
        closed.await;
        let mut response = String::new();
        let _ = waiting.read_to_string(&mut response);
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    });
}

#[test]
fn bad_requests_are_refused_and_the_server_keeps_serving() {
    let limits = Limits {
        max_head_bytes: 1024,
        max_body_bytes: 1024,
    };
    with_server(limits, |address| {
        let check = |text: &str, want: &str| {
            let response = exchange(address, text.as_bytes());
            assert!(
                response.starts_with(want),
                "{:?} gave {response:?}",
                &text[..text.len().min(40)]
            );
        };
        let many = "a: b\r\n".repeat(200);
        check("hello\r\n\r\n", "HTTP/1.1 400");
        check(
            "GET / HTTP/1.1\r\ncontent-length: many\r\n\r\n",
            "HTTP/1.1 400",
        );
        check(
            "GET / HTTP/1.1\r\ncontent-length: 9999\r\n\r\n",
            "HTTP/1.1 413",
        );
        check(
            "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
            "HTTP/1.1 400",
        );
        check(&format!("GET / HTTP/1.1\r\n{many}\r\n"), "HTTP/1.1 413");
        check(
            "GET /ok HTTP/1.1\r\nconnection: close\r\n\r\n",
            "HTTP/1.1 200",
        );
    });
}
