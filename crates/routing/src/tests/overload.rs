//! Goodput and extra attempts under overload and failing instances, in simulated time.

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
const QUEUE: usize = 32;
const SERVICE_TIME: Duration = ms(10);
const TIMEOUT: Duration = ms(100);
const SPAN: Duration = Duration::from_secs(4);

/// Calls that all slots can serve within the span.
const CAPACITY: u32 = 32_000;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    call: usize,
    attempt: AttemptIndex,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrival,
    Served(usize, Key),
}

/// What the first instances do; the others serve.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    Refuse(usize),
    Cut(usize),
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
    queue: BinaryHeap<Reverse<(Instant, Happening)>>,
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
            max_queued: QUEUE,
            initial_service_time: SERVICE_TIME,
            min_retry_after: ms(1),
        };
        let name = |index: usize| endpoint(&index.to_string(), "suva-a", "v1", now);
        Self {
            now,
            random: 1,
            fault,
            queue: BinaryHeap::new(),
            endpoints: (0..INSTANCES).map(name).collect(),
            admissions: (0..INSTANCES).map(|_| Admission::new(cfg)).collect(),
            balancer: Balancer::new(BalancerConfig::default(), "suva-a".into()),
            budget: RetryBudget::new(RetryBudgetConfig::default(), now),
            calls: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// A linear congruential generator, high bits first.
    fn draw(&mut self) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.random >> 33
    }

    fn run(mut self, calls: u32) -> Counts {
        let gap = u64::try_from(SPAN.as_nanos()).unwrap() / u64::from(calls);
        let mut at = self.now;
        for _ in 0..calls {
            at += Duration::from_nanos(self.draw() % (2 * gap));
            self.queue.push(Reverse((at, Happening::Arrival)));
        }
        while let Some(Reverse((at, happening))) = self.queue.pop() {
            self.now = at;
            match happening {
                Happening::Arrival => self.arrive(),
                Happening::Served(instance, key) => self.served(instance, key),
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
        self.carry_out(self.calls.len() - 1, actions);
    }

    fn carry_out(&mut self, call: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(attempt) => self.send(Key { call, attempt }),
                Action::Finish(end) => self.count(call, &end),
                _ => {}
            }
        }
    }

    fn count(&mut self, call: usize, end: &FinalOutcome) {
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
            Fault::Refuse(bad) if instance < bad => {
                let (all, now) = (&self.endpoints, self.now);
                let reason = NotRunReason::UpstreamRefused;
                self.balancer
                    .record_refusal(&all[instance], all, reason, now);
                self.end(instance, key, Event::Replied(key.attempt, refusal()));
            }
            Fault::Cut(bad) if instance < bad => {
                let (all, now) = (&self.endpoints, self.now);
                self.balancer
                    .record_failure(&all[instance], all, Failure::Faulty, now);
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

    /// Service times vary by a half to either side.
    fn serve(&mut self, instance: usize, key: Key) {
        let percent = u32::try_from(50 + self.draw() % 101).unwrap();
        let at = self.now + SERVICE_TIME * percent / 100;
        let served = Happening::Served(instance, key);
        self.queue.push(Reverse((at, served)));
    }

    fn served(&mut self, instance: usize, key: Key) {
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
        self.carry_out(key.call, actions);
    }
}

fn refusal() -> Reply {
    Reply::NotRun(NotRun {
        reason: NotRunReason::UpstreamRefused,
        retry_after: None,
    })
}

#[test]
fn goodput_does_not_fall_as_load_rises() {
    let run = |load: u32| Simulation::new(Fault::Refuse(0)).run(load * CAPACITY);
    let [one, two, four] = [1, 2, 4].map(run);
    let seen = format!("1x {one:?}, 2x {two:?}, 4x {four:?}");
    let in_time = |counts: &Counts| counts.answered_in_time;
    assert!(in_time(&one) * 100 >= CAPACITY * 90, "{seen}");
    assert!(in_time(&two) * 100 >= in_time(&one) * 99, "{seen}");
    assert!(in_time(&four) * 100 >= in_time(&two) * 99, "{seen}");
    for counts in [&one, &two, &four] {
        assert_eq!(counts.answered_late * 100 / counts.calls, 0, "{seen}");
        assert!(is_within_budget(counts), "{seen}");
    }
}

#[test]
fn extra_attempts_stay_within_the_budget_when_instances_fail() {
    let check = |fault: Fault, answered: u32| {
        let counts = Simulation::new(fault).run(CAPACITY / 2);
        assert!(counts.attempts > counts.calls, "{fault:?}: {counts:?}");
        assert!(is_within_budget(&counts), "{fault:?}: {counts:?}");
        let wanted = counts.calls * answered / 100;
        assert!(counts.answered_in_time >= wanted, "{fault:?}: {counts:?}");
    };
    // An instance that fails fast looks idle; it must not attract the calls.
    check(Fault::Refuse(1), 99);
    check(Fault::Cut(1), 99);
    check(Fault::Refuse(INSTANCES), 0);
    check(Fault::Cut(INSTANCES), 0);
}

/// One extra attempt for ten calls, besides the floor over the span and what was saved up.
fn is_within_budget(counts: &Counts) -> bool {
    let cfg = RetryBudgetConfig::default();
    let floor = cfg.floor_per_second * (SPAN.as_secs() + 1) + cfg.burst;
    let ratio = u64::from(counts.calls) * cfg.per_thousand / 1000;
    u64::from(counts.attempts - counts.calls) <= ratio + floor
}
