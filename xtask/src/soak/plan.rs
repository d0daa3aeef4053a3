//! The fault plan of a run, which depends only on the seed so that a run can be repeated.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Number of a machine, from 0.
pub type MachineId = usize;

/// Which actions a plan may contain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanKind {
    /// Restarts by SIGTERM, reloads, configurations, rollouts and draining, which must lose no
    /// request.
    Planned,
    /// All planned operations and all faults.
    Mixed,
}

/// A network link that a fault can affect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Clients to the daemon.
    Clients,
    /// The daemon to the instance next to it.
    Instance,
    /// The daemon to the store.
    Store,
}

/// How a link handles data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards data at once.
    Pass,
    /// Forwards data after this many milliseconds.
    Delay(u64),
    /// Discards data in both directions.
    Blackhole,
    /// Discards data from the server to the client.
    BlackholeReplies,
}

/// A planned operation or fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Publishes a new configuration.
    Configure,
    /// Orders the rollout of a new version of a service.
    Rollout {
        /// Whether the new version fails most of its requests.
        is_bad: bool,
    },
    /// The instance announces that it drains, deregisters, and starts again under a new name.
    Drain(MachineId),
    /// The instance says in its answers only that it leaves, deregisters, and starts again under a new
    /// name.
    LeaveByAnswers(MachineId),
    /// The instance deregisters without having announced that it drains, goes on serving for a while, and
    /// starts again under a new name.
    Deregister(MachineId),
    /// The instance states this limit in its answers, in tenths of requests a second, for this many
    /// milliseconds.
    LimitRequests(MachineId, u16, u64),
    /// Sends SIGHUP.
    Reload(MachineId),
    /// Sends SIGTERM, and starts a new process after the exit.
    Restart(MachineId),
    /// Sends SIGKILL, and starts a new process.
    Kill(MachineId),
    /// Sends SIGKILL to all daemons, and starts new processes.
    KillAll,
    /// Sends SIGSTOP, and SIGCONT after this many milliseconds.
    Pause(MachineId, u64),
    /// Sets the mode of a link for this many milliseconds.
    Degrade(MachineId, Link, LinkMode, u64),
    /// Closes all connections of a link.
    Disconnect(MachineId, Link),
    /// The instance runs requests but does not respond to some, for this many milliseconds.
    LoseResponses(MachineId, u64),
    /// The instance fails or rejects requests or mixes up responses, for this many milliseconds.
    Fail(MachineId, u64),
    /// The store refuses all requests for this many milliseconds.
    StoreDown(u64),
    /// The store executes appends but does not respond, for this many milliseconds.
    StoreLosesResponses(u64),
    /// The store deletes all records except the newest of each key.
    CompactStore,
    /// The store begins a new era, in which the newest records have other, lower offsets.
    RenumberStore,
}

impl Action {
    /// Returns whether this is a planned operation of the operator or the platform, which must not
    /// lose requests.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Configure
                | Self::Rollout { .. }
                | Self::Drain(_)
                | Self::LeaveByAnswers(_)
                | Self::Deregister(_)
                | Self::LimitRequests(..)
                | Self::Reload(_)
                | Self::Restart(_)
        )
    }
}

/// An action at a point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Time since the start of the plan, when all daemons are ready.
    pub at: Duration,
    /// Action to take.
    pub action: Action,
}

/// Mean time between two steps. Most faults last longer, so that several overlap.
const STEP_INTERVAL: Duration = Duration::from_millis(450);

/// First seed with statements of instances and of the store. Earlier ones keep the plans under which
/// they are listed.
const FIRST_SEED_WITH_NOTICES: u64 = 10_000;

/// First seed in which instances deregister first, and daemons are killed right after that.
const FIRST_SEED_WITH_DEPARTURES: u64 = 80_000;

/// Mean time between two departures.
const DEPARTURE_INTERVAL: Duration = Duration::from_millis(900);

/// Range of the time from a departure to the kill of its daemon, in milliseconds.
const KILL_DELAY_MS: std::ops::Range<u64> = 5..600;

/// Mean time between two statements.
const NOTICE_INTERVAL: Duration = Duration::from_millis(800);

/// Limits that instances state, in tenths of requests a second.
const LIMITS: [u16; 6] = [0, 3, 10, 40, 100, 250];

/// The rollout is ordered at the plan's length divided by this, so that it ends before the plan
/// does.
const ROLLOUT_START_DIVISOR: u32 = 6;

/// Generates the plan of a seed.
pub fn draw(seed: u64, length: Duration, machines: usize) -> (PlanKind, Vec<Step>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let plan_kind = match seed % 3 {
        0 => PlanKind::Planned,
        _ => PlanKind::Mixed,
    };
    let mut steps = vec![Step {
        at: length / ROLLOUT_START_DIVISOR,
        action: Action::Rollout {
            is_bad: rng.random_bool(0.5),
        },
    }];
    let mut at = Duration::ZERO;
    loop {
        at += STEP_INTERVAL.mul_f64(rng.random_range(0.1..1.9));
        if at >= length {
            break;
        }
        // Some actions repeat in quick succession.
        let action = draw_action(&mut rng, plan_kind, machines);
        let repeats = if rng.random_bool(0.15) {
            rng.random_range(2..6)
        } else {
            1
        };
        for repeat in 0..repeats {
            let at = at + Duration::from_millis(60) * repeat;
            steps.push(Step {
                at,
                action: on_other_machine(action, repeat as usize, machines),
            });
        }
    }
    if seed >= FIRST_SEED_WITH_NOTICES {
        steps.extend(draw_notices(seed, plan_kind, length, machines));
    }
    if seed >= FIRST_SEED_WITH_DEPARTURES {
        steps.extend(draw_departures(seed, plan_kind, length, machines));
    }
    steps.sort_by_key(|step| step.at);
    (plan_kind, steps)
}

/// Draws the statements of instances and of the store.
fn draw_notices(
    seed: u64,
    plan_kind: PlanKind,
    length: Duration,
    machines: usize,
) -> impl Iterator<Item = Step> {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let mut at = Duration::ZERO;
    std::iter::from_fn(move || {
        at += NOTICE_INTERVAL.mul_f64(rng.random_range(0.1..1.9));
        let machine = rng.random_range(0..machines);
        let limit = LIMITS[rng.random_range(0..LIMITS.len())];
        let ms = rng.random_range(4000..9000);
        let action = match rng.random_range(0..8) {
            0..5 => Action::LimitRequests(machine, limit, ms),
            7 if plan_kind == PlanKind::Mixed => Action::RenumberStore,
            _ => Action::LeaveByAnswers(machine),
        };
        (at < length).then_some(Step { at, action })
    })
}

/// Draws instances that deregister first, and in plans with faults kills shortly after.
fn draw_departures(seed: u64, plan_kind: PlanKind, length: Duration, machines: usize) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(32));
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += DEPARTURE_INTERVAL.mul_f64(rng.random_range(0.1..1.9));
        if at >= length {
            return steps;
        }
        let machine = rng.random_range(0..machines);
        steps.push(Step {
            at,
            action: Action::Deregister(machine),
        });
        let kill = match rng.random_range(0..10) {
            0..6 => Action::Kill(machine),
            6 => Action::KillAll,
            _ => continue,
        };
        if plan_kind == PlanKind::Mixed {
            let delay = Duration::from_millis(rng.random_range(KILL_DELAY_MS));
            steps.push(Step {
                at: at + delay,
                action: kill,
            });
        }
    }
}

fn draw_action(rng: &mut SmallRng, plan_kind: PlanKind, machines: usize) -> Action {
    let machine = rng.random_range(0..machines);
    let ms = rng.random_range(200..2500);
    let kinds = match plan_kind {
        PlanKind::Planned => 8,
        PlanKind::Mixed => 24,
    };
    let link = [Link::Clients, Link::Instance, Link::Store][rng.random_range(0..3)];
    match rng.random_range(0..kinds) {
        0..3 => Action::Configure,
        3..5 => Action::Drain(machine),
        5 => Action::Reload(machine),
        6..8 => Action::Restart(machine),
        8..10 => Action::Kill(machine),
        10..12 => Action::Pause(machine, ms),
        12 => Action::Degrade(machine, link, LinkMode::Delay(rng.random_range(5..300)), ms),
        13 => Action::Degrade(machine, link, LinkMode::Blackhole, ms),
        14 => Action::Degrade(machine, link, LinkMode::BlackholeReplies, ms),
        15..17 => Action::Disconnect(machine, link),
        17..19 => Action::LoseResponses(machine, ms),
        19 => Action::Fail(machine, ms),
        20 => Action::StoreDown(ms * 2),
        21 => Action::StoreLosesResponses(ms),
        22 => Action::CompactStore,
        _ if rng.random_bool(0.3) => Action::KillAll,
        _ => Action::Kill(machine),
    }
}

/// Returns the same action on another machine, for kinds that are repeated across machines.
fn on_other_machine(action: Action, by: usize, machines: usize) -> Action {
    let other = |machine: MachineId| (machine + by) % machines;
    match action {
        Action::Drain(machine) => Action::Drain(other(machine)),
        Action::Restart(machine) => Action::Restart(other(machine)),
        Action::Kill(machine) => Action::Kill(other(machine)),
        Action::Pause(machine, ms) => Action::Pause(other(machine), ms),
        Action::Degrade(machine, link, mode, ms) => Action::Degrade(other(machine), link, mode, ms),
        action => action,
    }
}
