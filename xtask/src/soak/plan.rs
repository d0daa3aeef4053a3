//! The faults of one run: drawn from its seed alone, so that a seed can be played again.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Number of a machine.
pub type MachineId = usize;

/// What a run may contain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanKind {
    /// Restarts by SIGTERM, reloads, changes, moves and instances that leave; nothing is lost by it.
    Planned,
    /// All faults.
    Mixed,
}

/// A way between two parties that a fault can hit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Clients to the daemon.
    Clients,
    /// The daemon to the instance beside it.
    Instance,
    /// The daemon to the store.
    Store,
}

/// What a link does with bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkMode {
    /// Passes them on.
    Pass,
    /// Passes them on late, by this many milliseconds.
    Delay(u64),
    /// Swallows them, in both directions.
    Blackhole,
    /// Swallows what comes back.
    BlackholeReplies,
}

/// One fault or change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// A new configuration.
    Configure,
    /// An order to move a service; the version may be bad.
    Rollout {
        /// Whether the version fails most of its requests.
        is_bad: bool,
    },
    /// The instance says that it drains, leaves, and another one starts.
    Drain(MachineId),
    /// SIGHUP.
    Reload(MachineId),
    /// SIGTERM, and a new process once it has ended.
    Restart(MachineId),
    /// SIGKILL, and a new process.
    Kill(MachineId),
    /// SIGKILL to all, and new processes.
    KillAll,
    /// SIGSTOP, for this many milliseconds.
    Pause(MachineId, u64),
    /// A link behaves otherwise, for this many milliseconds.
    Degrade(MachineId, Link, LinkMode, u64),
    /// The connections of a link break.
    Disconnect(MachineId, Link),
    /// The instance runs requests and loses some answers, for this many milliseconds.
    LoseResponses(MachineId, u64),
    /// The instance fails, rejects or mixes up requests, for this many milliseconds.
    Fail(MachineId, u64),
    /// The store refuses all calls, for this many milliseconds.
    StoreDown(u64),
    /// The store does appends and does not answer, for this many milliseconds.
    StoreLosesResponses(u64),
    /// The store forgets its history, but the newest record of each key.
    CompactStore,
}

impl Action {
    /// Whether the operator or the platform plans it; requests must survive it.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Configure
                | Self::Rollout { .. }
                | Self::Drain(_)
                | Self::Reload(_)
                | Self::Restart(_)
        )
    }
}

/// One step of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Time since the start of traffic.
    pub at: Duration,
    /// What happens then.
    pub action: Action,
}

/// Mean time between two steps; several overlap, since most last longer.
const STEP_INTERVAL: Duration = Duration::from_millis(450);

/// The move is ordered at this part of the run, so that its end falls into it.
const ROLLOUT_START_DIVISOR: u32 = 6;

/// The plan of a seed.
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
        // Changes, signals and restarts come in series as well.
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
    steps.sort_by_key(|step| step.at);
    (plan_kind, steps)
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

/// The same action at another machine.
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
