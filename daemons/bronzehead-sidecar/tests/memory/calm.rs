//! A single request of the largest legal size is served while nothing else runs.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::site::Setup;
use crate::site::TIMEOUT;
use crate::site::with_setup;
use crate::usage::Watch;
use crate::usage::take_turn;

/// Largest body of a client, in bytes.
const MAX_BODY: usize = 64 * 1024 * 1024;

/// Limits of a site whose clients may send large bodies.
const SETUP: Setup = Setup {
    machines: 2,
    memory_mb: 110,
    max_fds: 4100,
    max_body: MAX_BODY,
    timeout_ms: 9000,
    target_ms: 8000,
    idle_s: 30,
    slots: 8,
};

/// Lines of a head of the largest legal size.
const SHORT_LINES: usize = 3200;

fn request(lines: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nhost: shop.example\r\nx-request-id: calm\r\n\
         x-deadline-ms: 9000\r\n{lines}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Sends a request and returns the status of the answer.
fn exchange(address: SocketAddr, message: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    // A request that is refused may be answered before it is read.
    let _ = stream.write_all(message);
    let mut answer = Vec::new();
    let mut buf = [0; 4096];
    while !answer.windows(4).any(|end| end == b"\r\n\r\n") {
        match stream.read(&mut buf) {
            Ok(n) if n > 0 => answer.extend_from_slice(&buf[..n]),
            _ => return None,
        }
    }
    let status = std::str::from_utf8(&answer).ok()?.split(' ').nth(1)?;
    status.parse().ok()
}

/// Checks that a request of the first machine is served by the instance of the other one.
fn check(test: u8, message: Vec<u8>, body: usize) {
    let _turn = take_turn();
    with_setup(test, SETUP, async move |site| {
        site.leave_last_only().await;
        let watches: Vec<Watch> = site.machines.iter().map(Watch::start).collect();
        let address = site.machines[0].request_address();
        let answer = thread::spawn(move || exchange(address, &message));
        while !answer.is_finished() {
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        let status = answer.join().expect("the client does not panic");
        let received = site.machines[1].instance.largest_body.get();
        let exceeded = watches.into_iter().flat_map(|watch| watch.finish(SETUP));
        let exceeded: Vec<String> = exceeded.collect();
        assert_eq!((status, received, exceeded), (Some(200), body, Vec::new()));
        site
    });
}

#[test]
fn a_single_head_of_many_short_lines_is_refused() {
    let lines = format!("content-length: 2\r\n{}", "a:b\r\n".repeat(SHORT_LINES));
    check(70, request(&lines, b"{}"), 2);
}

#[test]
fn a_single_large_body_with_a_length_is_refused() {
    let lines = format!("content-length: {MAX_BODY}\r\n");
    check(71, request(&lines, &vec![b'x'; MAX_BODY]), MAX_BODY);
}

#[test]
fn a_single_large_body_in_chunks_is_refused() {
    let chunk = [b"10000\r\n", vec![b'x'; 64 * 1024].as_slice(), b"\r\n"].concat();
    let mut body = chunk.repeat(MAX_BODY / (64 * 1024));
    body.extend_from_slice(b"0\r\n\r\n");
    check(
        72,
        request("transfer-encoding: chunked\r\n", &body),
        MAX_BODY,
    );
}
