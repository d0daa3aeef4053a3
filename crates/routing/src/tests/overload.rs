//! Simulation of overload and failing instances: goodput and extra attempts.
//!
//! Guards against retries that amplify an overload, and against instances that fail fast and
//! attract calls because they look idle.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use ledger::Idempotency;
use ledger::TrafficClass;
use protocol::call::NotRun;
use protocol::call::NotRunReason;

use super::endpoint;
use super::ms;
use crate::admission::Admission;
use crate::admission::AdmissionConfig;
use crate::admission::AdmissionDecision;
use crate::admission::QueueAction;
use crate::attempts::Action;
use crate::attempts::AttemptIndex;
use crate::attempts::CallPlan;
use crate::attempts::CallStateMachine;
use crate::attempts::Event;
use crate::attempts::FinalOutcome;
use crate::attempts::Reply;
use crate::balancer::Balancer;
use crate::balancer::BalancerConfig;
use crate::balancer::Choice;
use crate::balancer::Failure;
use crate::balancer::RandomPair;
use crate::budget::RetryBudget;
use crate::budget::RetryBudgetConfig;
use crate::endpoint::Endpoint;

const INSTANCES: usize = 4;
const SLOTS: u32 = 20;
const MAX_QUEUED: usize = 32;
const SERVICE_TIME: Duration = ms(10);
const TIMEOUT: Duration = ms(100);
const SIM_DURATION: Duration = Duration::from_secs(4);

/// Calls that all slots together can serve within `SIM_DURATION`.
const CAPACITY: u32 = 32_000;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    call: usize,
    attempt: AttemptIndex,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrival,
    ServiceEnded(usize, Key),
}

/// Fault of the first instances, with the number of instances affected; the others serve normally.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    Refuse(usize),
    Disconnect(usize),
}

#[derive(Debug, Default, PartialEq)]
struct Counts {
    calls: u32,
    attempts: u32,
    answered_in_time: u32,
    answered_late: u32,
    refused: u32,
    unknown: u32,
}

struct Simulation {
    now: Instant,
    random: u64,
    fault: Fault,
    queue: BinaryHeap<Reverse<(Instant, SimEvent)>>,
    endpoints: Vec<Endpoint>,
    admissions: Vec<Admission<Key>>,
    balancer: Balancer,
    budget: RetryBudget,
    calls: Vec<(CallStateMachine, Instant)>,
    counts: Counts,
}

impl Simulation {
    fn new(fault: Fault) -> Self {
        let now = Instant::now();
        let cfg = AdmissionConfig {
            slots: SLOTS,
            max_queued: MAX_QUEUED,
            initial_service_time: SERVICE_TIME,
            min_retry_after: ms(1),
        };
        let new_endpoint = |index: usize| endpoint(&index.to_string(), "suva-a", "v1", now);
        Self {
            now,
            random: 1,
            fault,
            queue: BinaryHeap::new(),
            endpoints: (0..INSTANCES).map(new_endpoint).collect(),
            admissions: (0..INSTANCES).map(|_| Admission::new(cfg)).collect(),
            balancer: Balancer::new(BalancerConfig::default(), "suva-a".into()),
            budget: RetryBudget::new(RetryBudgetConfig::default(), now),
            calls: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Returns the high bits of a linear congruential generator.
    fn draw(&mut self) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.random >> 33
    }

    fn run(mut self, calls: u32) -> Counts {
        let mean_interval_ns = u64::try_from(SIM_DURATION.as_nanos()).unwrap() / u64::from(calls);
        let mut at = self.now;
        for _ in 0..calls {
            at += Duration::from_nanos(self.draw() % (2 * mean_interval_ns));
            self.queue.push(Reverse((at, SimEvent::Arrival)));
        }
        while let Some(Reverse((at, sim_event))) = self.queue.pop() {
            self.now = at;
            match sim_event {
                SimEvent::Arrival => self.arrive(),
                SimEvent::ServiceEnded(instance, key) => self.service_ended(instance, key),
            }
        }
        self.counts
    }

    fn arrive(&mut self) {
        let deadline = self.now + TIMEOUT;
        let plan = CallPlan {
            repeat: Idempotency::Idempotent,
            deadline,
            max_attempts: 3,
            retry_after: ms(1000),
        };
        let (machine, actions) = CallStateMachine::start(plan, &mut self.budget);
        self.calls.push((machine, deadline));
        self.counts.calls += 1;
        self.execute(self.calls.len() - 1, actions);
    }

    fn execute(&mut self, call: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(attempt) => self.send(Key { call, attempt }),
                Action::Finish(end) => self.record_outcome(call, &end),
                _ => {}
            }
        }
    }

    fn record_outcome(&mut self, call: usize, end: &FinalOutcome) {
        let counter = match end {
            FinalOutcome::Answer(_) if self.now <= self.calls[call].1 => {
                &mut self.counts.answered_in_time
            }
            FinalOutcome::Answer(_) => &mut self.counts.answered_late,
            FinalOutcome::NotRun(_) => &mut self.counts.refused,
            _ => &mut self.counts.unknown,
        };
        *counter += 1;
    }

    fn send(&mut self, key: Key) {
        let draws = RandomPair(self.draw(), self.draw());
        let choice = self.balancer.choose(&self.endpoints, &[], draws, self.now);
        let Choice::Selected(chosen) = choice else {
            panic!("every instance serves");
        };
        let instance: usize = chosen.daemon.parse().unwrap();
        self.counts.attempts += 1;
        self.balancer.attempt_started(&self.endpoints[instance]);
        self.calls[key.call].0.permit_send(key.attempt);
        match self.fault {
            Fault::Refuse(failing) if instance < failing => {
                let (all, now) = (&self.endpoints, self.now);
                let reason = NotRunReason::UpstreamRefused;
                self.balancer
                    .record_refusal(&all[instance], all, reason, now);
                self.end(instance, key, Event::Replied(key.attempt, refusal()));
            }
            Fault::Disconnect(failing) if instance < failing => {
                let (all, now) = (&self.endpoints, self.now);
                self.balancer
                    .record_failure(&all[instance], all, Failure::Error, now);
                self.end(instance, key, Event::ConnectionLost(key.attempt));
            }
            _ => self.offer(instance, key),
        }
    }

    fn offer(&mut self, instance: usize, key: Key) {
        let deadline = self.calls[key.call].1;
        let admission = &mut self.admissions[instance];
        match admission.offer(key, TrafficClass::Page, deadline, self.now) {
            AdmissionDecision::Run => self.serve(instance, key),
            AdmissionDecision::Queued | AdmissionDecision::QueuedInPlaceOf(..) => {}
            AdmissionDecision::Refused(not_run) => {
                let reply = Reply::NotRun(not_run);
                self.end(instance, key, Event::Replied(key.attempt, reply));
            }
        }
    }

    /// Starts a call whose service time varies by up to half of `SERVICE_TIME` either way.
    fn serve(&mut self, instance: usize, key: Key) {
        let percent = u32::try_from(50 + self.draw() % 101).unwrap();
        let at = self.now + SERVICE_TIME * percent / 100;
        let service_ended = SimEvent::ServiceEnded(instance, key);
        self.queue.push(Reverse((at, service_ended)));
    }

    fn service_ended(&mut self, instance: usize, key: Key) {
        self.admissions[instance].complete(SERVICE_TIME);
        self.end(instance, key, Event::Replied(key.attempt, Reply::Answered));
        loop {
            match self.admissions[instance].next_action(self.now) {
                QueueAction::Run(next) => self.serve(instance, next),
                QueueAction::Refuse(next, not_run) => {
                    let reply = Reply::NotRun(not_run);
                    self.end(instance, next, Event::Replied(next.attempt, reply));
                }
                QueueAction::Idle => return,
            }
        }
    }

    fn end(&mut self, instance: usize, key: Key, event: Event) {
        let endpoint = &self.endpoints[instance];
        if event == Event::Replied(key.attempt, Reply::Answered) {
            self.balancer.record_success(endpoint);
        }
        let load = self.admissions[instance].load();
        self.balancer.attempt_ended(endpoint);
        self.balancer.record_load(endpoint, load, self.now);
        let machine = &mut self.calls[key.call].0;
        let actions = machine.on_event(event, &mut self.budget, self.now);
        self.execute(key.call, actions);
    }
}

fn refusal() -> Reply {
    Reply::NotRun(NotRun {
        reason: NotRunReason::UpstreamRefused,
        retry_after: None,
    })
}

#[test]
fn goodput_does_not_drop_under_overload() {
    let run = |load: u32| Simulation::new(Fault::Refuse(0)).run(load * CAPACITY);
    let [single, double, quadruple] = [1, 2, 4].map(run);
    let summary = format!("1x {single:?}, 2x {double:?}, 4x {quadruple:?}");
    let in_time = |counts: &Counts| counts.answered_in_time;
    assert!(in_time(&single) * 100 >= CAPACITY * 90, "{summary}");
    assert!(in_time(&double) * 100 >= in_time(&single) * 99, "{summary}");
    assert!(
        in_time(&quadruple) * 100 >= in_time(&double) * 99,
        "{summary}"
    );
    for counts in [&single, &double, &quadruple] {
        assert_eq!(counts.answered_late * 100 / counts.calls, 0, "{summary}");
        assert!(is_within_budget(counts), "{summary}");
    }
}

#[test]
fn extra_attempts_stay_within_the_budget_when_instances_fail() {
    let check = |fault: Fault, answered: u32| {
        let counts = Simulation::new(fault).run(CAPACITY / 2);
        assert!(counts.attempts > counts.calls, "{fault:?}: {counts:?}");
        assert!(is_within_budget(&counts), "{fault:?}: {counts:?}");
        let min_in_time = counts.calls * answered / 100;
        assert!(
            counts.answered_in_time >= min_in_time,
            "{fault:?}: {counts:?}"
        );
    };
    // An instance that fails fast looks idle, but must not attract calls.
    check(Fault::Refuse(1), 99);
    check(Fault::Disconnect(1), 99);
    check(Fault::Refuse(INSTANCES), 0);
    check(Fault::Disconnect(INSTANCES), 0);
}

/// Whether the extra attempts stay within the ratio of calls, the floor over the simulated time
/// and the burst.
fn is_within_budget(counts: &Counts) -> bool {
    let cfg = RetryBudgetConfig::default();
    let floor = cfg.floor_per_second * (SIM_DURATION.as_secs() + 1) + cfg.burst;
    let ratio = u64::from(counts.calls) * cfg.per_thousand / 1000;
    u64::from(counts.attempts - counts.calls) <= ratio + floor
}
