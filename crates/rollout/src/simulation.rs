//! Simulated rollouts, for tests and benchmarks.
//!
//! A simulation runs one rollout in ticks of one second. Calls are drawn from a seeded generator.
//! Reports reach the controller one tick late; records and rollbacks take effect one tick later.

mod calls;
mod service;
mod summary;

use std::time::Duration;
use std::time::Instant;

use base::UnixMillis;
use ledger::Record;
use ledger::RolloutOutcome;
use ledger::RolloutPolicy;
use ledger::State;
use protocol::evidence::EvidenceReport;
use protocol::feed::RollbackFact;

use crate::controller::Action;
use crate::controller::ClusterView;
use crate::controller::Controller;
use crate::controller::LogHealth;
use crate::controller::TICK_INTERVAL;
use crate::controller::TickTime;
use crate::lease::LeaseWatch;
use crate::simulation::calls::Calls;

pub use crate::simulation::calls::Behaviour;
pub use crate::simulation::calls::SplitMix64;
pub use crate::simulation::summary::Summary;
pub use crate::simulation::summary::summarize;

/// Wall-clock time at the start of a simulation.
const START: UnixMillis = 1_000_000_000_000;

/// Parameters of one simulated rollout.
#[derive(Debug, Clone)]
pub struct Simulation {
    /// Behaviour of the new version.
    pub behaviour: Behaviour,
    /// Calls per second on the service.
    pub calls_per_second: f64,
    /// Failure rate of the old version's calls, from 0 to 1.
    pub failure_rate: f64,
    /// The rollout policy.
    pub policy: RolloutPolicy,
    /// Time from the ticket to the deadline; `None` for no deadline.
    pub finish_within: Option<Duration>,
    /// Time from the ticket until the last new instance is past its cold start.
    pub cold_start: Duration,
    /// Ticks after which the simulation stops.
    pub max_ticks: u32,
    /// Seed of the generator.
    pub seed: u64,
}

/// How a simulated rollout ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// The rollout finished.
    Done {
        /// Tick of the last step, to the full share.
        full_at: u32,
        /// Whether the rollout met the deadline.
        is_on_time: bool,
    },
    /// The version was rolled back.
    RolledBack {
        /// Reason stored in the record.
        reason: String,
    },
    /// The rollout was still in progress at the last tick.
    Unfinished,
}

/// Result of one simulated rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// How the rollout ended.
    pub ending: Ending,
    /// Calls on the new version in total.
    pub new_calls: u64,
    /// Calls on the new version while its fault was active, up to the rollback.
    pub calls_since_fault: u64,
    /// Ticks from the first call with the fault active to the rollback.
    pub ticks_since_fault: u32,
    /// Highest share of the new version, in thousandths.
    pub max_share: u16,
}

impl Simulation {
    /// A simulation at 100 calls per second with Tanoa's policy and a deadline in ten minutes.
    #[must_use]
    pub fn new(behaviour: Behaviour, seed: u64) -> Self {
        Self {
            behaviour,
            calls_per_second: 100.0,
            failure_rate: 0.005,
            policy: crate::policy::tanoa(),
            finish_within: Some(Duration::from_mins(10)),
            cold_start: Duration::ZERO,
            max_ticks: 1_200,
            seed,
        }
    }

    /// Runs the simulation to the end of the rollout or to its last tick.
    #[must_use]
    pub fn run(&self) -> Outcome {
        let mut run = Run::new(self);
        for tick in 0..self.max_ticks {
            if run.tick(tick) == Progress::Ended {
                break;
            }
        }
        run.outcome
    }
}

impl Simulation {
    /// Number of new instances past their cold start; instances start one after the other.
    fn warm_instances(&self, time: Duration) -> usize {
        (0..service::INSTANCES)
            .filter(|instance| self.is_warm(*instance, time))
            .count()
    }

    fn is_warm(&self, instance: usize, time: Duration) -> bool {
        time * u32::try_from(service::INSTANCES).unwrap_or(1)
            >= self.cold_start * (u32::try_from(instance).unwrap_or(0) + 1)
    }
}

/// Whether a simulation continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Running,
    Ended,
}

struct Run<'a> {
    simulation: &'a Simulation,
    calls: Calls,
    state: State,
    controller: Controller,
    lease: LeaseWatch,
    origin: Instant,
    reports: Vec<EvidenceReport>,
    records: Vec<Record>,
    rollbacks: Vec<RollbackFact>,
    /// Time of the last step.
    last_step_at: UnixMillis,
    outcome: Outcome,
}

impl<'a> Run<'a> {
    fn new(simulation: &'a Simulation) -> Self {
        let finish_by = simulation.finish_within.map(|time| START + millis(time));
        Self {
            simulation,
            calls: Calls::new(simulation),
            state: service::state(&simulation.policy, START, finish_by),
            controller: Controller::new(service::CONTROLLER.into(), 0),
            lease: LeaseWatch::default(),
            origin: Instant::now(),
            reports: Vec::new(),
            records: Vec::new(),
            rollbacks: Vec::new(),
            last_step_at: START,
            outcome: Outcome {
                ending: Ending::Unfinished,
                new_calls: 0,
                calls_since_fault: 0,
                ticks_since_fault: 0,
                max_share: 0,
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
                self.last_step_at = wall_time(tick);
            }
            service::apply(&mut self.state, record, wall_time(tick));
        }
        let Some(report) = self.state.ends.back() else {
            return Progress::Running;
        };
        self.outcome.ending = self.ending(&report.end);
        Progress::Ended
    }

    fn run_calls(&mut self, tick: u32) {
        let share = service::share(&self.state);
        let tick_calls = self.calls.run(tick, share);
        self.outcome.max_share = self.outcome.max_share.max(share);
        self.outcome.new_calls += tick_calls.new;
        self.outcome.calls_since_fault += tick_calls.faulty;
        let has_begun = self.outcome.calls_since_fault > 0;
        self.outcome.ticks_since_fault += u32::from(has_begun);
    }

    fn decide(&mut self, tick: u32) {
        let now = TickTime {
            monotonic: self.origin + TICK_INTERVAL * tick,
            wall: wall_time(tick),
        };
        let view = ClusterView {
            state: &self.state,
            members: &[service::CONTROLLER.into()],
            rollbacks: &self.rollbacks,
            warm_slots: &service::slots(self.simulation.warm_instances(TICK_INTERVAL * tick)),
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
                Action::BroadcastRollback(fact) => self.rollbacks.push(fact),
            }
        }
    }

    fn ending(&self, end: &RolloutOutcome) -> Ending {
        let full_at = (self.last_step_at - START) / millis(TICK_INTERVAL);
        let done = |is_on_time| Ending::Done {
            full_at: u32::try_from(full_at).unwrap_or(u32::MAX),
            is_on_time,
        };
        match end {
            RolloutOutcome::Done => done(true),
            RolloutOutcome::DoneLate { .. } => done(false),
            RolloutOutcome::RolledBack { reason } => Ending::RolledBack {
                reason: reason.to_string(),
            },
            RolloutOutcome::Superseded { .. } => Ending::Unfinished,
        }
    }
}

fn wall_time(tick: u32) -> UnixMillis {
    START + millis(TICK_INTERVAL * tick)
}

#[cfg(test)]
pub(crate) use crate::simulation::service::state as rollout_state;

/// Applies a record to a state as the fold does.
#[cfg(test)]
pub(crate) fn fold(state: &mut State, record: &Record) {
    service::apply(state, record.clone(), START);
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
