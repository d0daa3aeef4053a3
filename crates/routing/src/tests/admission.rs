//! Tests of admission control (slots, queue, deadlines, drain) and of the probe budget.

use std::time::Instant;

use ledger::TrafficClass;
use protocol::call::NotRunReason;

use super::ms;
use crate::admission::Admission;
use crate::admission::AdmissionConfig;
use crate::admission::AdmissionDecision;
use crate::admission::QueueAction;
use crate::admission::Withdrawal;
use crate::probe::ProbeBudget;
use crate::probe::ProbeDecision;

fn admission(slots: u32, max_queued: usize) -> Admission<u32> {
    Admission::new(AdmissionConfig {
        slots,
        max_queued,
        initial_service_time: ms(10),
        min_retry_after: ms(1),
    })
}

fn reason(offer: AdmissionDecision<u32>) -> Option<NotRunReason> {
    match offer {
        AdmissionDecision::Refused(not_run) => Some(not_run.reason),
        _ => None,
    }
}

#[test]
fn calls_beyond_the_slots_are_queued_and_beyond_the_queue_refused() {
    let now = Instant::now();
    let mut admission = admission(1, 2);
    let mut offer = |key| admission.offer(key, TrafficClass::Page, now + ms(1000), now);
    assert_eq!(offer(1), AdmissionDecision::Run);
    assert_eq!(offer(2), AdmissionDecision::Queued);
    assert_eq!(offer(3), AdmissionDecision::Queued);
    let AdmissionDecision::Refused(not_run) = offer(4) else {
        panic!("the queue is full");
    };
    assert_eq!(not_run.reason, NotRunReason::Overloaded);
    // Two queued calls and one running call are ahead of it, 10 ms each.
    assert_eq!(not_run.retry_after, Some(ms(30)));
    assert_eq!(admission.next_action(now), QueueAction::Idle);
    admission.complete(ms(10));
    assert_eq!(admission.next_action(now), QueueAction::Run(2));
    assert_eq!(admission.next_action(now), QueueAction::Idle);
}

#[test]
fn internal_calls_have_priority_over_pages() {
    let now = Instant::now();
    let late = now + ms(1000);
    let mut admission = admission(1, 2);
    assert_eq!(
        admission.offer(1, TrafficClass::Page, late, now),
        AdmissionDecision::Run
    );
    assert_eq!(
        admission.offer(2, TrafficClass::Page, late, now),
        AdmissionDecision::Queued
    );
    assert_eq!(
        admission.offer(3, TrafficClass::Page, late, now),
        AdmissionDecision::Queued
    );
    let offer = admission.offer(4, TrafficClass::Internal, late, now);
    assert!(
        matches!(offer, AdmissionDecision::QueuedInPlaceOf(3, _)),
        "{offer:?}"
    );
    let offer = admission.offer(5, TrafficClass::Internal, late, now);
    assert!(
        matches!(offer, AdmissionDecision::QueuedInPlaceOf(2, _)),
        "{offer:?}"
    );
    let offer = admission.offer(6, TrafficClass::Internal, late, now);
    assert_eq!(reason(offer), Some(NotRunReason::Overloaded));
    admission.complete(ms(10));
    assert_eq!(admission.next_action(now), QueueAction::Run(4));
}

#[test]
fn calls_that_cannot_be_served_in_time_are_refused() {
    let now = Instant::now();
    let check = |left: u64, waiting: u32, want: Option<NotRunReason>| {
        let mut admission = admission(1, 10);
        for key in 0..=waiting {
            admission.offer(key, TrafficClass::Page, now + ms(1000), now);
        }
        let offer = admission.offer(99, TrafficClass::Page, now + ms(left), now);
        assert_eq!(reason(offer), want, "{left} ms left, {waiting} waiting");
    };
    check(9, 0, Some(NotRunReason::DeadlineTooShort));
    check(19, 0, Some(NotRunReason::Overloaded));
    check(20, 0, None);
    check(20, 3, Some(NotRunReason::Overloaded));
}

#[test]
fn queued_calls_are_refused_at_their_deadline() {
    let now = Instant::now();
    let mut admission = admission(1, 4);
    for (key, left) in [(1, 100), (2, 50), (3, 100)] {
        admission.offer(key, TrafficClass::Page, now + ms(left), now);
    }
    assert_eq!(admission.next_deadline(), Some(now + ms(50)));
    let next = admission.next_action(now + ms(50));
    assert!(matches!(next, QueueAction::Refuse(2, _)), "{next:?}");
    assert_eq!(admission.next_action(now + ms(50)), QueueAction::Idle);
    assert_eq!(admission.withdraw(&3), Withdrawal::Removed);
    assert_eq!(admission.withdraw(&1), Withdrawal::NotQueued);
}

#[test]
fn drain_refuses_new_calls_and_serves_queued_ones() {
    let now = Instant::now();
    let late = now + ms(1000);
    let mut admission = admission(1, 4);
    admission.offer(1, TrafficClass::Page, late, now);
    admission.offer(2, TrafficClass::Page, late, now);
    admission.drain();
    let offer = admission.offer(3, TrafficClass::Internal, late, now);
    assert_eq!(reason(offer), Some(NotRunReason::Leaving));
    admission.complete(ms(10));
    assert_eq!(admission.next_action(now), QueueAction::Run(2));
}

#[test]
fn probe_budget_limits_the_calls_per_window() {
    let start = Instant::now();
    let mut budget = ProbeBudget::new(2, ms(100), start);
    let mut check = |at: u64, want| assert_eq!(budget.try_admit(start + ms(at)), want, "{at} ms");
    check(0, ProbeDecision::Admitted);
    check(10, ProbeDecision::Admitted);
    check(20, ProbeDecision::Exhausted(ms(80)));
    check(100, ProbeDecision::Admitted);
}
