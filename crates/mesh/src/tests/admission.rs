//! Overload: more requests than the slots of the instance serve.

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
    min_retry_after: Duration::from_millis(50),
    max_retry_after: Duration::from_millis(500),
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn request(
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
        expected_service_time: ms(100),
    }
}

/// A controller with all slots in use that has recorded pages of 100 ms and calls of 20 ms.
fn controller_without_free_slots(now: Instant) -> AdmissionController<u32> {
    let mut controller = AdmissionController::new(CFG);
    for _ in 0..200 {
        for (route, service_time_ms) in [("page", 100), ("call", 20)] {
            assert_eq!(
                controller.offer(request(0, route, 1, 900, 900, now), now),
                AdmissionDecision::Run
            );
            controller.finished(&route.into(), ms(service_time_ms));
        }
    }
    for _ in 0..CFG.slots {
        assert_eq!(
            controller.offer(request(0, "page", 1, 900, 900, now), now),
            AdmissionDecision::Run
        );
    }
    controller
}

fn release_and_next(controller: &mut AdmissionController<u32>, now: Instant) -> QueueAction<u32> {
    controller.released();
    controller.next(now)
}

#[test]
fn short_requests_overtake_long_ones_of_the_same_rank() {
    let now = Instant::now();
    let mut controller = controller_without_free_slots(now);
    assert_eq!(
        controller.offer(request(1, "page", 1, 800, 900, now), now),
        AdmissionDecision::Queued
    );
    assert_eq!(
        controller.offer(request(2, "call", 1, 100, 250, now), now),
        AdmissionDecision::Queued
    );
    assert_eq!(release_and_next(&mut controller, now), QueueAction::Run(2));
    assert_eq!(release_and_next(&mut controller, now), QueueAction::Run(1));
}

#[test]
fn short_requests_may_wait_past_full_value_and_long_ones_may_not() {
    let now = Instant::now();
    let mut controller = controller_without_free_slots(now);
    for key in 1..=2 {
        let offer = controller.offer(request(key, "call", 1, 100, 250, now), now);
        assert_eq!(offer, AdmissionDecision::Queued);
    }
    // Behind two calls: about 90 ms of waiting and 20 ms of service time.
    assert_eq!(
        controller.offer(request(3, "call", 1, 100, 250, now), now),
        AdmissionDecision::Queued
    );
    let offer = controller.offer(request(4, "page", 1, 150, 900, now), now);
    assert!(
        matches!(offer, AdmissionDecision::Refused(not_run) if not_run.reason == NotRunReason::Overloaded)
    );
}

#[test]
fn urgent_request_displaces_less_urgent_one_in_full_queue() {
    let now = Instant::now();
    let mut controller = controller_without_free_slots(now);
    for key in 1..=4 {
        let offer = controller.offer(request(key, "page", 2, 5000, 5000, now), now);
        assert_eq!(offer, AdmissionDecision::Queued);
    }
    let offer = controller.offer(request(5, "page", 0, 5000, 5000, now), now);
    assert!(
        matches!(offer, AdmissionDecision::QueuedInPlaceOf(4, _)),
        "{offer:?}"
    );
    assert_eq!(release_and_next(&mut controller, now), QueueAction::Run(5));
}

#[test]
fn request_that_would_miss_its_deadline_is_refused_early() {
    let now = Instant::now();
    let mut controller = controller_without_free_slots(now);
    assert_eq!(
        controller.offer(request(1, "page", 1, 300, 300, now), now),
        AdmissionDecision::Queued
    );
    let later = now + ms(240);
    assert!(matches!(controller.next(later), QueueAction::Refuse(1, _)));
}

#[test]
fn late_request_is_refused_when_another_can_be_in_time() {
    let now = Instant::now();
    let mut controller = controller_without_free_slots(now);
    let late = request(1, "page", 1, 250, 2000, now);
    assert_eq!(controller.offer(late, now), AdmissionDecision::Queued);
    let later = now + ms(200);
    // Without a competing request it is served late instead of refused.
    assert_eq!(controller.next(later), QueueAction::Idle);
    let fresh = request(2, "page", 1, 800, 2000, later);
    assert_eq!(controller.offer(fresh, later), AdmissionDecision::Queued);
    assert!(matches!(controller.next(later), QueueAction::Refuse(1, _)));
    assert_eq!(
        release_and_next(&mut controller, later),
        QueueAction::Run(2)
    );
}

#[test]
fn waits_longer_than_expected_cause_earlier_refusals() {
    let mut now = Instant::now();
    let mut controller = controller_without_free_slots(now);
    let accepts = |controller: &mut AdmissionController<u32>, now: Instant| {
        let offer = controller.offer(request(1, "page", 1, 200, 2000, now), now);
        controller.withdraw(&1);
        offer == AdmissionDecision::Queued
    };
    assert!(accepts(&mut controller, now));
    for key in 10..60 {
        controller.offer(request(key, "page", 1, 5000, 5000, now), now);
        now += ms(400);
        assert_eq!(
            release_and_next(&mut controller, now),
            QueueAction::Run(key)
        );
    }
    assert!(!accepts(&mut controller, now));
}

#[test]
fn retry_after_of_a_refused_burst_is_within_bounds() {
    let now = Instant::now();
    let mut controller = controller_without_free_slots(now);
    let mut refused = 0;
    for key in 1..=100 {
        if let AdmissionDecision::Refused(not_run) =
            controller.offer(request(key, "page", 1, 300, 1200, now), now)
        {
            let after = not_run.retry_after.expect("a refusal has a retry-after");
            assert!((CFG.min_retry_after..=CFG.max_retry_after).contains(&after));
            refused += 1;
        }
    }
    assert!(refused >= 96, "{refused} refused");
}

#[test]
fn slots_are_never_exceeded_and_withdrawn_requests_never_start() {
    quickcheck::quickcheck(respects_slots as fn(Vec<(u8, u8)>) -> bool);
}

fn respects_slots(events: Vec<(u8, u8)>) -> bool {
    let now = Instant::now();
    let mut controller: AdmissionController<u32> = AdmissionController::new(CFG);
    let (mut running, mut withdrawn) = (0_u32, Vec::new());
    for (key, (event, rank)) in (0_u32..).zip(events) {
        match event % 3 {
            0 => {
                let offer = controller.offer(request(key, "page", rank % 3, 5000, 5000, now), now);
                running += u32::from(offer == AdmissionDecision::Run);
            }
            1 if running > 0 => {
                running -= 1;
                controller.released();
            }
            _ => {
                let key = key.saturating_sub(u32::from(rank));
                if controller.withdraw(&key) {
                    withdrawn.push(key);
                }
            }
        }
        while let QueueAction::Run(key) = controller.next(now) {
            running += 1;
            if withdrawn.contains(&key) {
                return false;
            }
        }
        if running > CFG.slots || controller.load().running != running {
            return false;
        }
    }
    true
}

/// All clients return to an instance that has just started, which serves 300 ms each: what starts
/// late is refused at once instead of queued behind requests of an assumed short time.
#[test]
fn a_started_instance_queues_only_what_it_can_answer_in_time() {
    let check = |expected_ms, most_queued: usize| {
        let now = Instant::now();
        let cfg = AdmissionCfg {
            slots: 13,
            max_queued: 128,
            ..CFG
        };
        let mut controller = AdmissionController::new(cfg);
        let mut queued = 0;
        for key in 0..300 {
            let request = AdmissionRequest {
                expected_service_time: ms(expected_ms),
                ..request(key, "page", 1, 600, 1200, now)
            };
            if controller.offer(request, now) == AdmissionDecision::Queued {
                queued += 1;
            }
        }
        assert!(queued <= most_queued, "{queued} queued");
    };
    check(300, 13);
    // The former assumption, with which ten times as many queue as can be answered in time.
    check(50, 128);
}
