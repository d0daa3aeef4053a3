//! Messages from peers that send anything.

use std::time::Duration;

use ledger::StampedRecord;
use ledger::State;
use protocol::call::AttemptId;
use protocol::call::CallHead;
use protocol::call::Load;
use protocol::call::NotRun;
use protocol::call::NotRunReason;
use protocol::call::Outcome;
use protocol::call::OutcomeHead;
use protocol::call::ResolveRequest;
use protocol::codec;
use protocol::evidence::CallCounts;
use protocol::evidence::EvidenceReport;
use protocol::feed::FeedReply;
use protocol::feed::FeedRequest;
use protocol::feed::Lease;
use protocol::feed::RollbackFact;
use quickcheck::quickcheck;

/// Most address space that all decoding of this file may add, in KiB: far less than what one
/// length prefix claims.
const MAX_GROWTH_KIB: u64 = 512 * 1024;

/// Prefixes that claim four billion elements or bytes: array, map, text, bytes, extension.
const CLAIMS: [u8; 5] = [0xdd, 0xdf, 0xdb, 0xc6, 0xc9];

fn messages() -> Vec<Vec<u8>> {
    let attempt = AttemptId {
        caller: "suva-a-1".into(),
        incarnation: 7,
        sequence: 9,
    };
    let counts = CallCounts {
        ok: 3,
        ..CallCounts::default()
    };
    let lease = Lease {
        epoch: 2,
        sequence: 8,
    };
    let messages = [
        codec::encode(&FeedRequest {
            wire: 1,
            child: "suva-a-2".into(),
            next: 5,
            lease,
            facts_tag: 1,
        }),
        codec::encode(&FeedReply {
            next: 6,
            records: vec![StampedRecord::from_text(5, "unreadable")],
            state: Some(State::default()),
            lease,
            facts_tag: 2,
            facts: vec![RollbackFact {
                ticket: 1,
                service: "bookings".into(),
                reason: "errors".into(),
            }],
            retry_after: Some(Duration::from_secs(1)),
        }),
        codec::encode(&EvidenceReport {
            daemon: "suva-a-1".into(),
            incarnation: 7,
            sequence: 1,
            service: "bookings".into(),
            version: "v2".into(),
            in_flight: 3,
            routes: [("/book".into(), counts)].into(),
        }),
        codec::encode(&OutcomeHead {
            attempt: attempt.clone(),
            outcome: Outcome::NotRun(NotRun {
                reason: NotRunReason::Overloaded,
                retry_after: Some(Duration::from_secs(1)),
            }),
            load: Load::default(),
        }),
        codec::encode(&ResolveRequest {
            attempt,
            incarnation: 7,
            remaining: Duration::from_secs(1),
        }),
    ];
    messages.iter().map(|bytes| bytes.to_vec()).collect()
}

/// Decodes the bytes as each message; only a panic or an allocation can go wrong.
fn decode_all(bytes: &[u8]) {
    let _ = codec::decode::<FeedRequest>(bytes);
    let _ = codec::decode::<FeedReply>(bytes);
    let _ = codec::decode::<EvidenceReport>(bytes);
    let _ = codec::decode::<CallHead>(bytes);
    let _ = codec::decode::<OutcomeHead>(bytes);
    let _ = codec::decode::<ResolveRequest>(bytes);
    if let Ok(text) = std::str::from_utf8(bytes) {
        let _ = codec::decode_header_value::<ResolveRequest>(text);
    }
}

/// Largest address space that this process has had, in KiB.
fn peak_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find(|line| line.starts_with("VmPeak:"));
    let mut words = line.expect("a peak").split_whitespace();
    words.nth(1).expect("a size").parse().expect("a number")
}

#[test]
fn lengths_that_claim_gigabytes_allocate_little() {
    let before = peak_kib();
    for message in messages() {
        for at in 0..message.len() {
            for claim in CLAIMS {
                let mut bytes = message[..at].to_vec();
                bytes.extend([claim, 0xff, 0xff, 0xff, 0xff]);
                decode_all(&bytes);
                bytes.extend(&message[at..]);
                decode_all(&bytes);
            }
        }
    }
    let growth = peak_kib() - before;
    assert!(growth < MAX_GROWTH_KIB, "{growth} KiB more");
}

#[test]
fn deep_nesting_is_refused() {
    for nested in [0x91, 0x81, 0x92] {
        decode_all(&vec![nested; 1 << 20]);
    }
}

quickcheck! {
    fn mutated_messages_never_panic(edits: Vec<(usize, u8)>, cut: usize, tail: Vec<u8>) -> bool {
        for mut bytes in messages() {
            for (at, value) in &edits {
                let at = at % bytes.len();
                bytes[at] = *value;
            }
            decode_all(&bytes);
            bytes.truncate(cut % bytes.len());
            decode_all(&bytes);
            bytes.extend(&tail);
            decode_all(&bytes);
        }
        decode_all(&tail);
        true
    }
}
