//! Large bodies on a slow link.

use std::time::Duration;
use std::time::Instant;

use crate::transfers::Transfer;
use crate::transfers::TransferDecision;
use crate::transfers::TransferLimiter;
use crate::transfers::TransferStep;
use crate::transfers::needs_grant;

/// Bytes a second of a link of 16 Mbit/s.
const LINK_RATE: f64 = 2e6;

fn transfer(key: u32, bytes: u64, rank: u8, arrive_by: Instant) -> Transfer<u32> {
    Transfer {
        key,
        bytes,
        rank,
        arrive_by,
    }
}

#[test]
fn only_bodies_that_take_a_link_for_long_need_a_grant() {
    let check = |body_bytes, link_mbps, expected| {
        let actual = needs_grant(body_bytes, link_mbps);
        assert_eq!(actual, expected, "{body_bytes} bytes, {link_mbps} Mbit/s");
    };
    check(0, 16, false);
    check(4_000, 16, false);
    check(60_000, 16, true);
    check(60_000, 1000, false);
    check(2_000_000, 1000, true);
    // The rate of the link is not known.
    check(2_000_000, 0, false);
}

/// A flash crowd: twice the bytes that the link carries, for five seconds. The bytes ahead of a small
/// request stay bounded, the link stays busy, and what can't arrive in time is refused at once.
#[test]
fn a_small_request_waits_behind_few_bytes_while_uploads_press() {
    let start = Instant::now();
    let mut limiter = TransferLimiter::new(16);
    // Bytes that the network still has to carry, by transfer in the order of their grants.
    let mut on_link: Vec<(u32, f64)> = Vec::new();
    let (mut carried, mut refused, mut most_ahead) = (0.0, 0, 0.0_f64);
    for ms in 0..5000_u32 {
        let now = start + Duration::from_millis(1) * ms;
        let mut budget = LINK_RATE / 1e3;
        while budget > 0.0 && !on_link.is_empty() {
            let sent = budget.min(on_link[0].1);
            on_link[0].1 -= sent;
            budget -= sent;
            carried += sent;
            if on_link[0].1 <= 0.0 {
                limiter.end(&on_link.remove(0).0);
            }
        }
        if ms.is_multiple_of(15) {
            let offered = transfer(ms, 60_000, 1, now + Duration::from_millis(400));
            match limiter.offer(offered, now) {
                TransferDecision::Granted => on_link.push((ms, 60_000.0)),
                TransferDecision::Queued => {}
                TransferDecision::Refused(after) => {
                    refused += 1;
                    assert!(after > Duration::from_millis(200), "{after:?}");
                }
            }
        }
        while let Some(step) = limiter.next(now) {
            match step {
                TransferStep::Grant(key) => on_link.push((key, 60_000.0)),
                TransferStep::Refuse(..) => refused += 1,
            }
        }
        most_ahead = most_ahead.max(on_link.iter().map(|sent| sent.1).sum());
    }
    assert!(most_ahead <= 160_000.0, "{most_ahead} bytes ahead");
    assert!(carried > 0.95 * 5.0 * LINK_RATE, "{carried} bytes carried");
    assert!((120..220).contains(&refused), "{refused} of 334 refused");
}

#[test]
fn more_urgent_transfers_go_first() {
    let now = Instant::now();
    let by = now + Duration::from_secs(1);
    let mut limiter = TransferLimiter::new(16);
    for (key, rank, expected) in [
        (1, 2, TransferDecision::Granted),
        (2, 2, TransferDecision::Queued),
        (3, 0, TransferDecision::Queued),
    ] {
        assert_eq!(
            limiter.offer(transfer(key, 150_000, rank, by), now),
            expected
        );
    }
    limiter.end(&1);
    assert_eq!(limiter.next(now), Some(TransferStep::Grant(3)));
    assert_eq!(limiter.next(now), None);
}

#[test]
fn a_sender_that_failed_does_not_hold_its_grant() {
    let now = Instant::now();
    let mut limiter = TransferLimiter::new(16);
    let by = now + Duration::from_secs(9);
    assert_eq!(
        limiter.offer(transfer(1, 150_000, 1, by), now),
        TransferDecision::Granted
    );
    assert_eq!(
        limiter.offer(transfer(2, 150_000, 1, by), now),
        TransferDecision::Queued
    );
    assert_eq!(limiter.next(now + Duration::from_millis(100)), None);
    assert_eq!(
        limiter.next(now + Duration::from_secs(1)),
        Some(TransferStep::Grant(2))
    );
}
