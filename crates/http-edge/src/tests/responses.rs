//! Tests of how the client reads responses.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use http::Method;

use crate::CallError;
use crate::Conn;
use crate::Limits;
use crate::Pool;
use crate::PoolCfg;
use crate::Request;
use crate::Response;
use crate::block_on;
use crate::tests::TIMEOUT;
use crate::tests::support::raw_server;

/// Sends one request on a new connection.
pub fn call(address: SocketAddr, method: Method) -> Result<Response, CallError> {
    block_on(async {
        let limits = Limits::default();
        let mut conn = Conn::connect(address, TIMEOUT, limits).await.unwrap();
        let is_head = method == Method::HEAD;
        let res = conn.call(Request::new(method, "/", ""), TIMEOUT).await?;
        let has_no_body = is_head || [204, 304].contains(&res.status.as_u16());
        assert!(!(has_no_body && conn.is_reusable()), "{}", res.status);
        Ok(res)
    })
}

/// Complete responses that the client accepts.
pub const COMPLETE: [&str; 4] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 5\r\nconnection: close\r\n\r\nhello",
];

#[test]
fn complete_responses_are_returned_and_truncated_ones_are_errors() {
    let (address, tx) = raw_server();
    for complete in COMPLETE {
        for end in 0..=complete.len() {
            tx.send(complete.as_bytes()[..end].to_vec()).unwrap();
            match call(address, Method::GET) {
                Ok(res) => {
                    assert_eq!(end, complete.len(), "{:?}", &complete[..end]);
                    assert_eq!(res.body, "hello");
                }
                Err(e) => assert!(end < complete.len(), "{complete:?}: {e}"),
            }
        }
    }
}

#[test]
fn responses_with_ambiguous_framing_are_errors() {
    let (address, tx) = raw_server();
    let check = |method: Method, response: &str, want: Option<(u16, &str)>| {
        tx.send(response.as_bytes().to_vec()).unwrap();
        let res = call(address, method).ok();
        let got = res.as_ref().map(|res| {
            let body = std::str::from_utf8(&res.body).unwrap();
            (res.status.as_u16(), body)
        });
        assert_eq!(got, want, "{response:?}");
    };
    let broken = |response: &str| check(Method::GET, response, None);
    let ok = "HTTP/1.1 200 OK\r\n";
    let chunks = "5\r\nhello\r\n0\r\n\r\n";
    broken(&format!("{ok}\r\nhello"));
    broken(&format!(
        "{ok}content-length: 5\r\ncontent-length: 4\r\n\r\nhello"
    ));
    broken(&format!(
        "{ok}content-length: 5\r\ncontent-length: 5\r\n\r\nhello"
    ));
    broken(&format!(
        "{ok}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n{chunks}"
    ));
    broken(&format!("{ok}transfer-encoding: gzip\r\n\r\nhello"));
    broken(&format!(
        "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunks}"
    ));
    broken("HTTP/1.1 101 Switching Protocols\r\n\r\n");
    let no_content = "HTTP/1.1 204 No Content\r\ncontent-length: 5\r\n\r\n";
    check(Method::GET, no_content, Some((204, "")));
    let not_modified = "HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n";
    check(Method::GET, not_modified, Some((304, "")));
    let head_only = &format!("{ok}content-length: 5\r\n\r\n");
    check(Method::HEAD, head_only, Some((200, "")));
    let early = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n";
    let late = &format!("{early}{early}{ok}content-length: 0\r\n\r\n");
    check(Method::GET, late, Some((200, "")));
}

#[test]
fn unsolicited_response_is_not_returned() {
    let (address, tx) = raw_server();
    block_on(async {
        let response = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n";
        let two = format!("{response}first{response}other");
        tx.send(two.into_bytes()).unwrap();
        let limits = Limits::default();
        let mut conn = Conn::connect(address, TIMEOUT, limits).await.unwrap();
        let res = conn.call(Request::get("/"), TIMEOUT).await.unwrap();
        assert_eq!(res.body, "first");
        let res = conn.call(Request::get("/"), TIMEOUT).await;
        assert!(matches!(res, Err(CallError::Broken(_))), "{res:?}");
    });
}

/// A server may repeat an earlier response; its first bytes may come long before the others.
#[test]
fn connection_with_the_beginning_of_an_unsolicited_response_is_not_reused() {
    let first = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
    let stray =
        "HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
    for end in 1..=stray.len() {
        let address = open_server(format!("{first}{}", &stray[..end]));
        block_on(async {
            let limits = Limits::default();
            let mut conn = Conn::connect(address, TIMEOUT, limits).await.unwrap();
            let res = conn.call(Request::get("/"), TIMEOUT).await.unwrap();
            assert_eq!(res.body, "first");
            assert!(!conn.is_idle(), "{:?}", &stray[..end]);
        });
    }
}

/// The same when the bytes come after the response, and between two checks.
#[test]
fn bytes_that_arrive_on_an_idle_connection_are_not_lost() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, rx) = std::sync::mpsc::channel::<&[u8]>();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]);
        for bytes in rx {
            let _ = stream.write_all(bytes);
        }
    });
    block_on(async {
        let limits = Limits::default();
        let mut conn = Conn::connect(address, TIMEOUT, limits).await.unwrap();
        tx.send(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst")
            .unwrap();
        let res = conn.call(Request::get("/"), TIMEOUT).await.unwrap();
        assert_eq!(res.body, "first");
        assert!(conn.is_idle() && conn.is_idle());
        tx.send(b"HTTP/1.1 2").unwrap();
        monoio::time::sleep(Duration::from_millis(50)).await;
        assert!(!conn.is_idle());
        assert!(!conn.is_idle());
    });
}

/// Starts a server that answers the first bytes of each connection and keeps it open.
fn open_server(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut open = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            // A connection may end without a request.
            let _ = stream.read(&mut [0; 1024]);
            let _ = stream.write_all(response.as_bytes());
            open.push(stream);
        }
    });
    address
}

#[test]
fn a_connection_is_not_reused_near_the_idle_time_that_its_peer_states() {
    let check = |keep_alive: &str, idle: Duration, is_reused: bool| {
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n{keep_alive}\r\n");
        let address = open_server(response);
        block_on(async {
            let pool = Pool::new(PoolCfg::default());
            let mut conn = pool.take(address).await.unwrap();
            conn.call(Request::get("/"), TIMEOUT).await.unwrap();
            assert!(conn.is_reusable());
            let opened_at = conn.opened_at();
            pool.put(conn);
            monoio::time::sleep(idle).await;
            let conn = pool.take(address).await.unwrap();
            assert_eq!(conn.opened_at() == opened_at, is_reused, "{keep_alive:?}");
        });
    };
    let idle = Duration::from_millis(700);
    check("keep-alive: timeout=1\r\n", idle, false);
    check("keep-alive: max=5, Timeout = 1\r\n", idle, false);
    check("keep-alive: timeout=0\r\n", idle, false);
    for other in [
        "",
        "keep-alive: timeout=5\r\n",
        "keep-alive: timeout=x\r\n",
        "keep-alive: 1\r\n",
    ] {
        check(other, idle, true);
    }
}
