//! Whom a daemon asks for a configuration that several others have announced.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::config_sources::ConfigSources;
use crate::config_sources::FetchEnd;
use crate::config_sources::HEDGE_DELAY;
use crate::config_sources::NextFetch;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

#[test]
fn another_announcer_is_asked_beside_one_that_does_not_answer() {
    let start = Instant::now();
    let mut sources = ConfigSources::default();
    for number in 1..=5 {
        sources.record(address(number), 9, start);
    }
    assert_eq!(sources.next(4, start), NextFetch::Ask(address(1)));
    assert_eq!(sources.next(4, start), NextFetch::Wait);
    let later = start + HEDGE_DELAY;
    assert_eq!(sources.next(4, later), NextFetch::Ask(address(2)));
    assert_eq!(sources.next(4, later), NextFetch::Wait);
    let later = later + HEDGE_DELAY;
    assert_eq!(sources.next(4, later), NextFetch::Ask(address(3)));
    // Three copies are on their way at most.
    let later = later + HEDGE_DELAY;
    assert_eq!(sources.next(4, later), NextFetch::Wait);
    sources.record_end(address(1), FetchEnd::Failed, 4);
    assert_eq!(sources.next(4, later), NextFetch::Ask(address(4)));
}

#[test]
fn an_announcer_that_failed_is_asked_after_the_others_and_once_an_announcement() {
    let start = Instant::now();
    let mut sources = ConfigSources::default();
    sources.record(address(1), 9, start);
    assert_eq!(sources.next(4, start), NextFetch::Ask(address(1)));
    sources.record_end(address(1), FetchEnd::Failed, 4);
    assert_eq!(sources.next(4, start), NextFetch::Wait);
    sources.record(address(1), 9, start);
    sources.record(address(2), 8, start);
    assert_eq!(sources.next(4, start), NextFetch::Ask(address(2)));
    sources.record_end(address(2), FetchEnd::Failed, 4);
    assert_eq!(sources.next(4, start), NextFetch::Ask(address(1)));
}

#[test]
fn nobody_is_asked_for_what_is_in_force() {
    let start = Instant::now();
    let mut sources = ConfigSources::default();
    sources.record(address(1), 7, start);
    sources.record(address(2), 9, start);
    assert_eq!(sources.next(4, start), NextFetch::Ask(address(2)));
    let adopted = start + Duration::from_millis(40);
    let pending = sources.record_adoption(9, adopted);
    assert_eq!(pending, Some(Duration::from_millis(40)));
    sources.record_end(address(2), FetchEnd::Adopted, 9);
    assert_eq!(sources.next(9, adopted), NextFetch::Wait);
    assert_eq!(sources.announced(), 9);
    assert_eq!(sources.record_adoption(10, adopted), None);
}

#[test]
fn an_announcer_that_answered_is_asked_again_for_what_it_announced_meanwhile() {
    let start = Instant::now();
    let mut sources = ConfigSources::default();
    sources.record(address(1), 7, start);
    assert_eq!(sources.next(4, start), NextFetch::Ask(address(1)));
    sources.record(address(1), 9, start);
    let adopted = start + Duration::from_millis(40);
    sources.record_adoption(7, adopted);
    sources.record_end(address(1), FetchEnd::Adopted, 7);
    assert_eq!(sources.next(7, adopted), NextFetch::Ask(address(1)));
}
