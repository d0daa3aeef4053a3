//! Replays of fleets with unlike instances.

use std::time::Duration;
use std::time::Instant;

use protocol::call::Load;

use crate::directory::Entry;
use crate::health::Alarm;
use crate::health::Health;
use crate::placing::Draws;
use crate::placing::Finding;
use crate::placing::Placer;
use crate::placing::PlacingCfg;
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
        since: now,
    }
}

fn load(running: u32) -> Load {
    Load {
        running,
        queued: 0,
        slots: 10,
    }
}

fn placer() -> Placer {
    Placer::new(PlacingCfg::default(), "suva-a".into())
}

fn chosen(placer: &Placer, entries: &[&Entry], draws: (u64, u64), now: Instant) -> String {
    let choice = placer.choose(entries, Draws(draws.0, draws.1), true, now);
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
    let mut placer = placer();
    assert_eq!(chosen(&placer, &[&near, &far], (1, 1), now), "near");
    placer.told(&near, load(7), 0, now);
    assert_eq!(chosen(&placer, &[&near, &far], (1, 1), now), "near");
    placer.told(&near, load(10), 0, now);
    assert_eq!(chosen(&placer, &[&near, &far], (1, 1), now), "far");
    // Where all are as full, the way between zones is saved.
    placer.told(&far, load(10), 0, now);
    assert_eq!(chosen(&placer, &[&near, &far], (1, 1), now), "near");
}

#[test]
fn requests_sent_since_the_load_was_told_count() {
    let now = Instant::now();
    let one = entry("one", "nadi-a", Duration::ZERO, now);
    let other = entry("other", "nadi-a", Duration::ZERO, now);
    let mut placer = placer();
    placer.told(&one, load(0), 0, now);
    placer.told(&other, load(3), 0, now);
    for _ in 0..5 {
        placer.started(&one);
    }
    assert_eq!(chosen(&placer, &[&one, &other], (0, 1), now), "other");
}

#[test]
fn slow_cold_and_failing_instances_get_less() {
    let now = Instant::now();
    let usual = entry("usual", "nadi-a", Duration::ZERO, now);
    let check = |odd: Entry, findings: &[Finding]| {
        let mut placer = placer();
        for _ in 0..30 {
            for finding in findings {
                placer.started(&odd);
                placer.ended(&odd, &"route".into(), *finding, now);
            }
            placer.started(&usual);
            let good = Finding::Good(Duration::from_millis(50));
            placer.ended(&usual, &"route".into(), good, now);
        }
        assert!(placer.taken(&odd, now) > 1.5 * placer.taken(&usual, now));
    };
    let odd = || entry("odd", "nadi-a", Duration::ZERO, now);
    check(odd(), &[Finding::Good(Duration::from_millis(250))]);
    check(odd(), &[Finding::Failed]);
    let cold = entry("odd", "nadi-a", Duration::from_secs(3), now);
    check(cold, &[Finding::Good(Duration::from_millis(50))]);
}

#[test]
fn an_unreachable_instance_comes_last_until_it_is_heard() {
    let now = Instant::now();
    let gone = entry("gone", "suva-a", Duration::ZERO, now);
    let far = entry("far", "nadi-a", Duration::ZERO, now);
    let mut placer = placer();
    placer.started(&gone);
    placer.ended(&gone, &"route".into(), Finding::Unreachable, now);
    assert_eq!(chosen(&placer, &[&gone, &far], (0, 0), now), "far");
    assert_eq!(chosen(&placer, &[&gone], (0, 0), now), "gone");
    let refused = placer.choose(&[&gone], Draws(0, 0), false, now);
    assert!(refused.is_none());
    placer.heard("gone");
    assert_eq!(chosen(&placer, &[&gone, &far], (0, 0), now), "gone");
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
    let mut callers: Vec<Placer> = (0..12).map(|_| placer()).collect();
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
        let draws = Draws(random >> 33, random >> 13);
        let chosen = caller.choose(&candidates, draws, true, now).unwrap();
        let index = entries
            .iter()
            .position(|entry| entry.member.daemon == chosen.member.daemon)
            .unwrap();
        let is_failure = index == 0;
        health[index].count(is_failure, now);
        caller.started(chosen);
        // A failing instance is always idle.
        let running = if is_failure { 0 } else { 5 };
        let failures = health[index].failures_permille(now);
        caller.told(chosen, load(running), failures, now);
        if is_failure && alarm.is_due(failures) {
            for caller in &mut callers {
                caller.told(chosen, load(running), failures, now);
            }
        }
        let caller = &mut callers[number];
        let finding = if is_failure {
            failed += 1;
            Finding::Failed
        } else {
            Finding::Good(Duration::from_millis(90))
        };
        caller.ended(chosen, &"route".into(), finding, now);
    }
    // Fewer than one for each caller.
    assert!(failed < callers.len(), "{failed} of 300 failed");
}
