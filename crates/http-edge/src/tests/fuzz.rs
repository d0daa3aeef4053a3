//! Bytes that no sane peer sends.

use http::Method;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::CallError;
use crate::Limits;
use crate::tests::answers;
use crate::tests::support::exchange;
use crate::tests::support::exchange_cut;
use crate::tests::support::raw_server;
use crate::tests::support::statuses;
use crate::tests::support::with_server;

const CASES: usize = 2000;

/// Longest run of bytes that one change inserts.
const RUN: usize = 24;

const REQUESTS: [&str; 4] = [
    "GET /a?b=c HTTP/1.1\r\nhost: a\r\n\r\n",
    "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhelloGET / HTTP/1.1\r\n\r\n",
    "PUT / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\nx\r\n0\r\n\r\n",
    "HEAD / HTTP/1.0\r\nexpect: 100-continue\r\nconnection: keep-alive\r\n\r\n",
];

/// One of the texts with some changes, or none of them.
fn mutated(g: &mut Gen, texts: &[&str]) -> Vec<u8> {
    let Some(text) = g.choose(texts).filter(|_| u8::arbitrary(g) > 16) else {
        return Vec::arbitrary(g);
    };
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..=u8::arbitrary(g) % 4 {
        change(g, &mut bytes);
    }
    bytes
}

fn change(g: &mut Gen, bytes: &mut Vec<u8>) {
    let start = usize::arbitrary(g) % (bytes.len() + 1);
    let end = bytes.len().min(start + usize::arbitrary(g) % RUN);
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
fn a_server_refuses_or_answers_whatever_comes_and_goes_on() {
    with_server(Limits::default(), |address| {
        let mut g = Gen::new(RUN);
        for _ in 0..CASES {
            let bytes = mutated(&mut g, &REQUESTS);
            let answer = exchange_cut(address, &bytes);
            // Echoed bodies may hold anything, so the first answer is looked at.
            let first = statuses_at_start(&answer);
            let is_known = first.is_none_or(|status| [100, 200, 400, 413, 417].contains(&status));
            assert!(
                is_known,
                "{:?} gave {answer:?}",
                bytes.escape_ascii().to_string()
            );
        }
        let answer = exchange(address, b"GET / HTTP/1.0\r\n\r\n");
        assert_eq!(statuses(&answer), [200]);
    });
}

fn statuses_at_start(answer: &str) -> Option<u16> {
    if answer.is_empty() {
        return None;
    }
    let status = answer
        .strip_prefix("HTTP/1.1 ")
        .and_then(|rest| rest.get(..3));
    Some(status.and_then(|status| status.parse().ok()).unwrap_or(0))
}

#[test]
fn a_client_survives_whatever_answers_it() {
    let (address, tx) = raw_server();
    let mut g = Gen::new(RUN);
    for _ in 0..CASES {
        let bytes = mutated(&mut g, &answers::WHOLE);
        tx.send(bytes.clone()).unwrap();
        let res = answers::call(address, Method::GET);
        // The server closes after its bytes, so nothing is left to wait for.
        let is_late = matches!(res, Err(CallError::TimedOut));
        assert!(!is_late, "{:?}", bytes.escape_ascii().to_string());
    }
}
