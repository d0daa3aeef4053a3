//! When clients may return after a refusal.
//!
//! Clients that are refused together would return together, and fill the room that has become free for
//! none but the first of them. So each gets a random time from the expected room on, the more urgent
//! ones an earlier time. A client waits no longer than a part of its time left, so later times are moved
//! into that part: with the time that is left then it is served more often than if it stays away.

use std::time::Duration;

use crate::config::Rank;

/// Part of its time left that a client waits at most, as a divisor.
const PATIENCE_DIVISOR: u32 = 3;

/// Shortest span over which returns are spread: about the time in which a few slots become free.
const MIN_SPREAD: Duration = Duration::from_millis(60);

/// Rank from which on requests return in the last part of the span.
const LAST_RANK: Rank = 3;

/// Returns the time after which a client that has `left` of its time may return, if room is expected
/// after `expected`; `random` is uniformly distributed.
#[must_use]
pub fn return_after(expected: Duration, left: Duration, rank: Rank, random: u64) -> Duration {
    let latest = left / PATIENCE_DIVISOR;
    let earliest = expected.min(latest / 2);
    let end = (expected + expected.max(MIN_SPREAD)).min(latest);
    let span = end.saturating_sub(earliest);
    // Each rank draws from one half of the span, the most urgent one from the first.
    let steps = u32::from(rank.min(LAST_RANK));
    let first = span * steps / (2 * u32::from(LAST_RANK));
    let part = u32::try_from(random >> 32).unwrap_or(u32::MAX);
    let drawn = (span / 2).mul_f64(f64::from(part) / f64::from(u32::MAX));
    earliest + first + drawn
}
