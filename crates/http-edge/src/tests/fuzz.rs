//! Fuzz tests: mutated messages and arbitrary bytes against server and client.

use http::Method;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::CallError;
use crate::Limits;
use crate::tests::responses;
use crate::tests::support::exchange;
use crate::tests::support::exchange_half_closed;
use crate::tests::support::raw_server;
use crate::tests::support::statuses;
use crate::tests::support::with_server;

const CASES: usize = 2000;

/// Longest run of bytes that one mutation affects.
const MAX_RUN_BYTES: usize = 24;

const REQUESTS: [&str; 4] = [
    "GET /a?b=c HTTP/1.1\r\nhost: a\r\n\r\n",
    "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhelloGET / HTTP/1.1\r\n\r\n",
    "PUT / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\nx\r\n0\r\n\r\n",
    "HEAD / HTTP/1.0\r\nexpect: 100-continue\r\nconnection: keep-alive\r\n\r\n",
];

/// Returns one of the texts with one to four mutations, or arbitrary bytes.
fn mutated(g: &mut Gen, texts: &[&str]) -> Vec<u8> {
    let Some(text) = g.choose(texts).filter(|_| u8::arbitrary(g) > 16) else {
        return Vec::arbitrary(g);
    };
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..=u8::arbitrary(g) % 4 {
        mutate_once(g, &mut bytes);
    }
    bytes
}

fn mutate_once(g: &mut Gen, bytes: &mut Vec<u8>) {
    let start = usize::arbitrary(g) % (bytes.len() + 1);
    let end = bytes.len().min(start + usize::arbitrary(g) % MAX_RUN_BYTES);
    match u8::arbitrary(g) % 5 {
        0 => drop(bytes.drain(start..end)),
        1 => bytes.extend_from_within(start..end),
        2 => bytes.truncate(start),
        3 => drop(bytes.splice(start..start, Vec::arbitrary(g))),
        _ => bytes[start..end]
            .iter_mut()
            .for_each(|byte| *byte ^= 1 << (start % 8)),
    }
}

#[test]
fn server_keeps_serving_after_arbitrary_bytes() {
    with_server(Limits::default(), |address| {
        let mut g = Gen::new(MAX_RUN_BYTES);
        for _ in 0..CASES {
            let bytes = mutated(&mut g, &REQUESTS);
            let response = exchange_half_closed(address, &bytes);
            // Echoed bodies may contain anything, so only the first response is checked.
            let first = first_status(&response);
            let is_known = first.is_none_or(|status| [100, 200, 400, 413, 417].contains(&status));
            assert!(
                is_known,
                "{:?} gave {response:?}",
                bytes.escape_ascii().to_string()
            );
        }
        let response = exchange(address, b"GET / HTTP/1.0\r\n\r\n");
        assert_eq!(statuses(&response), [200]);
    });
}

fn first_status(response: &str) -> Option<u16> {
    if response.is_empty() {
        return None;
    }
    let status = response
        .strip_prefix("HTTP/1.1 ")
        .and_then(|rest| rest.get(..3));
    Some(status.and_then(|status| status.parse().ok()).unwrap_or(0))
}

#[test]
fn client_call_ends_on_arbitrary_response_bytes() {
    let (address, tx) = raw_server();
    let mut g = Gen::new(MAX_RUN_BYTES);
    for _ in 0..CASES {
        let bytes = mutated(&mut g, &responses::COMPLETE);
        tx.send(bytes.clone()).unwrap();
        let res = responses::call(address, Method::GET);
        // The raw server closes the connection, so the client never needs to wait.
        let has_timed_out = matches!(res, Err(CallError::TimedOut));
        assert!(!has_timed_out, "{:?}", bytes.escape_ascii().to_string());
    }
}
