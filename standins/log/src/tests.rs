//! Tests of retention, paging and the rate limit on appends, with a simulated clock.

use std::time::Duration;
use std::time::Instant;

use crate::store::ReadResult;
use crate::store::Retention;
use crate::store::Store;
use crate::token_bucket::TokenBucket;

fn filled(retention: Retention, start: Instant) -> Store {
    let mut store = Store::new(retention);
    for i in 0..10_u32 {
        let now = start + Duration::from_secs(1) * i;
        assert!(store.append("s", format!("r{i}"), now).is_ok());
    }
    store
}

#[test]
fn records_expire_by_count_and_by_age() {
    let start = Instant::now();
    let check = |records: usize, age: u64, oldest: u64| {
        let age = Duration::from_secs(age);
        let mut store = filled(Retention { records, age }, start);
        let now = start + Duration::from_secs(10);
        let bounds = store.bounds("s", now);
        assert_eq!((bounds.oldest, bounds.next), (oldest, 10));
        let from = oldest.saturating_sub(1);
        let result = store.read("s", from, 100, now);
        let is_expired = matches!(result, ReadResult::Expired(b) if b == bounds);
        assert_eq!(is_expired, oldest > 0);
    };
    check(100, 100, 0);
    check(4, 100, 6);
    check(100, 3, 7);
    check(4, 3, 7);
    check(100, 0, 10);
}

#[test]
fn a_page_starts_at_the_requested_offset() {
    let start = Instant::now();
    let check = |from: u64, max: usize, want: &[&str], next: u64| {
        let mut store = filled(Retention::default(), start);
        let ReadResult::Records(page) = store.read("s", from, max, start) else {
            panic!("expired");
        };
        let texts: Vec<&str> = page.records.iter().map(|r| r.data.as_str()).collect();
        assert_eq!(texts, want);
        assert_eq!(page.next, next);
    };
    check(0, 2, &["r0", "r1"], 2);
    check(8, 100, &["r8", "r9"], 10);
    check(10, 100, &[], 10);
    // A read past the end returns the end offset.
    check(12, 100, &[], 10);
}

#[test]
fn appends_are_admitted_at_the_configured_rate() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(100, start);
    let mut admitted = 0;
    for ms in 0..2000 {
        let now = start + Duration::from_millis(ms);
        admitted += u32::from(bucket.take(now).is_ok());
    }
    // Two seconds at 100 per second, and the burst of 25.
    assert!((223..=226).contains(&admitted), "{admitted}");
    let mut empty = TokenBucket::new(1, start);
    assert_eq!(empty.take(start), Ok(()));
    assert_eq!(empty.take(start), Err(Duration::from_secs(1)));
}
