//! Replays of loads that ask for more than the slots serve.

use std::time::Duration;
use std::time::Instant;

use protocol::call::NotRunReason;

use crate::admission::AdmissionCfg;
use crate::admission::AdmissionController;
use crate::admission::AdmissionDecision;
use crate::admission::AdmissionRequest;
use crate::admission::QueueAction;
use crate::config::Rank;

const CFG: AdmissionCfg = AdmissionCfg {
    slots: 2,
    max_queued: 4,
    initial_service_time: Duration::from_millis(100),
    min_retry_after: Duration::from_millis(50),
    max_retry_after: Duration::from_millis(500),
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ask(
    key: u32,
    route: &str,
    rank: Rank,
    full_value: u64,
    deadline: u64,
    now: Instant,
) -> AdmissionRequest<u32> {
    AdmissionRequest {
        key,
        route: route.into(),
        rank,
        full_value_until: now + ms(full_value),
        deadline: now + ms(deadline),
    }
}

/// A gate that knows pages of 100 ms and calls of 20 ms, with every slot taken.
fn busy(now: Instant) -> AdmissionController<u32> {
    let mut gate = AdmissionController::new(CFG);
    for _ in 0..200 {
        for (route, took) in [("page", 100), ("call", 20)] {
            assert_eq!(
                gate.offer(ask(0, route, 1, 900, 900, now), now),
                AdmissionDecision::Run
            );
            gate.finished(&route.into(), ms(took));
        }
    }
    for _ in 0..CFG.slots {
        assert_eq!(
            gate.offer(ask(0, "page", 1, 900, 900, now), now),
            AdmissionDecision::Run
        );
    }
    gate
}

fn ended(gate: &mut AdmissionController<u32>, now: Instant) -> QueueAction<u32> {
    gate.released();
    gate.next(now)
}

#[test]
fn calls_of_running_requests_overtake_pages_of_the_same_rank() {
    let now = Instant::now();
    let mut gate = busy(now);
    assert_eq!(
        gate.offer(ask(1, "page", 1, 800, 900, now), now),
        AdmissionDecision::Queued
    );
    assert_eq!(
        gate.offer(ask(2, "call", 1, 100, 250, now), now),
        AdmissionDecision::Queued
    );
    assert_eq!(ended(&mut gate, now), QueueAction::Run(2));
    assert_eq!(ended(&mut gate, now), QueueAction::Run(1));
}

#[test]
fn a_short_call_waits_beyond_its_full_value_and_a_page_does_not() {
    let now = Instant::now();
    let mut gate = busy(now);
    for key in 1..=2 {
        let offer = gate.offer(ask(key, "call", 1, 100, 250, now), now);
        assert_eq!(offer, AdmissionDecision::Queued);
    }
    // Two calls ahead, about 90 ms of waiting and 20 ms of work.
    assert_eq!(
        gate.offer(ask(3, "call", 1, 100, 250, now), now),
        AdmissionDecision::Queued
    );
    let offer = gate.offer(ask(4, "page", 1, 150, 900, now), now);
    assert!(
        matches!(offer, AdmissionDecision::Refused(not_run) if not_run.reason == NotRunReason::Overloaded)
    );
}

#[test]
fn the_more_urgent_rank_takes_the_place_of_the_less_urgent() {
    let now = Instant::now();
    let mut gate = busy(now);
    for key in 1..=4 {
        let offer = gate.offer(ask(key, "page", 2, 5000, 5000, now), now);
        assert_eq!(offer, AdmissionDecision::Queued);
    }
    let offer = gate.offer(ask(5, "page", 0, 5000, 5000, now), now);
    assert!(
        matches!(offer, AdmissionDecision::QueuedInPlaceOf(4, _)),
        "{offer:?}"
    );
    assert_eq!(ended(&mut gate, now), QueueAction::Run(5));
}

#[test]
fn what_cannot_be_served_any_more_is_refused_before_its_deadline() {
    let now = Instant::now();
    let mut gate = busy(now);
    assert_eq!(
        gate.offer(ask(1, "page", 1, 300, 300, now), now),
        AdmissionDecision::Queued
    );
    let later = now + ms(240);
    assert!(matches!(gate.next(later), QueueAction::Refuse(1, _)));
}

#[test]
fn a_page_that_is_late_gives_way_to_one_that_is_not() {
    let now = Instant::now();
    let mut gate = busy(now);
    let late = ask(1, "page", 1, 250, 2000, now);
    assert_eq!(gate.offer(late, now), AdmissionDecision::Queued);
    let later = now + ms(200);
    // Alone it is served late, which is better than not at all.
    assert_eq!(gate.next(later), QueueAction::Idle);
    let fresh = ask(2, "page", 1, 800, 2000, later);
    assert_eq!(gate.offer(fresh, later), AdmissionDecision::Queued);
    assert!(matches!(gate.next(later), QueueAction::Refuse(1, _)));
    assert_eq!(ended(&mut gate, later), QueueAction::Run(2));
}

#[test]
fn waits_that_were_longer_than_expected_make_the_gate_refuse_earlier() {
    let mut now = Instant::now();
    let mut gate = busy(now);
    let accepts = |gate: &mut AdmissionController<u32>, now: Instant| {
        let offer = gate.offer(ask(1, "page", 1, 200, 2000, now), now);
        gate.withdraw(&1);
        offer == AdmissionDecision::Queued
    };
    assert!(accepts(&mut gate, now));
    for key in 10..60 {
        gate.offer(ask(key, "page", 1, 5000, 5000, now), now);
        now += ms(400);
        assert_eq!(ended(&mut gate, now), QueueAction::Run(key));
    }
    assert!(!accepts(&mut gate, now));
}

#[test]
fn a_burst_is_told_to_come_back_within_bounds() {
    let now = Instant::now();
    let mut gate = busy(now);
    let mut refused = 0;
    for key in 1..=100 {
        if let AdmissionDecision::Refused(not_run) =
            gate.offer(ask(key, "page", 1, 300, 1200, now), now)
        {
            let after = not_run
                .retry_after
                .expect("a refusal tells when to come back");
            assert!((CFG.min_retry_after..=CFG.max_retry_after).contains(&after));
            refused += 1;
        }
    }
    assert!(refused >= 96, "{refused} refused");
}

#[test]
fn slots_are_never_passed_and_withdrawn_requests_never_start() {
    quickcheck::quickcheck(keeps_slots as fn(Vec<(u8, u8)>) -> bool);
}

fn keeps_slots(events: Vec<(u8, u8)>) -> bool {
    let now = Instant::now();
    let mut gate: AdmissionController<u32> = AdmissionController::new(CFG);
    let (mut running, mut withdrawn) = (0_u32, Vec::new());
    for (key, (event, rank)) in (0_u32..).zip(events) {
        match event % 3 {
            0 => {
                let offer = gate.offer(ask(key, "page", rank % 3, 5000, 5000, now), now);
                running += u32::from(offer == AdmissionDecision::Run);
            }
            1 if running > 0 => {
                running -= 1;
                gate.released();
            }
            _ => {
                let key = key.saturating_sub(u32::from(rank));
                if gate.withdraw(&key) {
                    withdrawn.push(key);
                }
            }
        }
        while let QueueAction::Run(key) = gate.next(now) {
            running += 1;
            if withdrawn.contains(&key) {
                return false;
            }
        }
        if running > CFG.slots || gate.load().running != running {
            return false;
        }
    }
    true
}
