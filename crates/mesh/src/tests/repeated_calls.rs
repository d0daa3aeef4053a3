//! Retry budgets of services that call each other, over all daemons.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use base::ServiceName;
use ledger::Idempotency;
use routing::budget::BudgetDecision;

use crate::retry_budgets::LastAttempt;
use crate::retry_budgets::RetryBudgets;
use crate::run_origins::REPEATED;
use crate::run_origins::RepeatShare;
use crate::run_origins::RunOrigins;

const RATIO: f64 = 0.2;
const SLACK: f64 = 60.0;
const WINDOW: Duration = Duration::from_secs(10);
/// Time between the windows that are checked.
const STEP: Duration = Duration::from_millis(100);
/// Windows after the first that are checked, until `LENGTH`.
const WINDOWS: u32 = 400;

/// Instances by service. Each service calls the next one.
const INSTANCES: [usize; 3] = [5, 4, 3];
const SERVICES: [&str; 3] = ["pages", "stock", "prices"];
const DAEMONS: usize = 12;

/// Requests of clients a second, by service.
const CLIENT_RATES: [u32; 3] = [150, 30, 10];
/// Calls that a run makes to the next service.
const CALLS: [u32; 3] = [2, 1, 0];

const CLIENT_TIMEOUT: Duration = Duration::from_millis(1500);
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
const RUN_TIMES: [Duration; 3] = [
    Duration::from_millis(220),
    Duration::from_millis(55),
    Duration::from_millis(30),
];
const MAX_SENDS: u32 = 4;
const LENGTH: Duration = Duration::from_secs(50);
/// Time from which on instances reject requests.
const REJECTS_FROM: Duration = Duration::from_secs(15);

struct Daemon {
    budgets: RetryBudgets,
    origins: RunOrigins,
}

#[derive(Debug, Clone, Copy)]
struct Call {
    service: usize,
    /// Daemon at which it starts.
    daemon: usize,
    deadline: Duration,
    /// Whether it was made by a repeated run.
    is_repeat: bool,
}

enum Event {
    Started(Call),
    RunEnded { daemon: usize, key: u64 },
}

/// Times of requests and of repeats at a service.
#[derive(Debug, Default, Clone)]
struct Arrivals {
    requests: Vec<Duration>,
    repeats: Vec<Duration>,
    /// Attempts beyond the first that were granted here.
    retries: usize,
}

struct Model {
    start: Instant,
    rejected_percent: [u64; 3],
    last: LastAttempt,
    daemons: Vec<Daemon>,
    events: BTreeMap<(Duration, u64), Event>,
    arrivals: [Arrivals; 3],
    last_key: u64,
    random: u64,
}

impl Model {
    fn new(rejected_percent: [u64; 3], last: LastAttempt) -> Self {
        let daemon = |_| Daemon {
            budgets: RetryBudgets::new(RATIO, SLACK, DAEMONS),
            origins: RunOrigins::default(),
        };
        Self {
            start: Instant::now(),
            rejected_percent,
            last,
            daemons: (0..DAEMONS).map(daemon).collect(),
            events: BTreeMap::new(),
            arrivals: Default::default(),
            last_key: 0,
            random: 7,
        }
    }

    fn run(mut self) -> [Arrivals; 3] {
        for (service, rate) in CLIENT_RATES.into_iter().enumerate() {
            let interval = Duration::from_secs(1) / rate;
            let mut at = Duration::ZERO;
            while at < LENGTH {
                let call = Call {
                    service,
                    daemon: self.below(DAEMONS),
                    deadline: at + CLIENT_TIMEOUT,
                    is_repeat: false,
                };
                self.schedule(at, Event::Started(call));
                at += interval;
            }
        }
        while let Some(((now, _), event)) = self.events.pop_first() {
            match event {
                Event::Started(call) => self.serve(call, now),
                Event::RunEnded { daemon, key } => self.daemons[daemon].origins.run_ended(key),
            }
        }
        self.arrivals
    }

    fn serve(&mut self, call: Call, now: Duration) {
        let service: ServiceName = SERVICES[call.service].into();
        let (now_at, deadline) = (self.start + now, self.start + call.deadline);
        let origin = &mut self.daemons[call.daemon];
        let share = origin.origins.share_of(deadline);
        origin.budgets.request_started(&service, share, now_at);
        self.arrivals[call.service].requests.push(now);
        for sent in 0..MAX_SENDS {
            let is_repeat = call.is_repeat || sent > 0;
            if is_repeat {
                self.arrivals[call.service].repeats.push(now);
            }
            let is_rejected =
                now >= REJECTS_FROM && self.below(100) < whole(self.rejected_percent[call.service]);
            let runs = !is_rejected || self.last == LastAttempt::Lost;
            if runs {
                let share = if sent > 0 { REPEATED } else { share };
                self.start_run(call, is_repeat, share, now);
            }
            if !is_rejected {
                return;
            }
            let budgets = &mut self.daemons[call.daemon].budgets;
            let decision = budgets.try_spend(&service, self.last, Idempotency::Idempotent, now_at);
            if decision == BudgetDecision::Exhausted {
                return;
            }
            self.arrivals[call.service].retries += 1;
        }
    }

    /// Runs a request at one of the instances of its service, which makes its calls meanwhile.
    fn start_run(&mut self, call: Call, is_repeat: bool, share: RepeatShare, now: Duration) {
        let daemon =
            INSTANCES[..call.service].iter().sum::<usize>() + self.below(INSTANCES[call.service]);
        self.last_key += 1;
        let key = self.last_key;
        let deadline = self.start + call.deadline;
        self.daemons[daemon]
            .origins
            .run_started(key, deadline, share);
        let took = RUN_TIMES[call.service];
        self.schedule(now + took, Event::RunEnded { daemon, key });
        for _ in 0..CALLS[call.service] {
            let at = now + took / 2;
            let call = Call {
                service: call.service + 1,
                daemon,
                deadline: call.deadline.min(at + CALL_TIMEOUT),
                is_repeat,
            };
            self.schedule(at, Event::Started(call));
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.last_key += 1;
        self.events.insert((at, self.last_key), event);
    }

    fn below(&mut self, count: usize) -> usize {
        self.random = base::hash::stable(&[&self.random.to_be_bytes()]);
        whole(self.random) % count
    }
}

fn whole(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

/// Returns how many times lie in the window from `from` on; `None` if that begins before the first.
fn count(times: &[Duration], from: Option<Duration>) -> usize {
    let Some(from) = from else { return 0 };
    let end = times.partition_point(|at| *at < from + WINDOW);
    end - times.partition_point(|at| *at < from)
}

/// The limit of the platform: in each window, the repeats at a service, over all daemons, stay within the
/// ratio of the requests for it in that window, the one before it or the one half a window before it.
#[allow(clippy::cast_precision_loss)]
fn check(rejected_percent: [u64; 3], last: LastAttempt) -> [Arrivals; 3] {
    let mut arrivals = Model::new(rejected_percent, last).run();
    for (service, arrivals) in SERVICES.iter().zip(&mut arrivals) {
        arrivals.requests.sort_unstable();
        arrivals.repeats.sort_unstable();
        for from in (0..=WINDOWS).map(|number| STEP * number) {
            let earlier = [Duration::ZERO, WINDOW / 2, WINDOW];
            let requests = earlier
                .map(|time| count(&arrivals.requests, from.checked_sub(time)))
                .into_iter()
                .max()
                .unwrap_or(0);
            let repeats = count(&arrivals.repeats, Some(from));
            let allowed = RATIO * requests as f64 + SLACK;
            assert!(
                repeats as f64 <= allowed,
                "{service} from {from:?}: {repeats} repeats for {requests} requests"
            );
        }
    }
    arrivals
}

#[test]
fn repeats_of_called_services_stay_within_the_limit() {
    check([40, 40, 40], LastAttempt::Rejected);
    check([40, 40, 0], LastAttempt::Rejected);
    check([40, 0, 40], LastAttempt::Rejected);
    check([20, 60, 60], LastAttempt::Rejected);
    check([60, 20, 20], LastAttempt::Rejected);
    check([30, 30, 30], LastAttempt::Lost);
}

/// A service of which no caller repeats keeps its retries, whatever runs beside the clients' requests.
#[test]
fn services_whose_callers_do_not_repeat_keep_their_retries() {
    for (service, rejected_percent) in [[40, 0, 0], [0, 40, 0], [0, 0, 40]].into_iter().enumerate()
    {
        let arrivals = &check(rejected_percent, LastAttempt::Rejected)[service];
        let rejecting = arrivals
            .requests
            .iter()
            .filter(|at| **at >= REJECTS_FROM)
            .count();
        assert!(
            arrivals.retries * 1000 >= rejecting * 130,
            "{} retries for {rejecting} requests to {}",
            arrivals.retries,
            SERVICES[service]
        );
    }
}
