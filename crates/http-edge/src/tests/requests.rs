//! Tests of request framing and of less common HTTP/1.x features.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;

use crate::Limits;
use crate::tests::support::connect;
use crate::tests::support::exchange;
use crate::tests::support::exchange_half_closed;
use crate::tests::support::statuses;
use crate::tests::support::with_server;

const POST_HEAD: &str = "POST / HTTP/1.1\r\nconnection: close\r\n";

#[test]
fn requests_with_ambiguous_framing_are_refused() {
    with_server(Limits::default(), |address| {
        let check = |headers: &str, body: &str, want: u16| {
            let text = format!("{POST_HEAD}{headers}\r\n{body}");
            let response = exchange(address, text.as_bytes());
            assert_eq!(statuses(&response), [want], "{headers:?}");
        };
        let chunked = "transfer-encoding: chunked\r\n";
        let chunks = "5\r\nhello\r\n0\r\n\r\n";
        check("content-length: 5\r\n", "hello", 200);
        check(chunked, chunks, 200);
        check("content-length: 5\r\ncontent-length: 5\r\n", "hello", 400);
        check("content-length: 5\r\nContent-Length: 6\r\n", "hello!", 400);
        check("content-length: 5, 5\r\n", "hello", 400);
        check("content-length: +5\r\n", "hello", 400);
        check("content-length: -5\r\n", "hello", 400);
        check("content-length: 0x5\r\n", "hello", 400);
        check("content-length: \r\n", "", 400);
        check(&format!("content-length: 5\r\n{chunked}"), chunks, 400);
        check(&format!("{chunked}content-length: 5\r\n"), chunks, 400);
        check(&format!("{chunked}{chunked}"), chunks, 400);
        check("transfer-encoding: gzip, chunked\r\n", chunks, 400);
        check("transfer-encoding: identity\r\n", "", 400);
        check("transfer-encoding : chunked\r\n", chunks, 400);
    });
}

#[test]
fn http_1_0_connections_close_after_one_response() {
    with_server(Limits::default(), |address| {
        let check = |text: &str, want: &[u16]| {
            let response = exchange(address, text.as_bytes());
            assert_eq!(statuses(&response), want, "{text:?}");
        };
        check("GET / HTTP/1.0\r\n\r\n", &[200]);
        check("GET / HTTP/1.0\r\n\r\nGET / HTTP/1.0\r\n\r\n", &[200]);
        check(
            "POST / HTTP/1.0\r\nexpect: 100-continue\r\ncontent-length: 1\r\n\r\nx",
            &[200],
        );
        check(
            "POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            &[400],
        );
        check(
            "GET / HTTP/1.1\r\nconnection: keep-alive, Close\r\n\r\n",
            &[200],
        );
    });
}

#[test]
fn expect_100_continue_gets_an_interim_response() {
    with_server(Limits::default(), |address| {
        let mut stream = connect(address);
        let head = format!("{POST_HEAD}expect: 100-continue\r\ncontent-length: 5\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        let mut interim = [0; 25];
        stream.read_exact(&mut interim).unwrap();
        assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
        stream.write_all(b"hello").unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        assert!(response.starts_with("HTTP/1.1 200") && response.ends_with("hello"));

        let check = |headers: &str, want: u16| {
            let text = format!("{POST_HEAD}{headers}\r\n");
            let response = exchange(address, text.as_bytes());
            assert_eq!(statuses(&response), [want], "{headers:?}");
        };
        check("expect: 100-continue\r\ncontent-length: 99999999\r\n", 413);
        check("expect: 100-continue\r\n", 200);
        check("expect: miracles\r\n", 417);
    });
}

#[test]
fn responses_without_a_body_end_after_the_head() {
    with_server(Limits::default(), |address| {
        let check = |line: &str, want: u16, length: Option<&str>| {
            let text =
                format!("{line} HTTP/1.1\r\nconnection: close\r\ncontent-length: 5\r\n\r\nhello");
            let response = exchange(address, text.as_bytes());
            assert_eq!(statuses(&response), [want], "{line}");
            let mut lines = response.lines();
            let found = lines.find_map(|line| line.strip_prefix("content-length: "));
            assert_eq!(found, length, "{line}");
            response.ends_with("\r\n\r\n")
        };
        assert!(check("HEAD /", 200, Some("5")));
        assert!(check("POST /204", 204, None));
        assert!(check("POST /304", 304, None));
        assert!(!check("POST /", 200, Some("5")));
    });
}

#[test]
fn pipelined_requests_after_connection_close_are_dropped() {
    with_server(Limits::default(), |address| {
        let check = |path: &str, count: usize| {
            let last = format!("GET {path} HTTP/1.1\r\nconnection: close\r\n\r\n");
            let more = "GET / HTTP/1.1\r\n\r\n".repeat(count);
            let response = exchange(address, format!("{last}{more}").as_bytes());
            assert_eq!(
                statuses(&response),
                [200],
                "{path}, {count} further requests"
            );
        };
        for count in 1..200 {
            check("/", count % 8);
        }
        check("/slow", 7);
    });
}

#[test]
fn half_closed_client_counts_as_disconnected() {
    with_server(Limits::default(), |address| {
        let response = exchange_half_closed(address, b"GET /slow HTTP/1.1\r\n\r\n");
        assert_eq!(response, "");
        let response = exchange(address, b"GET / HTTP/1.0\r\n\r\n");
        assert_eq!(statuses(&response), [200]);
    });
}

#[test]
fn header_name_that_panics_the_decoder_is_refused() {
    let check = |limits: Limits, want: u16| {
        with_server(limits, |address| {
            let name = "a".repeat(70_000);
            let text = format!("{POST_HEAD}{name}: b\r\n\r\n");
            let mut stream = connect(address);
            let _ = stream.write_all(text.as_bytes());
            let _ = stream.shutdown(Shutdown::Write);
            let mut response = [0; 12];
            stream.read_exact(&mut response).unwrap();
            assert_eq!(response, *format!("HTTP/1.1 {want}").as_bytes());
            let response = exchange(address, b"GET / HTTP/1.0\r\n\r\n");
            assert_eq!(statuses(&response), [200]);
        });
    };
    let small = Limits::default();
    check(small, 413);
    let large = Limits {
        max_head_bytes: 1024 * 1024,
        ..small
    };
    check(large, 400);
}
