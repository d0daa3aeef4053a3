//! Tests of the load balancer.

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

/// Counts how often each instance is chosen over all pairs of random numbers.
fn choice_counts(balancer: &Balancer, all: &[Endpoint], now: Instant) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for draws in (0..12).flat_map(|one| (0..12).map(move |other| RandomPair(one, other))) {
        if let Choice::Selected(chosen) = balancer.choose(all, &[], draws, now) {
            *counts.entry(chosen.daemon.to_string()).or_default() += 1;
        }
    }
    counts
}

fn chosen_names(balancer: &Balancer, all: &[Endpoint], now: Instant) -> String {
    let counts = choice_counts(balancer, all, now);
    counts.into_keys().collect::<Vec<_>>().join(" ")
}

#[test]
fn own_zone_is_preferred_until_it_is_full() {
    let now = Instant::now();
    let all = instances(&["suva-a", "suva-b", "nadi-a"], now);
    let mut balancer = balancer();
    assert_eq!(chosen_names(&balancer, &all, now), "a");
    for _ in 0..all[0].slots {
        balancer.attempt_started(&all[0]);
    }
    assert_eq!(chosen_names(&balancer, &all, now), "b c");
    balancer.attempt_ended(&all[0]);
    assert_eq!(chosen_names(&balancer, &all, now), "a");
}

#[test]
fn less_loaded_of_two_instances_is_chosen() {
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
        assert_eq!(
            chosen_names(&balancer, &all, now + age),
            want,
            "age {age:?}"
        );
    };
    check(Duration::ZERO, "b");
    // A load older than `load_max_age` is ignored.
    check(Duration::from_secs(2), "a");
}

#[test]
fn cold_instance_gets_a_growing_share() {
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
        balancer.record_failure(&all[0], &all, Failure::Error, start);
    }
    assert_eq!(chosen_names(&balancer, &all, start), "b c d");
    balancer.record_failure(&all[1], &all, Failure::Unreachable, start);
    balancer.record_failure(&all[2], &all, Failure::Unreachable, start);
    assert_eq!(chosen_names(&balancer, &all, start), "c d");
    let second = start + Duration::from_secs(1);
    assert_eq!(chosen_names(&balancer, &all, second), "a b c d");
    balancer.record_failure(&all[0], &all, Failure::Unreachable, second);
    assert_eq!(
        chosen_names(&balancer, &all, second + Duration::from_millis(1999)),
        "b c d"
    );
    assert_eq!(
        chosen_names(&balancer, &all, second + Duration::from_secs(2)),
        "a b c d"
    );
}

#[test]
fn unresponsive_instance_is_ejected_with_growing_back_off() {
    let start = Instant::now();
    let all = instances(&["suva-a"; 2], start);
    let mut balancer = balancer();
    let mut now = start;
    for seconds in [1, 2, 4] {
        balancer.record_failure(&all[0], &all, Failure::Unresponsive, now);
        assert_eq!(chosen_names(&balancer, &all, now), "b", "{seconds} s");
        assert_eq!(chosen_names(&balancer, &all[..1], now), "a", "{seconds} s");
        let early = now + Duration::from_millis(seconds * 1000 - 1);
        assert_eq!(chosen_names(&balancer, &all, early), "b", "{seconds} s");
        now += Duration::from_secs(seconds);
        assert_eq!(chosen_names(&balancer, &all, now), "a b", "{seconds} s");
    }
    // If all instances are unresponsive, each of them is still tried.
    for unresponsive in &all {
        balancer.record_failure(unresponsive, &all, Failure::Unresponsive, now);
    }
    assert_eq!(chosen_names(&balancer, &all, now), "a b");
    balancer.record_success(&all[0]);
    assert_eq!(chosen_names(&balancer, &all, now), "a");
}

#[test]
fn leaving_and_tried_instances_get_no_calls() {
    let now = Instant::now();
    let mut all = instances(&["suva-a"; 4], now);
    let mut balancer = balancer();
    all[1].phase = EndpointPhase::Leaving;
    balancer.record_refusal(&all[2], &all, NotRunReason::Leaving, now);
    let choice = balancer.choose(&all, &["d".into()], RandomPair(1, 1), now);
    assert_eq!(choice, Choice::Selected(&all[0]));
    let choice = balancer.choose(&all, &["a".into(), "d".into()], RandomPair(1, 1), now);
    assert_eq!(choice, Choice::Unavailable);
    // The refusal applied to the previous incarnation of the daemon only.
    all[2].incarnation = 2;
    let choice = balancer.choose(&all, &["a".into(), "d".into()], RandomPair(1, 1), now);
    assert_eq!(choice, Choice::Selected(&all[2]));
}
