//! A machine that freezes at any moment of a request's way, for any time.

use std::time::Duration;
use std::time::Instant;

use crate::admission::AdmissionCfg;
use crate::admission::AdmissionController;
use crate::admission::AdmissionDecision;
use crate::admission::AdmissionRequest;
use crate::admission::QueueAction;
use crate::wake::WakeDetector;

const TICK_MS: u64 = 50;
const STEP_MS: u64 = 10;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_gap_between_ticks_is_reported_once() {
    let mut detector = WakeDetector::new(ms(0));
    assert_eq!(detector.tick(ms(50)), None);
    assert_eq!(detector.tick(ms(400)), None);
    assert_eq!(detector.tick(ms(3400)), Some(ms(3000)));
    assert_eq!(detector.tick(ms(3450)), None);
}

#[test]
fn requests_that_are_read_after_a_wake_may_be_old() {
    let mut detector = WakeDetector::new(ms(0));
    assert_eq!(detector.observe(ms(40)), Duration::ZERO);
    // Read before the tick that follows the wake, and soon after it.
    assert_eq!(detector.observe(ms(5000)), ms(5000));
    assert_eq!(detector.tick(ms(5010)), Some(ms(5000)));
    assert_eq!(detector.observe(ms(5100)), ms(5000));
    assert_eq!(detector.tick(ms(5060)), None);
    assert_eq!(detector.observe(ms(5250)), Duration::ZERO);
}

/// The daemon beside an instance with one slot. `now` is its monotonic clock, which does not count
/// the time of a suspended machine.
struct Gate {
    admission: AdmissionController<u32>,
    detector: WakeDetector,
    /// Requests in the socket, with the time left when they were sent.
    unread: Vec<(u32, u64)>,
    started: Vec<u32>,
}

impl Gate {
    fn new() -> Self {
        let cfg = AdmissionCfg {
            slots: 1,
            max_queued: 8,
            min_retry_after: ms(50),
            max_retry_after: ms(500),
        };
        Self {
            admission: AdmissionController::new(cfg),
            detector: WakeDetector::new(ms(0)),
            unread: Vec::new(),
            started: Vec::new(),
        }
    }

    fn step(&mut self, now: Instant, boot: Duration, is_tick: bool) {
        for (key, left_ms) in std::mem::take(&mut self.unread) {
            let waited = self.detector.observe(boot);
            let left = ms(left_ms).saturating_sub(waited);
            let request = AdmissionRequest {
                key,
                route: "book".into(),
                rank: 1,
                full_value_until: now + left,
                deadline: now + left,
                expected_service_time: ms(100),
            };
            if self.admission.offer(request, now) == AdmissionDecision::Run {
                self.started.push(key);
            }
        }
        if is_tick && self.detector.tick(boot).is_some() {
            self.admission
                .refuse_waiting(protocol::call::NotRunReason::GivenUp, now);
        }
        while let QueueAction::Run(key) = self.admission.next(now) {
            // The decision may have been taken before the machine stood still.
            if self.detector.observe(boot).is_zero() {
                self.started.push(key);
            } else {
                self.admission.released();
            }
        }
    }
}

/// Every moment of a freeze of every length: no request starts after its client has given up.
#[test]
fn no_request_starts_after_its_deadline() {
    let left_ms = 600;
    for is_suspended in [false, true] {
        for freeze_at in (0..1200).step_by(10) {
            for freeze_ms in [100, 300, 700, 1500, 5000] {
                let start = Instant::now();
                let mut gate = Gate::new();
                let (mut boot_ms, mut stood_still) = (0, 0);
                let mut sent_at = Vec::new();
                let mut next_tick = TICK_MS;
                while boot_ms < 8000 {
                    let is_sent = |at: u64| (boot_ms..boot_ms + STEP_MS).contains(&at);
                    for (key, at) in [(0, 100), (1, 150), (2, 500)] {
                        if is_sent(at) {
                            gate.unread.push((key, left_ms));
                            sent_at.push((key, at));
                        }
                    }
                    let is_frozen = (freeze_at..freeze_at + freeze_ms).contains(&boot_ms);
                    if is_frozen {
                        stood_still += STEP_MS;
                    } else {
                        let lost = if is_suspended { stood_still } else { 0 };
                        let now = start + ms(boot_ms - lost);
                        let before = gate.started.len();
                        let is_tick = boot_ms >= next_tick;
                        gate.step(now, ms(boot_ms), is_tick);
                        if is_tick {
                            next_tick = boot_ms + TICK_MS;
                        }
                        for key in &gate.started[before..] {
                            let at = sent_at.iter().find(|sent| sent.0 == *key).unwrap().1;
                            let age = boot_ms - at;
                            // A shorter freeze than the detector knows delays a request by its length.
                            let tolerated = left_ms + 500;
                            assert!(
                                age <= tolerated,
                                "{key} started {age} ms old: freeze of {freeze_ms} at {freeze_at}"
                            );
                        }
                        if is_tick && gate.started.len() > before {
                            gate.admission.released();
                        }
                    }
                    boot_ms += STEP_MS;
                }
            }
        }
    }
}
