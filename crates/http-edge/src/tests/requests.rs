//! Requests with more than one reading, and the corners of HTTP/1.1.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;

use crate::Limits;
use crate::tests::support::connect;
use crate::tests::support::exchange;
use crate::tests::support::exchange_cut;
use crate::tests::support::statuses;
use crate::tests::support::with_server;

const HEAD_OF_POST: &str = "POST / HTTP/1.1\r\nconnection: close\r\n";

#[test]
fn requests_with_two_readings_of_their_length_are_refused() {
    with_server(Limits::default(), |address| {
        let check = |headers: &str, body: &str, want: u16| {
            let text = format!("{HEAD_OF_POST}{headers}\r\n{body}");
            let answer = exchange(address, text.as_bytes());
            assert_eq!(statuses(&answer), [want], "{headers:?}");
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
fn requests_of_http_1_0_are_answered_once_and_closed() {
    with_server(Limits::default(), |address| {
        let check = |text: &str, want: &[u16]| {
            let answer = exchange(address, text.as_bytes());
            assert_eq!(statuses(&answer), want, "{text:?}");
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
fn a_client_that_waits_is_told_to_send_its_body() {
    with_server(Limits::default(), |address| {
        let mut stream = connect(address);
        let head = format!("{HEAD_OF_POST}expect: 100-continue\r\ncontent-length: 5\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        let mut word = [0; 25];
        stream.read_exact(&mut word).unwrap();
        assert_eq!(&word, b"HTTP/1.1 100 Continue\r\n\r\n");
        stream.write_all(b"hello").unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("hello"));

        let check = |headers: &str, want: u16| {
            let text = format!("{HEAD_OF_POST}{headers}\r\n");
            let answer = exchange(address, text.as_bytes());
            assert_eq!(statuses(&answer), [want], "{headers:?}");
        };
        check("expect: 100-continue\r\ncontent-length: 99999999\r\n", 413);
        check("expect: 100-continue\r\n", 200);
        check("expect: miracles\r\n", 417);
    });
}

#[test]
fn answers_that_have_no_body_end_with_their_head() {
    with_server(Limits::default(), |address| {
        let check = |line: &str, want: u16, length: Option<&str>| {
            let text =
                format!("{line} HTTP/1.1\r\nconnection: close\r\ncontent-length: 5\r\n\r\nhello");
            let answer = exchange(address, text.as_bytes());
            assert_eq!(statuses(&answer), [want], "{line}");
            let mut lines = answer.lines();
            let found = lines.find_map(|line| line.strip_prefix("content-length: "));
            assert_eq!(found, length, "{line}");
            answer.ends_with("\r\n\r\n")
        };
        assert!(check("HEAD /", 200, Some("5")));
        assert!(check("POST /204", 204, None));
        assert!(check("POST /304", 304, None));
        assert!(!check("POST /", 200, Some("5")));
    });
}

#[test]
fn pipelined_requests_after_the_last_answer_are_dropped() {
    with_server(Limits::default(), |address| {
        let check = |path: &str, count: usize| {
            let last = format!("GET {path} HTTP/1.1\r\nconnection: close\r\n\r\n");
            let more = "GET / HTTP/1.1\r\n\r\n".repeat(count);
            let answer = exchange(address, format!("{last}{more}").as_bytes());
            assert_eq!(statuses(&answer), [200], "{path}, {count} more");
        };
        for count in 1..200 {
            check("/", count % 8);
        }
        check("/slow", 7);
    });
}

#[test]
fn a_half_closed_client_counts_as_gone() {
    with_server(Limits::default(), |address| {
        let answer = exchange_cut(address, b"GET /slow HTTP/1.1\r\n\r\n");
        assert_eq!(answer, "");
        let answer = exchange(address, b"GET / HTTP/1.0\r\n\r\n");
        assert_eq!(statuses(&answer), [200]);
    });
}

#[test]
fn a_header_name_that_the_decoder_panics_on_is_refused() {
    let check = |limits: Limits, want: u16| {
        with_server(limits, |address| {
            let name = "a".repeat(70_000);
            let text = format!("{HEAD_OF_POST}{name}: b\r\n\r\n");
            let mut stream = connect(address);
            let _ = stream.write_all(text.as_bytes());
            let _ = stream.shutdown(Shutdown::Write);
            let mut answer = [0; 12];
            stream.read_exact(&mut answer).unwrap();
            assert_eq!(answer, *format!("HTTP/1.1 {want}").as_bytes());
            let answer = exchange(address, b"GET / HTTP/1.0\r\n\r\n");
            assert_eq!(statuses(&answer), [200]);
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
