//! Choice of instances.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use protocol::call::Load;
use protocol::call::NotRunReason;

use super::endpoint;
use crate::balancer::Balancer;
use crate::balancer::BalancerConfig;
use crate::balancer::Choice;
use crate::balancer::Failure;
use crate::balancer::RandomPair;
use crate::endpoint::Endpoint;
use crate::endpoint::EndpointPhase;

fn balancer() -> Balancer {
    Balancer::new(BalancerConfig::default(), "suva-a".into())
}

fn instances(zones: &[&str], now: Instant) -> Vec<Endpoint> {
    let names = ["a", "b", "c", "d"];
    std::iter::zip(names, zones)
        .map(|(name, zone)| endpoint(name, zone, "v1", now))
        .collect()
}

/// How often each instance is chosen over all pairs of draws.
fn spread(balancer: &Balancer, all: &[Endpoint], now: Instant) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for draws in (0..12).flat_map(|one| (0..12).map(move |other| RandomPair(one, other))) {
        if let Choice::Selected(chosen) = balancer.choose(all, &[], draws, now) {
            *counts.entry(chosen.daemon.to_string()).or_default() += 1;
        }
    }
    counts
}

fn chosen(balancer: &Balancer, all: &[Endpoint], now: Instant) -> String {
    let counts = spread(balancer, all, now);
    counts.into_keys().collect::<Vec<_>>().join(" ")
}

#[test]
fn own_zone_comes_first_and_spills_when_full() {
    let now = Instant::now();
    let all = instances(&["suva-a", "suva-b", "nadi-a"], now);
    let mut balancer = balancer();
    assert_eq!(chosen(&balancer, &all, now), "a");
    for _ in 0..all[0].slots {
        balancer.attempt_started(&all[0]);
    }
    assert_eq!(chosen(&balancer, &all, now), "b c");
    balancer.attempt_ended(&all[0]);
    assert_eq!(chosen(&balancer, &all, now), "a");
}

#[test]
fn less_loaded_of_two_gets_the_call() {
    let now = Instant::now();
    let all = instances(&["suva-a", "suva-a"], now);
    let busy = Load {
        running: 9,
        queued: 0,
        slots: 20,
    };
    let check = |age: Duration, want: &str| {
        let mut balancer = balancer();
        balancer.record_load(&all[0], busy, now);
        balancer.attempt_started(&all[1]);
        assert_eq!(chosen(&balancer, &all, now + age), want, "age {age:?}");
    };
    check(Duration::ZERO, "b");
    // A load that is no longer fresh is ignored.
    check(Duration::from_secs(2), "a");
}

#[test]
fn cold_instance_takes_a_growing_part() {
    let start = Instant::now();
    let mut all = instances(&["suva-a", "suva-a"], start);
    all[1].cold_start = Duration::from_secs(10);
    let check = |age: u64, want: [u32; 2]| {
        let now = start + Duration::from_secs(age);
        let mut balancer = balancer();
        let mut counts = [0, 0];
        for draw in 0..22 {
            let Choice::Selected(chosen) = balancer.choose(&all, &[], RandomPair(draw, draw), now)
            else {
                panic!("an instance is free");
            };
            balancer.attempt_started(chosen);
            counts[usize::from(chosen.daemon == "b")] += 1;
        }
        assert_eq!(counts, want, "age {age} s");
    };
    check(0, [20, 2]);
    check(5, [15, 7]);
    check(10, [11, 11]);
}

#[test]
fn ejection_is_capped_and_backs_off() {
    let start = Instant::now();
    let all = instances(&["suva-a"; 4], start);
    let mut balancer = balancer();
    for _ in 0..5 {
        balancer.record_failure(&all[0], &all, Failure::Faulty, start);
    }
    assert_eq!(chosen(&balancer, &all, start), "b c d");
    balancer.record_failure(&all[1], &all, Failure::Unreachable, start);
    balancer.record_failure(&all[2], &all, Failure::Unreachable, start);
    assert_eq!(chosen(&balancer, &all, start), "c d");
    let second = start + Duration::from_secs(1);
    assert_eq!(chosen(&balancer, &all, second), "a b c d");
    balancer.record_failure(&all[0], &all, Failure::Unreachable, second);
    assert_eq!(
        chosen(&balancer, &all, second + Duration::from_millis(1999)),
        "b c d"
    );
    assert_eq!(
        chosen(&balancer, &all, second + Duration::from_secs(2)),
        "a b c d"
    );
}

#[test]
fn silent_peer_is_avoided_and_tried_again_after_a_growing_time() {
    let start = Instant::now();
    let all = instances(&["suva-a"; 2], start);
    let mut balancer = balancer();
    let mut now = start;
    for seconds in [1, 2, 4] {
        balancer.record_failure(&all[0], &all, Failure::Unresponsive, now);
        assert_eq!(chosen(&balancer, &all, now), "b", "{seconds} s");
        assert_eq!(chosen(&balancer, &all[..1], now), "a", "{seconds} s");
        let early = now + Duration::from_millis(seconds * 1000 - 1);
        assert_eq!(chosen(&balancer, &all, early), "b", "{seconds} s");
        now += Duration::from_secs(seconds);
        assert_eq!(chosen(&balancer, &all, now), "a b", "{seconds} s");
    }
    // When all are silent, each is still tried.
    for silent in &all {
        balancer.record_failure(silent, &all, Failure::Unresponsive, now);
    }
    assert_eq!(chosen(&balancer, &all, now), "a b");
    balancer.record_success(&all[0]);
    assert_eq!(chosen(&balancer, &all, now), "a");
}

#[test]
fn leaving_tried_and_absent_instances_get_nothing() {
    let now = Instant::now();
    let mut all = instances(&["suva-a"; 4], now);
    let mut balancer = balancer();
    all[1].phase = EndpointPhase::Leaving;
    balancer.record_refusal(&all[2], &all, NotRunReason::Leaving, now);
    let choice = balancer.choose(&all, &["d".into()], RandomPair(1, 1), now);
    assert_eq!(choice, Choice::Selected(&all[0]));
    let choice = balancer.choose(&all, &["a".into(), "d".into()], RandomPair(1, 1), now);
    assert_eq!(choice, Choice::Unavailable);
    // A restarted daemon is a new one.
    all[2].incarnation = 2;
    let choice = balancer.choose(&all, &["a".into(), "d".into()], RandomPair(1, 1), now);
    assert_eq!(choice, Choice::Selected(&all[2]));
}
