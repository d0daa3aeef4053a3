//! Peers that send bytes without end, until the other side closes.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::CallError;
use crate::Conn;
use crate::Limits;
use crate::Pool;
use crate::PoolCfg;
use crate::Request;
use crate::block_on;
use crate::tests::TIMEOUT;
use crate::tests::support::with_server;

const LIMITS: Limits = Limits {
    max_head_bytes: 4 * 1024,
    max_body_bytes: 64 * 1024,
};

/// Time in which a call must end although bytes keep arriving.
const END_TIME: Duration = Duration::from_secs(2);

/// Bytes that the sockets of both sides buffer at most, beyond those that are read.
const BUFFERED_BYTES: usize = 16 * 1024 * 1024;

/// Writes `start`, and then `repeated` until the peer closes; returns the number of bytes.
fn write_endlessly(stream: &mut TcpStream, start: &str, repeated: &str) -> usize {
    let block = repeated.repeat(16 * 1024 / repeated.len() + 1);
    let mut written = 0;
    let mut next = start.as_bytes();
    while stream.write_all(next).is_ok() {
        written += next.len();
        next = block.as_bytes();
    }
    written
}

/// A server that reads some bytes of each connection and answers without end; returns how many bytes
/// it could write.
fn endless_server(start: String, repeated: String) -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, rx) = channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.read_exact(&mut [0; 4]).unwrap();
        let written = write_endlessly(&mut stream, &start, &repeated);
        // The test may have ended.
        let _ = tx.send(written);
    });
    (address, rx)
}

/// Calls a server that answers with `start` and then `repeated` without end.
fn check(start: &str, repeated: &str, is_expected: impl Fn(&CallError) -> bool) {
    let (address, rx) = endless_server(start.to_owned(), repeated.to_owned());
    let began = Instant::now();
    block_on(async {
        let mut conn = Conn::connect(address, TIMEOUT, LIMITS).await.unwrap();
        let res = conn.call(Request::get("/"), TIMEOUT).await;
        match res {
            Err(e) => assert!(is_expected(&e), "{start:?} {repeated:?}: {e}"),
            Ok(res) => panic!("{start:?} {repeated:?}: {res:?}"),
        }
        assert!(!conn.is_reusable());
        conn.close();
    });
    let took = began.elapsed();
    assert!(took < END_TIME, "{start:?} {repeated:?}: {took:?}");
    let written = rx.recv_timeout(TIMEOUT).unwrap();
    assert!(
        written < BUFFERED_BYTES,
        "{start:?} {repeated:?}: {written}"
    );
}

fn is_too_large(e: &CallError) -> bool {
    matches!(e, CallError::TooLarge)
}

fn is_refused(e: &CallError) -> bool {
    matches!(e, CallError::TooLarge | CallError::Broken(_))
}

#[test]
fn a_response_head_without_end_is_an_error_within_its_limit() {
    let ok = "HTTP/1.1 200 OK\r\n";
    check("", "x", is_refused);
    check("", "\r\n", is_refused);
    check("HTTP/1.1 200 ", "O", is_too_large);
    check(ok, "a: b\r\n", is_refused);
    check(&format!("{ok}x-a: "), "b", is_too_large);
    check(ok, "a", is_too_large);
    check("", "HTTP/1.1 100 Continue\r\n\r\n", is_too_large);
    check(
        "",
        "HTTP/1.1 102 Processing\r\nx-a: b\r\n\r\n",
        is_too_large,
    );
}

#[test]
fn a_response_body_without_end_is_an_error_within_its_limit() {
    let ok = "HTTP/1.1 200 OK\r\n";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    check(&format!("{ok}\r\n"), "x", is_refused);
    check(
        &format!("{ok}content-length: 99999999\r\n\r\n"),
        "x",
        is_too_large,
    );
    check(chunked, "5\r\nhello\r\n", is_too_large);
    check(chunked, "0", is_refused);
    check(&format!("{chunked}5;"), "x", is_refused);
    check(&format!("{chunked}ffffff\r\n"), "x", is_too_large);
    check(&format!("{chunked}0\r\n"), "a: b\r\n", is_refused);
    check(&format!("{chunked}0\r\n"), "x", is_refused);
}

/// The bytes belong to no request, and the connection takes no other one.
#[test]
fn bytes_without_end_after_a_response_close_its_connection() {
    let complete = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
    let (address, rx) = endless_server(complete.to_owned(), "x".to_owned());
    block_on(async {
        let cfg = PoolCfg {
            limits: LIMITS,
            connect_timeout: Duration::from_millis(100),
            ..PoolCfg::default()
        };
        let pool = Pool::new(cfg);
        let mut conn = pool.take(address).await.unwrap();
        let res = conn.call(Request::get("/"), TIMEOUT).await.unwrap();
        assert_eq!(res.body, "hello");
        pool.put(conn);
        monoio::time::sleep(Duration::from_millis(50)).await;
        // The server accepts one connection only, so the next one gets no answer.
        let answered = match pool.take(address).await {
            Ok(mut conn) => {
                conn.call(Request::get("/"), Duration::from_millis(100))
                    .await
            }
            Err(_) => return,
        };
        assert!(answered.is_err(), "{answered:?}");
    });
    assert!(rx.recv_timeout(TIMEOUT).unwrap() < BUFFERED_BYTES);
}

#[test]
fn a_response_that_drips_ends_with_the_time_of_its_call() {
    for start in [
        "HTTP/1.1 200 OK\r\nx-a: ",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nff\r\n",
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let dripping = thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            stream.write_all(start.as_bytes()).unwrap();
            while stream.write_all(b"x").is_ok() {
                thread::sleep(Duration::from_millis(20));
            }
        });
        let began = Instant::now();
        block_on(async {
            let mut conn = Conn::connect(address, TIMEOUT, LIMITS).await.unwrap();
            let call = conn.call(Request::get("/"), Duration::from_millis(300));
            assert!(matches!(call.await, Err(CallError::TimedOut)), "{start:?}");
            conn.close();
        });
        assert!(began.elapsed() < END_TIME);
        dripping.join().unwrap();
    }
}

#[test]
fn a_request_without_end_is_refused_within_its_limit() {
    with_server(LIMITS, |address| {
        for (start, repeated) in [
            ("GET /", "x"),
            ("GET / HTTP/1.1\r\n", "a: b\r\n"),
            ("GET / HTTP/1.1\r\nx-a: ", "b"),
            (
                "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n",
                "5\r\nhello\r\n",
            ),
            (
                "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n5;",
                "x",
            ),
            (
                "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
                "a: b\r\n",
            ),
        ] {
            let began = Instant::now();
            let mut stream = TcpStream::connect(address).unwrap();
            let written = write_endlessly(&mut stream, start, repeated);
            assert!(written < BUFFERED_BYTES, "{start:?}: {written}");
            assert!(
                began.elapsed() < END_TIME,
                "{start:?}: {:?}",
                began.elapsed()
            );
        }
    });
}
