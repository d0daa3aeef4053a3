//! A simulated move: requests, their answers, the reports on them and the decisions that follow.
//!
//! Instances have as much capacity as they need, and requests are never retried.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FULL_SHARE;
use base::VersionName;
use mesh::canary::CanaryAnalysis;
use mesh::canary::Verdict;
use mesh::config::RouteName;
use mesh::evidence::Evidence;
use mesh::evidence::EvidencePages;
use mesh::evidence::RouteStats;
use mesh::move_decision::MoveDecider;
use mesh::moves::MoveOrder;
use mesh::moves::MoveRecord;
use mesh::moves::Origin;
use mesh::moves::Stage;
use rollout::simulation::SplitMix64;

use crate::trial::Degradation;
use crate::trial::Disturbance;
use crate::trial::SimulatedRoute;
use crate::trial::Trial;
use crate::trial::WITHIN;
use crate::trial::index;

/// Interval of requests, reports and decisions.
const STEP: Duration = Duration::from_millis(100);

/// Most steps of a simulation: three times the time of the move.
const STEPS: u32 = 480;

/// Time for which a simulation goes on at least, since a version may turn bad once it is in use.
const WATCHED: Duration = Duration::from_secs(2 * WITHIN.as_secs());

/// Usual failure rate of both versions.
const USUAL_FAILURES: f64 = 0.003;

/// Bad answers of a bad version from which on it must leave, and the time that this may take.
const BAD_ANSWERS: u32 = 50;
const ROLLBACK_TIME: Duration = Duration::from_secs(5);

/// Part of the requests within the time of the move that a bad version may get, and their number beyond that.
const EXPOSED_PART: f64 = 0.1;
const EXPOSED_SLACK: f64 = 50.0;

const SERVICE: &str = "bookings";
const TARGET: &str = "v2";

/// How a move ended, and how long after the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    Completed(Duration),
    RolledBack(Duration),
    Open,
}

/// What became of a move.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub ending: Ending,
    /// Requests within the time of the move.
    pub requests: u32,
    /// Those of them that the target got.
    pub exposed: u32,
    /// Requests to the target that were sent too long after its first bad answers.
    pub late: u32,
    /// Time of its first bad answer; `None` if it gave none.
    pub first_bad: Option<Duration>,
}

impl Outcome {
    /// Returns how many requests a bad version got beyond its share.
    pub fn excess(&self) -> f64 {
        let allowed = EXPOSED_PART * f64::from(self.requests) + EXPOSED_SLACK;
        (f64::from(self.exposed) - allowed).max(0.0)
    }

    /// Whether a bad version got more requests than it may.
    pub fn is_overexposed(&self) -> bool {
        self.excess() > 0.0 || self.late > 0
    }
}

/// An answer on its way.
#[derive(Debug, Clone, Copy)]
struct Answer {
    route: usize,
    version: Version,
    instance: usize,
    took: Duration,
    is_failure: bool,
    /// Whether the fault of the target is why it failed or was slow.
    is_bad: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Version {
    Old,
    New,
}

/// An instance and the daemon beside it.
#[derive(Debug)]
struct Instance {
    daemon: DaemonId,
    version: VersionName,
    stats: Vec<RouteStats>,
    pages: EvidencePages,
}

impl Instance {
    fn new(version: &str, number: usize, routes: usize) -> Self {
        Self {
            daemon: format!("{version}-{number}").into(),
            version: version.into(),
            stats: vec![RouteStats::default(); routes],
            pages: EvidencePages::default(),
        }
    }

    fn report(&mut self) -> Evidence {
        let counted = self.stats.iter().enumerate();
        self.pages.next_page(Evidence {
            service: SERVICE.into(),
            version: self.version.clone(),
            born: 1,
            routes: counted
                .filter(|(_, stats)| stats.answers > 0)
                .map(|(route, stats)| (route_name(route), stats.clone()))
                .collect(),
        })
    }
}

struct Simulation<'a> {
    trial: &'a Trial,
    random: SplitMix64,
    origin: Instant,
    old: Vec<Instance>,
    new: Vec<Instance>,
    /// Answers by the steps after this one in which they arrive.
    answers: VecDeque<Vec<Answer>>,
    /// Reports by the steps after this one in which they arrive.
    reports: VecDeque<Vec<(DaemonId, Evidence)>>,
    canary: CanaryAnalysis,
    decider: MoveDecider,
    record: MoveRecord,
    bad_answers: u32,
    shown_bad: Option<Duration>,
    outcome: Outcome,
}

/// Plays a move.
pub fn play(trial: &Trial, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(trial, seed);
    let mut has_changed_leader = false;
    for step in 0..STEPS {
        let at = STEP * step;
        let changes_leader =
            trial.disturbance == Disturbance::LeaderChanges && trial.is_disturbed(at);
        if changes_leader && !has_changed_leader {
            has_changed_leader = true;
            simulation.change_leader();
        }
        simulation.send_requests(at);
        simulation.receive_answers(at);
        simulation.send_reports(at);
        simulation.receive_reports(at);
        simulation.decide(at);
        let has_ended = !simulation.record.is_open();
        if has_ended && at >= WATCHED {
            break;
        }
    }
    simulation.outcome
}

impl<'a> Simulation<'a> {
    fn new(trial: &'a Trial, seed: u64) -> Self {
        let instances = |version: &str, count: usize| -> Vec<Instance> {
            let numbers = 0..count;
            numbers
                .map(|number| Instance::new(version, number, trial.routes.len()))
                .collect()
        };
        Self {
            trial,
            // Requests are independent of what was drawn for the trial.
            random: SplitMix64::new(!seed),
            origin: Instant::now(),
            old: instances("v1", trial.old_instances),
            new: instances(TARGET, trial.new_instances),
            answers: VecDeque::new(),
            reports: VecDeque::new(),
            canary: CanaryAnalysis::default(),
            decider: MoveDecider::default(),
            record: MoveRecord {
                order: MoveOrder {
                    service: SERVICE.into(),
                    target: TARGET.into(),
                    within: WITHIN,
                    offset: 1,
                },
                began: 0,
                stage: Stage::Sharing(0),
                setbacks: 0,
                is_settled: false,
                boosted: Vec::new(),
                elapsed: Duration::ZERO,
                origin: Origin {
                    version: Some("v1".into()),
                    withdrawn: Vec::new(),
                },
            },
            bad_answers: 0,
            shown_bad: None,
            outcome: Outcome {
                ending: Ending::Open,
                requests: 0,
                exposed: 0,
                late: 0,
                first_bad: None,
            },
        }
    }

    fn change_leader(&mut self) {
        self.canary = CanaryAnalysis::default();
        self.decider = MoveDecider::default();
        for instance in self.old.iter_mut().chain(&mut self.new) {
            instance.pages = EvidencePages::default();
        }
    }

    /// Returns the part of the requests that the target gets on most routes.
    fn share(&self) -> f64 {
        match self.record.stage {
            Stage::Sharing(share) => f64::from(share) / f64::from(FULL_SHARE),
            Stage::Complete => 1.0,
            Stage::RolledBack => 0.0,
        }
    }

    /// Returns the part of a route's requests that the target gets.
    fn share_of(&self, route: usize) -> f64 {
        let Stage::Sharing(share) = self.record.stage else {
            return self.share();
        };
        let name = route_name(route);
        f64::from(self.record.share_of(&name, share)) / f64::from(FULL_SHARE)
    }

    fn send_requests(&mut self, at: Duration) {
        let trial = self.trial;
        for (route, simulated) in trial.routes.iter().enumerate() {
            let share = self.share_of(route);
            let mean = simulated.per_sec * STEP.as_secs_f64();
            for _ in 0..self.random.stochastic_round(mean) {
                let version = if self.random.next_bool(share) {
                    Version::New
                } else {
                    Version::Old
                };
                self.count_request(version, at);
                let answer = self.serve(route, *simulated, version, at);
                push(&mut self.answers, steps(answer.took), answer);
            }
        }
    }

    fn count_request(&mut self, version: Version, at: Duration) {
        let is_new = version == Version::New;
        if at < WITHIN {
            self.outcome.requests += 1;
            self.outcome.exposed += u32::from(is_new);
        }
        let is_late = self
            .shown_bad
            .is_some_and(|shown| at > shown + ROLLBACK_TIME);
        self.outcome.late += u32::from(is_new && is_late);
    }

    fn serve(
        &mut self,
        route: usize,
        simulated: SimulatedRoute,
        version: Version,
        at: Duration,
    ) -> Answer {
        let is_bad = version == Version::New && self.trial.is_bad(at, self.share(), route);
        let (degradation, instances) = match version {
            Version::Old => (self.trial.old_degradation(at), self.old.len()),
            Version::New => (self.trial.callee_degradation(at), self.new.len()),
        };
        let instance = index(&mut self.random, instances);
        let spread = 0.6 + 0.8 * self.random.next_f64();
        let usual = simulated.time.mul_f64(spread * degradation.slower);
        let usually_fails = self.fails(&degradation) || self.random.next_bool(USUAL_FAILURES);
        let (took, fails) = if is_bad {
            let fault = &self.trial.fault;
            (usual.mul_f64(fault.slower), self.fails(fault))
        } else {
            (usual, false)
        };
        Answer {
            route,
            version,
            instance,
            took: took.min(simulated.timeout),
            is_failure: usually_fails || fails || took > simulated.timeout,
            is_bad: is_bad && (fails || took > usual),
        }
    }

    fn fails(&mut self, degradation: &Degradation) -> bool {
        self.random.next_bool(degradation.failing)
    }

    fn receive_answers(&mut self, at: Duration) {
        for answer in self.answers.pop_front().unwrap_or_default() {
            let instances = match answer.version {
                Version::Old => &mut self.old,
                Version::New => &mut self.new,
            };
            let stats = &mut instances[answer.instance].stats[answer.route];
            stats.record_answer(answer.took, answer.is_failure);
            self.bad_answers += u32::from(answer.is_bad);
            if answer.is_bad {
                self.outcome.first_bad.get_or_insert(at);
            }
        }
        if self.bad_answers >= BAD_ANSWERS {
            self.shown_bad.get_or_insert(at);
        }
    }

    fn send_reports(&mut self, at: Duration) {
        let trial = self.trial;
        let lost = trial.unreliable_reports(Disturbance::ReportsLost, at);
        let doubled = trial.unreliable_reports(Disturbance::ReportsDoubled, at);
        let delay = steps(trial.report_delay(at));
        for instance in self.old.iter_mut().chain(&mut self.new) {
            let report = (instance.daemon.clone(), instance.report());
            if self.random.next_bool(lost) {
                continue;
            }
            if self.random.next_bool(doubled) {
                push(&mut self.reports, delay + 2, report.clone());
            }
            push(&mut self.reports, delay + 1, report);
        }
    }

    fn receive_reports(&mut self, at: Duration) {
        let now = self.origin + at;
        for (daemon, evidence) in self.reports.pop_front().unwrap_or_default() {
            self.canary.merge(&daemon, 1, evidence, now);
        }
    }

    /// Decides as a controller does: a rollback is in force at once, all other stages only once the store has them.
    fn decide(&mut self, at: Duration) {
        if !self.record.is_open() {
            return;
        }
        let (now, instances) = (self.origin + at, self.new.len());
        let decision = self
            .decider
            .decide(&self.record, &mut self.canary, instances, at, now);
        if decision.verdict == Verdict::Inconclusive {
            self.canary.reset_counts(&SERVICE.into());
        }
        let is_store_away =
            self.trial.disturbance == Disturbance::StoreAway && self.trial.is_disturbed(at);
        if is_store_away && decision.record.stage != Stage::RolledBack {
            return;
        }
        self.record = decision.record;
        self.outcome.ending = match self.record.stage {
            Stage::Complete => Ending::Completed(at),
            Stage::RolledBack => Ending::RolledBack(at),
            Stage::Sharing(_) => Ending::Open,
        };
    }
}

fn route_name(route: usize) -> RouteName {
    format!("route-{route}").into()
}

fn steps(time: Duration) -> usize {
    usize::try_from(time.as_millis() / STEP.as_millis()).expect("a few steps")
}

/// Adds what arrives so many steps after this one.
fn push<T>(queue: &mut VecDeque<Vec<T>>, steps: usize, value: T) {
    if queue.len() <= steps {
        queue.resize_with(steps + 1, Vec::new);
    }
    queue[steps].push(value);
}
