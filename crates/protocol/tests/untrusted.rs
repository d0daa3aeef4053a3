//! Decoding of arbitrary bytes from a peer: no panic, no stack overflow, no huge allocation.

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

/// Limit on the growth of the address space while decoding, in KiB: far less than one of
/// [`HUGE_LENGTH_MARKERS`] claims.
const MAX_GROWTH_KIB: u64 = 512 * 1024;

/// `MessagePack` markers that take a 32-bit length: array, map, string, binary, extension. With
/// four bytes of 0xff they claim four billion elements or bytes.
const HUGE_LENGTH_MARKERS: [u8; 5] = [0xdd, 0xdf, 0xdb, 0xc6, 0xc9];

fn encoded_messages() -> Vec<Vec<u8>> {
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

/// Decodes the bytes as each type of message. The results are ignored: the tests look for panics
/// and allocations only.
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

/// Returns the peak virtual memory of this process, in KiB.
fn peak_kib() -> u64 {
    let status =
        std::fs::read_to_string("/proc/self/status").expect("/proc/self/status is readable");
    let line = status.lines().find(|line| line.starts_with("VmPeak:"));
    let mut words = line
        .expect("the status has a VmPeak line")
        .split_whitespace();
    words
        .nth(1)
        .expect("VmPeak has a value")
        .parse()
        .expect("VmPeak is a number")
}

#[test]
fn huge_claimed_lengths_do_not_preallocate() {
    let before = peak_kib();
    for message in encoded_messages() {
        for at in 0..message.len() {
            for marker in HUGE_LENGTH_MARKERS {
                let mut bytes = message[..at].to_vec();
                bytes.extend([marker, 0xff, 0xff, 0xff, 0xff]);
                decode_all(&bytes);
                bytes.extend(&message[at..]);
                decode_all(&bytes);
            }
        }
    }
    let growth = peak_kib() - before;
    assert!(
        growth < MAX_GROWTH_KIB,
        "address space grew by {growth} KiB"
    );
}

#[test]
fn deep_nesting_does_not_overflow_the_stack() {
    for container in [0x91, 0x81, 0x92] {
        decode_all(&vec![container; 1 << 20]);
    }
}

quickcheck! {
    fn mutated_messages_never_panic(edits: Vec<(usize, u8)>, cut: usize, tail: Vec<u8>) -> bool {
        for mut bytes in encoded_messages() {
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
