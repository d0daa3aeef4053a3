//! Trials of the controller with simulated calls, for tests and measurements.
//!
//! A trial runs one move in ticks of a second. Calls are drawn from a seeded generator, reports
//! reach the controller one tick late, and records and facts take effect one tick later still.

mod calls;
mod fleet;
mod summary;

use std::time::Duration;
use std::time::Instant;

use base::UnixMillis;
use ledger::MoveEnd;
use ledger::MovePolicy;
use ledger::Record;
use ledger::State;
use protocol::evidence::EvidenceReport;
use protocol::feed::TakeBackFact;

use crate::controller::Action;
use crate::controller::ClusterView;
use crate::controller::Controller;
use crate::controller::LogHealth;
use crate::controller::TICK_INTERVAL;
use crate::controller::TickTime;
use crate::lease::LeaseWatch;
use crate::simulation::calls::Calls;

pub use crate::simulation::calls::Behaviour;
pub use crate::simulation::calls::Random;
pub use crate::simulation::summary::Summary;
pub use crate::simulation::summary::summarize;

/// Wall clock at the start of a trial.
const START: UnixMillis = 1_000_000_000_000;

/// What a trial simulates.
#[derive(Debug, Clone)]
pub struct Simulation {
    /// What the new version does.
    pub behaviour: Behaviour,
    /// Calls a second on the service.
    pub calls_per_second: f64,
    /// Part of the old version's calls that fail.
    pub failure_rate: f64,
    /// How the move is made.
    pub policy: MovePolicy,
    /// Time from the ticket to the wanted full share.
    pub finish_within: Option<Duration>,
    /// Time from the ticket until the last new instance is at full speed.
    pub cold_start: Duration,
    /// Ticks after which the trial gives up.
    pub ticks: u32,
    /// Seed of the generator.
    pub seed: u64,
}

/// How a trial ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// The move is done.
    Done {
        /// Tick at which the new version got the full share.
        full_at: u32,
        /// Whether that was by the ticket's time.
        is_on_time: bool,
    },
    /// The version was taken back.
    TakenBack {
        /// Why.
        reason: String,
    },
    /// The move had not ended when the trial gave up.
    Open,
}

/// What a trial measured.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The end.
    pub ending: Ending,
    /// Calls that the new version had in all.
    pub calls: u64,
    /// Calls that the new version had after its fault began, up to its take-back.
    pub calls_since_fault: u64,
    /// Ticks from the first call after the fault began to the take-back.
    pub ticks_since_fault: u32,
    /// Highest share of the new version.
    pub share: u16,
}

impl Simulation {
    /// A trial at 100 calls a second with Tanoa's policy and ten minutes to finish.
    #[must_use]
    pub fn new(behaviour: Behaviour, seed: u64) -> Self {
        Self {
            behaviour,
            calls_per_second: 100.0,
            failure_rate: 0.005,
            policy: crate::policy::tanoa(),
            finish_within: Some(Duration::from_mins(10)),
            cold_start: Duration::ZERO,
            ticks: 1_200,
            seed,
        }
    }

    /// Runs the trial.
    #[must_use]
    pub fn run(&self) -> Outcome {
        let mut run = Run::new(self);
        for tick in 0..self.ticks {
            if run.tick(tick) == Progress::Ended {
                break;
            }
        }
        run.outcome
    }
}

impl Simulation {
    /// New instances that are past their cold start; they started one after the other.
    fn warm_instances(&self, time: Duration) -> usize {
        (0..fleet::INSTANCES)
            .filter(|instance| self.is_warm(*instance, time))
            .count()
    }

    fn is_warm(&self, instance: usize, time: Duration) -> bool {
        time * u32::try_from(fleet::INSTANCES).unwrap_or(1)
            >= self.cold_start * (u32::try_from(instance).unwrap_or(0) + 1)
    }
}

/// Whether a trial goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Running,
    Ended,
}

struct Run<'a> {
    trial: &'a Simulation,
    calls: Calls,
    state: State,
    controller: Controller,
    lease: LeaseWatch,
    origin: Instant,
    reports: Vec<EvidenceReport>,
    records: Vec<Record>,
    facts: Vec<TakeBackFact>,
    /// Time of the last step.
    stepped: UnixMillis,
    outcome: Outcome,
}

impl<'a> Run<'a> {
    fn new(trial: &'a Simulation) -> Self {
        let finish_by = trial.finish_within.map(|time| START + millis(time));
        Self {
            trial,
            calls: Calls::new(trial),
            state: fleet::state(&trial.policy, START, finish_by),
            controller: Controller::new(fleet::CONTROLLER.into(), 0),
            lease: LeaseWatch::default(),
            origin: Instant::now(),
            reports: Vec::new(),
            records: Vec::new(),
            facts: Vec::new(),
            stepped: START,
            outcome: Outcome {
                ending: Ending::Open,
                calls: 0,
                calls_since_fault: 0,
                ticks_since_fault: 0,
                share: 0,
            },
        }
    }

    fn tick(&mut self, tick: u32) -> Progress {
        if self.apply_records(tick) == Progress::Ended {
            return Progress::Ended;
        }
        self.run_calls(tick);
        for report in std::mem::take(&mut self.reports) {
            self.controller.on_report(report);
        }
        self.reports = self.calls.reports();
        self.decide(tick);
        Progress::Running
    }

    fn apply_records(&mut self, tick: u32) -> Progress {
        for record in std::mem::take(&mut self.records) {
            if matches!(record, Record::Step { .. }) {
                self.stepped = wall(tick);
            }
            fleet::apply(&mut self.state, record, wall(tick));
        }
        let Some(report) = self.state.ends.back() else {
            return Progress::Running;
        };
        self.outcome.ending = self.ending(&report.end);
        Progress::Ended
    }

    fn run_calls(&mut self, tick: u32) {
        let share = fleet::share(&self.state);
        let counted = self.calls.run(tick, share);
        self.outcome.share = self.outcome.share.max(share);
        self.outcome.calls += counted.new;
        self.outcome.calls_since_fault += counted.faulty;
        let has_begun = self.outcome.calls_since_fault > 0;
        self.outcome.ticks_since_fault += u32::from(has_begun);
    }

    fn decide(&mut self, tick: u32) {
        let now = TickTime {
            monotonic: self.origin + TICK_INTERVAL * tick,
            wall: wall(tick),
        };
        let view = ClusterView {
            state: &self.state,
            members: &[fleet::CONTROLLER.into()],
            take_backs: &self.facts,
            warm_slots: &fleet::slots(self.trial.warm_instances(TICK_INTERVAL * tick)),
            log: LogHealth::Up,
        };
        for action in self.controller.on_tick(now, &view, &self.lease) {
            match action {
                Action::Claim { entry, .. } | Action::Append(entry) => {
                    self.records.push(entry.record);
                }
                Action::Renew(lease) => {
                    self.lease.observe(lease, now.monotonic);
                }
                Action::BroadcastTakeBack(fact) => self.facts.push(fact),
            }
        }
    }

    fn ending(&self, end: &MoveEnd) -> Ending {
        let full_at = (self.stepped - START) / millis(TICK_INTERVAL);
        let done = |is_on_time| Ending::Done {
            full_at: u32::try_from(full_at).unwrap_or(u32::MAX),
            is_on_time,
        };
        match end {
            MoveEnd::Done => done(true),
            MoveEnd::DoneLate { .. } => done(false),
            MoveEnd::TakenBack { reason } => Ending::TakenBack {
                reason: reason.to_string(),
            },
            MoveEnd::Superseded { .. } => Ending::Open,
        }
    }
}

fn wall(tick: u32) -> UnixMillis {
    START + millis(TICK_INTERVAL * tick)
}

#[cfg(test)]
pub(crate) use crate::simulation::fleet::state as moving_state;

/// Applies a record to a state as the fold does.
#[cfg(test)]
pub(crate) fn fold(state: &mut State, record: &Record) {
    fleet::apply(state, record.clone(), START);
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
