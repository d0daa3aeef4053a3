//! Replays of fleets with unlike instances.

use std::time::Duration;
use std::time::Instant;

use protocol::call::Load;

use crate::balancer::Balancer;
use crate::balancer::BalancerCfg;
use crate::balancer::Observation;
use crate::balancer::RandomPair;
use crate::directory::Entry;
use crate::health::Alarm;
use crate::health::Health;
use crate::wire::InstanceInfo;
use crate::wire::Member;

fn entry(daemon: &str, zone: &str, cold_left: Duration, now: Instant) -> Entry {
    Entry {
        member: Member {
            daemon: daemon.into(),
            incarnation: 1,
            revision: 1,
            address: ([10, 0, 0, 1], 1).into(),
            zone: zone.into(),
            instance: Some(InstanceInfo {
                id: daemon.into(),
                born: 1,
                service: "bookings".into(),
                version: "v1".into(),
                slots: 10,
                cold_left,
            }),
            is_open: true,
        },
        received_at: now,
    }
}

fn load(running: u32) -> Load {
    Load {
        running,
        queued: 0,
        slots: 10,
    }
}

fn balancer() -> Balancer {
    Balancer::new(BalancerCfg::default(), "suva-a".into())
}

fn chosen(
    balancer: &Balancer,
    entries: &[&Entry],
    random_pair: (u64, u64),
    now: Instant,
) -> String {
    let choice = balancer.choose(entries, RandomPair(random_pair.0, random_pair.1), true, now);
    choice
        .expect("there are candidates")
        .member
        .daemon
        .to_string()
}

#[test]
fn the_own_zone_comes_first_while_it_has_room() {
    let now = Instant::now();
    let near = entry("near", "suva-a", Duration::ZERO, now);
    let far = entry("far", "nadi-a", Duration::ZERO, now);
    let mut balancer = balancer();
    assert_eq!(chosen(&balancer, &[&near, &far], (1, 1), now), "near");
    balancer.record_load(&near, load(7), 0, now);
    assert_eq!(chosen(&balancer, &[&near, &far], (1, 1), now), "near");
    balancer.record_load(&near, load(10), 0, now);
    assert_eq!(chosen(&balancer, &[&near, &far], (1, 1), now), "far");
    // Where all are as full, the way between zones is saved.
    balancer.record_load(&far, load(10), 0, now);
    assert_eq!(chosen(&balancer, &[&near, &far], (1, 1), now), "near");
}

#[test]
fn requests_sent_since_the_load_was_told_count() {
    let now = Instant::now();
    let one = entry("one", "nadi-a", Duration::ZERO, now);
    let other = entry("other", "nadi-a", Duration::ZERO, now);
    let mut balancer = balancer();
    balancer.record_load(&one, load(0), 0, now);
    balancer.record_load(&other, load(3), 0, now);
    for _ in 0..5 {
        balancer.attempt_started(&one);
    }
    assert_eq!(chosen(&balancer, &[&one, &other], (0, 1), now), "other");
}

#[test]
fn slow_cold_and_failing_instances_get_less() {
    let now = Instant::now();
    let usual = entry("usual", "nadi-a", Duration::ZERO, now);
    let check = |odd: Entry, findings: &[Observation]| {
        let mut balancer = balancer();
        for _ in 0..30 {
            for observation in findings {
                balancer.attempt_started(&odd);
                balancer.attempt_ended(&odd, &"route".into(), *observation, now);
            }
            balancer.attempt_started(&usual);
            let good = Observation::Success(Duration::from_millis(50));
            balancer.attempt_ended(&usual, &"route".into(), good, now);
        }
        assert!(balancer.utilization(&odd, now) > 1.5 * balancer.utilization(&usual, now));
    };
    let odd = || entry("odd", "nadi-a", Duration::ZERO, now);
    check(odd(), &[Observation::Success(Duration::from_millis(250))]);
    check(odd(), &[Observation::Failed]);
    let cold = entry("odd", "nadi-a", Duration::from_secs(3), now);
    check(cold, &[Observation::Success(Duration::from_millis(50))]);
}

#[test]
fn an_unreachable_instance_comes_last_until_it_is_heard() {
    let now = Instant::now();
    let gone = entry("gone", "suva-a", Duration::ZERO, now);
    let far = entry("far", "nadi-a", Duration::ZERO, now);
    let mut balancer = balancer();
    balancer.attempt_started(&gone);
    balancer.attempt_ended(&gone, &"route".into(), Observation::Unreachable, now);
    assert_eq!(chosen(&balancer, &[&gone, &far], (0, 0), now), "far");
    assert_eq!(chosen(&balancer, &[&gone], (0, 0), now), "gone");
    let refused = balancer.choose(&[&gone], RandomPair(0, 0), false, now);
    assert!(refused.is_none());
    balancer.mark_reachable("gone");
    assert_eq!(chosen(&balancer, &[&gone, &far], (0, 0), now), "gone");
}

/// A service of five instances, one of which fails all of its requests at once; twelve callers send
/// sixty requests a second in turn.
#[test]
fn a_failing_instance_is_known_to_all_callers_from_the_first_failures() {
    let start = Instant::now();
    let entries: Vec<Entry> = (0..5)
        .map(|index| entry(&format!("i{index}"), "nadi-a", Duration::ZERO, start))
        .collect();
    let candidates: Vec<&Entry> = entries.iter().collect();
    let mut callers: Vec<Balancer> = (0..12).map(|_| balancer()).collect();
    let mut health = [(); 5].map(|()| Health::default());
    let mut alarm = Alarm::default();
    let mut failed = 0;
    let mut random = 1_u64;
    for request in 0..300_u32 {
        let now = start + request * Duration::from_millis(16);
        let number = usize::try_from(request % 12).unwrap();
        let caller = &mut callers[number];
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let random_pair = RandomPair(random >> 33, random >> 13);
        let chosen = caller.choose(&candidates, random_pair, true, now).unwrap();
        let index = entries
            .iter()
            .position(|entry| entry.member.daemon == chosen.member.daemon)
            .unwrap();
        let is_failure = index == 0;
        health[index].record(is_failure, now);
        caller.attempt_started(chosen);
        // A failing instance is always idle.
        let running = if is_failure { 0 } else { 5 };
        let failures = health[index].failures_permille(now);
        caller.record_load(chosen, load(running), failures, now);
        if is_failure && alarm.should_notify(failures) {
            for caller in &mut callers {
                caller.record_load(chosen, load(running), failures, now);
            }
        }
        let caller = &mut callers[number];
        let observation = if is_failure {
            failed += 1;
            Observation::Failed
        } else {
            Observation::Success(Duration::from_millis(90))
        };
        caller.attempt_ended(chosen, &"route".into(), observation, now);
    }
    // Fewer than one for each caller.
    assert!(failed < callers.len(), "{failed} of 300 failed");
}
