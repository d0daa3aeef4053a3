//! One instance with its slots, its queue and the requests that arrive, without a network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use base::FastMap;
use protocol::call::NotRun;
use routing::admission::AdmissionDecision;
use routing::admission::QueueAction;

use crate::admission::AdmissionCfg;
use crate::admission::AdmissionController;
use crate::admission::AdmissionRequest;
use crate::admission::Ended;
use crate::config::Rank;
use crate::customers::CustomerName;
use crate::tests::former::admission::FormerController;

pub(super) const CFG: AdmissionCfg = AdmissionCfg {
    slots: 8,
    max_queued: 128,
    min_retry_after: Duration::from_millis(50),
    max_retry_after: Duration::from_millis(500),
};

/// How much the work of the requests of one kind differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Spread {
    /// Evenly between 0.7 and 1.3 times the mean.
    Narrow,
    /// Log-normally: a tenth of the requests takes twice the mean and more.
    Wide,
}

/// Standard deviation of the logarithm of the work where it is spread widely.
const WIDE_SIGMA: f64 = 0.8;

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Kind {
    pub(super) route: &'static str,
    pub(super) rank: Rank,
    pub(super) work_ms: u64,
    pub(super) aim_ms: u64,
    pub(super) budget_ms: u64,
    pub(super) spread: Spread,
}

/// Requests of one kind from one customer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stream {
    pub(super) kind: Kind,
    pub(super) customer: Option<&'static str>,
    /// Arrivals a second in each second of the replay.
    pub(super) per_sec: [f64; SECS],
}

/// Length of a replay.
pub(super) const SECS: usize = 20;

/// What became of the requests of one stream.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) struct Outcome {
    pub(super) sent: u32,
    pub(super) in_time: u32,
    pub(super) late: u32,
    pub(super) refused: u32,
}

impl Outcome {
    pub(super) fn in_time_share(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }

    pub(super) fn served_share(self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.sent.max(1))
    }
}

/// Returns the sum of outcomes.
pub(super) fn total(outcomes: &[Outcome]) -> Outcome {
    outcomes
        .iter()
        .fold(Outcome::default(), |sum, outcome| Outcome {
            sent: sum.sent + outcome.sent,
            in_time: sum.in_time + outcome.in_time,
            late: sum.late + outcome.late,
            refused: sum.refused + outcome.refused,
        })
}

/// Uniformly distributed numbers from a seed (`SplitMix64`).
pub(super) struct Random(pub(super) u64);

impl Random {
    pub(super) fn next_bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn next_unit(&mut self) -> f64 {
        let bits = u32::try_from(self.next_bits() >> 32).expect("32 bits remain");
        (f64::from(bits) + 0.5) / f64::from(u32::MAX)
    }

    /// Returns a factor on the mean work of a request.
    fn work_factor(&mut self, spread: Spread) -> f64 {
        match spread {
            Spread::Narrow => 0.7 + 0.6 * self.next_unit(),
            Spread::Wide => {
                // The sum of twelve uniform numbers is close to normal, with variance 1.
                let normal: f64 = (0..12).map(|_| self.next_unit()).sum::<f64>() - 6.0;
                (WIDE_SIGMA * normal - WIDE_SIGMA.powi(2) / 2.0).exp()
            }
        }
    }

    /// Returns the time to the next event of a Poisson process.
    fn gap(&mut self, per_sec: f64) -> Duration {
        Duration::from_secs_f64(-self.next_unit().ln() / per_sec)
    }
}

/// An admission control under test.
pub(super) trait Admits {
    fn offer(
        &mut self,
        customer: Option<CustomerName>,
        request: AdmissionRequest<usize>,
        now: Instant,
    ) -> AdmissionDecision<usize>;
    fn ended(&mut self, kind: Kind, took: Duration);
    fn next(&mut self, now: Instant) -> QueueAction<usize>;
}

impl Admits for AdmissionController<usize> {
    fn offer(
        &mut self,
        customer: Option<CustomerName>,
        request: AdmissionRequest<usize>,
        now: Instant,
    ) -> AdmissionDecision<usize> {
        self.offer_for(customer, request, now)
    }

    fn ended(&mut self, kind: Kind, took: Duration) {
        self.ended(&Ended {
            rank: kind.rank,
            route: &kind.route.into(),
            took: Some(took),
        });
    }

    fn next(&mut self, now: Instant) -> QueueAction<usize> {
        self.next(now)
    }
}

impl Admits for FormerController<usize> {
    fn offer(
        &mut self,
        _customer: Option<CustomerName>,
        request: AdmissionRequest<usize>,
        now: Instant,
    ) -> AdmissionDecision<usize> {
        self.offer(request, now)
    }

    fn ended(&mut self, kind: Kind, took: Duration) {
        self.finished(&kind.route.into(), took);
    }

    fn next(&mut self, now: Instant) -> QueueAction<usize> {
        self.next(now)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ended(usize),
    Arrival(usize),
    Check,
}

/// Interval at which the queue is processed when no request ends.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy)]
struct Request {
    stream: usize,
    arrived: Instant,
    started: Instant,
    work: Duration,
}

/// A replay in progress.
struct Replay<'a, A> {
    admits: A,
    streams: &'a [Stream],
    slowness: f64,
    random: Random,
    start: Instant,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    requests: FastMap<usize, Request>,
    last_key: usize,
    outcomes: Vec<Outcome>,
}

/// Plays the streams on an instance that takes `slowness` times the usual work time, and returns what
/// became of each stream.
pub(super) fn replay(
    admits: impl Admits,
    streams: &[Stream],
    slowness: f64,
    seed: u64,
) -> Vec<Outcome> {
    let mut replay = Replay {
        admits,
        streams,
        slowness,
        random: Random(seed),
        start: Instant::now(),
        events: BinaryHeap::new(),
        requests: FastMap::default(),
        last_key: 0,
        outcomes: vec![Outcome::default(); streams.len()],
    };
    replay.run();
    replay.outcomes
}

/// Returns an admission control that keeps slots free for more urgent ranks.
pub(super) fn keeping_slots() -> AdmissionController<usize> {
    let mut controller = AdmissionController::new(CFG);
    controller.set_keeps_slots(true);
    controller
}

/// Plays the streams with the present and with the former admission control.
pub(super) fn compare(streams: &[Stream], slowness: f64, seed: u64) -> [Vec<Outcome>; 2] {
    [
        replay(keeping_slots(), streams, slowness, seed),
        replay(FormerController::new(CFG), streams, slowness, seed),
    ]
}

impl<A: Admits> Replay<'_, A> {
    fn run(&mut self) {
        let end = Duration::from_secs(SECS as u64);
        for stream in 0..self.streams.len() {
            self.schedule_arrival(stream, Duration::ZERO);
        }
        self.events.push(Reverse((CHECK_INTERVAL, Event::Check)));
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at > end && event == Event::Check {
                return;
            }
            self.apply(event, at);
            self.process_queue(at);
        }
    }

    fn apply(&mut self, event: Event, at: Duration) {
        match event {
            Event::Arrival(stream) => {
                self.arrive(stream, at);
                self.schedule_arrival(stream, at);
            }
            Event::Ended(key) => self.end(key, at),
            Event::Check => self
                .events
                .push(Reverse((at + CHECK_INTERVAL, Event::Check))),
        }
    }

    fn schedule_arrival(&mut self, stream: usize, from: Duration) {
        let mut at = from;
        while let Some(per_sec) = usize::try_from(at.as_secs())
            .ok()
            .and_then(|second| self.streams[stream].per_sec.get(second))
        {
            let next_second = Duration::from_secs(at.as_secs() + 1);
            if *per_sec <= 0.0 {
                at = next_second;
                continue;
            }
            let next = at + self.random.gap(*per_sec);
            if next < next_second {
                self.events.push(Reverse((next, Event::Arrival(stream))));
                return;
            }
            at = next_second;
        }
    }

    fn arrive(&mut self, stream: usize, at: Duration) {
        self.last_key += 1;
        let (key, now) = (self.last_key, self.start + at);
        let Stream { kind, customer, .. } = self.streams[stream];
        let varied = self.slowness * self.random.work_factor(kind.spread);
        let request = Request {
            stream,
            arrived: now,
            started: now,
            work: Duration::from_millis(kind.work_ms).mul_f64(varied),
        };
        self.requests.insert(key, request);
        self.outcomes[stream].sent += 1;
        let offered = AdmissionRequest {
            key,
            route: kind.route.into(),
            rank: kind.rank,
            full_value_until: now + Duration::from_millis(kind.aim_ms),
            deadline: now + Duration::from_millis(kind.budget_ms),
            expected_service_time: Duration::from_millis(kind.aim_ms / 3),
        };
        match self
            .admits
            .offer(customer.map(CustomerName::from), offered, now)
        {
            AdmissionDecision::Run => self.begin(key, at),
            AdmissionDecision::Queued => {}
            AdmissionDecision::Refused(not_run) => self.refuse(key, &not_run),
            AdmissionDecision::QueuedInPlaceOf(other, not_run) => self.refuse(other, &not_run),
        }
    }

    fn begin(&mut self, key: usize, at: Duration) {
        let now = self.start + at;
        let request = self.requests.get_mut(&key).expect("a known request starts");
        request.started = now;
        let ends_at = at + request.work;
        self.events.push(Reverse((ends_at, Event::Ended(key))));
    }

    fn refuse(&mut self, key: usize, _not_run: &NotRun) {
        let request = self
            .requests
            .remove(&key)
            .expect("a known request is refused");
        self.outcomes[request.stream].refused += 1;
    }

    fn end(&mut self, key: usize, at: Duration) {
        let now = self.start + at;
        let request = self.requests.remove(&key).expect("a known request ends");
        let kind = self.streams[request.stream].kind;
        self.admits.ended(kind, now - request.started);
        let took = now - request.arrived;
        let outcome = &mut self.outcomes[request.stream];
        if took <= Duration::from_millis(kind.aim_ms) {
            outcome.in_time += 1;
        } else if took <= Duration::from_millis(kind.budget_ms) {
            outcome.late += 1;
        }
    }

    fn process_queue(&mut self, at: Duration) {
        loop {
            match self.admits.next(self.start + at) {
                QueueAction::Run(key) => self.begin(key, at),
                QueueAction::Refuse(key, not_run) => self.refuse(key, &not_run),
                QueueAction::Idle => return,
            }
        }
    }
}
