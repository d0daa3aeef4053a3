//! The faults of one run: drawn from its seed alone, so that a seed can be played again.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Number of a machine.
pub type MachineId = usize;

/// What a run may contain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flavour {
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
pub enum Manner {
    /// Passes them on.
    Pass,
    /// Passes them on late, by this many milliseconds.
    Delay(u64),
    /// Swallows them, in both directions.
    Silent,
    /// Swallows what comes back.
    OneWay,
}

/// One fault or change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Act {
    /// A new configuration.
    Configure,
    /// An order to move a service; the version may be bad.
    Move {
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
    Bend(MachineId, Link, Manner, u64),
    /// The connections of a link break.
    Break(MachineId, Link),
    /// The instance runs requests and loses some answers, for this many milliseconds.
    LoseAnswers(MachineId, u64),
    /// The instance fails, rejects or mixes up requests, for this many milliseconds.
    Fail(MachineId, u64),
    /// The store refuses all calls, for this many milliseconds.
    StoreDown(u64),
    /// The store does appends and does not answer, for this many milliseconds.
    StoreLosesAnswers(u64),
    /// The store forgets its history, but the newest record of each key.
    StoreForgets,
}

impl Act {
    /// Whether the operator or the platform plans it; requests must survive it.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Configure
                | Self::Move { .. }
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
    pub act: Act,
}

/// Mean time between two steps; several overlap, since most last longer.
const STEP_EVERY: Duration = Duration::from_millis(450);

/// The move is ordered at this part of the run, so that its end falls into it.
const MOVE_PART: u32 = 6;

/// The plan of a seed.
pub fn draw(seed: u64, length: Duration, machines: usize) -> (Flavour, Vec<Step>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let flavour = match seed % 3 {
        0 => Flavour::Planned,
        _ => Flavour::Mixed,
    };
    let mut steps = vec![Step {
        at: length / MOVE_PART,
        act: Act::Move {
            is_bad: rng.random_bool(0.5),
        },
    }];
    let mut at = Duration::ZERO;
    loop {
        at += STEP_EVERY.mul_f64(rng.random_range(0.1..1.9));
        if at >= length {
            break;
        }
        // Changes, signals and restarts come in series as well.
        let act = draw_act(&mut rng, flavour, machines);
        let repeats = if rng.random_bool(0.15) {
            rng.random_range(2..6)
        } else {
            1
        };
        for repeat in 0..repeats {
            let at = at + Duration::from_millis(60) * repeat;
            steps.push(Step {
                at,
                act: elsewhere(act, repeat as usize, machines),
            });
        }
    }
    steps.sort_by_key(|step| step.at);
    (flavour, steps)
}

fn draw_act(rng: &mut SmallRng, flavour: Flavour, machines: usize) -> Act {
    let machine = rng.random_range(0..machines);
    let ms = rng.random_range(200..2500);
    let kinds = match flavour {
        Flavour::Planned => 8,
        Flavour::Mixed => 24,
    };
    let link = [Link::Clients, Link::Instance, Link::Store][rng.random_range(0..3)];
    match rng.random_range(0..kinds) {
        0..3 => Act::Configure,
        3..5 => Act::Drain(machine),
        5 => Act::Reload(machine),
        6..8 => Act::Restart(machine),
        8..10 => Act::Kill(machine),
        10..12 => Act::Pause(machine, ms),
        12 => Act::Bend(machine, link, Manner::Delay(rng.random_range(5..300)), ms),
        13 => Act::Bend(machine, link, Manner::Silent, ms),
        14 => Act::Bend(machine, link, Manner::OneWay, ms),
        15..17 => Act::Break(machine, link),
        17..19 => Act::LoseAnswers(machine, ms),
        19 => Act::Fail(machine, ms),
        20 => Act::StoreDown(ms * 2),
        21 => Act::StoreLosesAnswers(ms),
        22 => Act::StoreForgets,
        _ if rng.random_bool(0.3) => Act::KillAll,
        _ => Act::Kill(machine),
    }
}

/// The same act at another machine.
fn elsewhere(act: Act, by: usize, machines: usize) -> Act {
    let other = |machine: MachineId| (machine + by) % machines;
    match act {
        Act::Drain(machine) => Act::Drain(other(machine)),
        Act::Restart(machine) => Act::Restart(other(machine)),
        Act::Kill(machine) => Act::Kill(other(machine)),
        Act::Pause(machine, ms) => Act::Pause(other(machine), ms),
        Act::Bend(machine, link, manner, ms) => Act::Bend(other(machine), link, manner, ms),
        act => act,
    }
}
