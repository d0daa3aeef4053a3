//! Tests of units and of the stable hash.

use std::task::Context;
use std::task::Waker;
use std::time::Duration;

use crate::hash;
use crate::units::ParseError;
use crate::units::format_duration;
use crate::units::parse_duration;
use crate::units::parse_size;
use crate::units::parse_time;
use crate::wakers::Wakers;

#[test]
fn durations_need_a_unit() {
    let check = |text: &str, want: Result<Duration, ParseError>| {
        assert_eq!(parse_duration(text), want, "{text}");
    };
    check("1.5ms", Ok(Duration::from_micros(1500)));
    check("7s", Ok(Duration::from_secs(7)));
    check("2 h", Ok(Duration::from_hours(2)));
    check("7", Err(ParseError::Unit("7".into(), "us, ms, s, m, h, d")));
    check("fast", Err(ParseError::Number("fast".into())));
}

#[test]
fn durations_survive_a_round_trip() {
    for micros in [0, 1, 1500, 1_000_000, 7_250_000] {
        let duration = Duration::from_micros(micros);
        assert_eq!(parse_duration(&format_duration(duration)), Ok(duration));
    }
}

#[test]
fn sizes_need_a_unit() {
    assert_eq!(parse_size("64MiB"), Ok(64 * 1024 * 1024));
    assert!(parse_size("64").is_err());
}

#[test]
fn timestamps_are_parsed_to_the_millisecond() {
    assert_eq!(parse_time("1970-01-01T00:00:01.5Z"), Ok(1500));
    assert!(parse_time("tomorrow").is_err());
}

#[test]
fn hash_depends_on_the_boundaries_of_parts() {
    assert_ne!(hash::stable(&[b"ab", b"c"]), hash::stable(&[b"a", b"bc"]));
}

#[test]
fn the_waker_of_a_wait_is_dropped_with_it() {
    let wakers = Wakers::default();
    let cx = Context::from_waker(Waker::noop());
    let (first, second) = (wakers.waiter(), wakers.waiter());
    first.register(&cx);
    second.register(&cx);
    second.register(&cx);
    assert_eq!(wakers.len(), 2);
    drop(second);
    assert_eq!(wakers.len(), 1);
    wakers.wake_all();
    assert!(wakers.is_empty());
    drop(first);
    wakers.waiter().register(&cx);
    assert!(wakers.is_empty());
}

#[test]
fn content_hash_does_not_depend_on_its_parts() {
    let bytes: Vec<u8> = (0..100).collect();
    for len in 0..bytes.len() {
        let whole = hash::content([&bytes[..len]]);
        for part_bytes in 1..20 {
            let parts = bytes[..len].chunks(part_bytes);
            assert_eq!(hash::content(parts), whole, "{len} by {part_bytes}");
        }
    }
    let ends = |end: usize| hash::content([&bytes[..end]]);
    assert_ne!(ends(8), ends(9));
    // Daemons of two releases agree on it.
    assert_eq!(
        hash::content([&b"a body of some length"[..]]),
        0x8e4c_b362_c6ba_712f
    );
}
