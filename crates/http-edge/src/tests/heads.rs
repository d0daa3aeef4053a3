//! Tests of the size and the time of request heads.

use std::fmt::Write as _;
use std::io::Read;
use std::io::Write;
use std::rc::Rc;
use std::time::Duration;

use crate::Limits;
use crate::Server;
use crate::ServerCfg;
use crate::head::EndSearch;
use crate::listen;
use crate::tests::Echo;
use crate::tests::support::connect;
use crate::tests::support::exchange;
use crate::tests::support::statuses;
use crate::tests::support::with_server;
use crate::tests::support::with_started;

#[test]
fn the_end_of_a_head_is_found_wherever_its_bytes_are_split() {
    let check = |text: &str, want: Option<usize>| {
        for piece in 1..=text.len() {
            let mut search = EndSearch::default();
            let mut found = None;
            let mut end = 0;
            while found.is_none() && end < text.len() {
                end = text.len().min(end + piece);
                found = search.find(&text.as_bytes()[..end]);
            }
            assert_eq!(found, want, "{text:?} by {piece}");
        }
    };
    check("GET / HTTP/1.1\r\n\r\nrest", Some(18));
    check("GET / HTTP/1.1\r\na: b\r\n\r\n\r\n\r\n", Some(24));
    check("\r\n\r\nGET / HTTP/1.1\r\n\r\n", Some(22));
    check("GET / HTTP/1.1\r\n\n\r\r\n", None);
    check("\r\n\r\n\r\n", None);
}

/// A head of exactly this length, all of it short lines.
fn head_of_lines(bytes: usize) -> String {
    let mut head = "GET / HTTP/1.1\r\nconnection: close\r\n".to_owned();
    let mut number = 0;
    while head.len() + "0000:\r\n\r\n".len() <= bytes {
        write!(head, "{number:x}:\r\n").unwrap();
        number += 1;
    }
    while head.len() + "\r\n".len() < bytes {
        head.insert(5, 'x');
    }
    head + "\r\n"
}

#[test]
fn a_head_within_its_limit_is_served_however_many_lines_it_has() {
    with_server(Limits::default(), |address| {
        let limit = Limits::default().max_head_bytes;
        for (bytes, want) in [(limit, 200), (limit / 8, 200), (limit + 1, 413)] {
            let head = head_of_lines(bytes);
            assert_eq!(head.len(), bytes);
            let response = exchange(address, head.as_bytes());
            assert_eq!(
                statuses(&response),
                [want],
                "{} lines",
                head.lines().count()
            );
        }
    });
}

#[test]
fn heads_with_other_line_ends_are_refused() {
    with_server(Limits::default(), |address| {
        for head in [
            "GET / HTTP/1.1\nhost: a\n\nGET / HTTP/1.1\r\n\r\n",
            "GET / HTTP/1.1\r\nhost: a\n\nx: y\r\n\r\n",
            "GET / HTTP/1.1\r\nhost: a\r\n folded\r\n\r\n",
        ] {
            assert_eq!(statuses(&exchange(address, head.as_bytes())), [400]);
        }
        let after_blanks = "\r\n\r\nGET / HTTP/1.1\r\nconnection: close\r\n\r\n";
        assert_eq!(statuses(&exchange(address, after_blanks.as_bytes())), [200]);
    });
}

#[test]
fn requests_without_progress_end() {
    let start = || {
        let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let cfg = ServerCfg {
            idle_timeout: Duration::from_millis(300),
            head_timeout: Duration::from_millis(100),
            ..ServerCfg::default()
        };
        (Server::start(listener, Rc::new(Echo), cfg), address)
    };
    with_started(start, |address| {
        let check = |text: &str, want: &[u16]| {
            let response = exchange(address, text.as_bytes());
            assert_eq!(statuses(&response), want, "{text:?}");
        };
        check("", &[]);
        check("GET / HTTP/1.1\r\nhost", &[408]);
        check("POST / HTTP/1.1\r\ncontent-length: 5\r\n\r\nhell", &[408]);
        // One byte at a time prolongs a head no further.
        let mut dripping = connect(address);
        let mut writer = dripping.try_clone().unwrap();
        let drips = std::thread::spawn(move || {
            while writer.write_all(b"x").is_ok() {
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        let mut response = Vec::new();
        let _ = dripping.read_to_end(&mut response);
        assert!(response.is_empty() || response.starts_with(b"HTTP/1.1 408"));
        drips.join().unwrap();
    });
}
