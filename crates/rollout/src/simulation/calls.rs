//! Simulated calls and the counts that the daemons make of them.

use std::collections::BTreeMap;
use std::time::Duration;

use base::FULL_SHARE;
use base::Share;
use protocol::evidence::CallCounts;
use protocol::evidence::EvidenceReport;
use protocol::evidence::Warmth;

use crate::controller::TICK_INTERVAL;
use crate::simulation::Simulation;
use crate::simulation::fleet::INSTANCES;
use crate::simulation::fleet::NEW;
use crate::simulation::fleet::OLD;
use crate::simulation::fleet::SERVICE;

/// Routes with their parts of the calls.
const ROUTES: [(&str, f64); 3] = [("/book", 0.5), ("/pay", 0.3), ("/cancel", 0.2)];

/// The route on which a version with a fault on one route fails.
const FAULTY_ROUTE: &str = "/cancel";

/// Usual time of a call.
const LATENCY: Duration = Duration::from_millis(8);

/// Part of the calls that take [`TAIL_FACTOR`] times as long.
const TAIL: f64 = 0.03;
const TAIL_FACTOR: f64 = 5.0;

/// How much slower a slow version or a cold instance is.
const SLOW_FACTOR: f64 = 3.0;
const COLD_FACTOR: f64 = 8.0;

/// Time from the ticket at which the fault of a version that turns bad later begins.
const LATER: Duration = Duration::from_mins(2);

/// Share above which a version with a fault under load fails.
const LOAD_LIMIT: Share = 300;

/// Part of the calls that fail.
const SOME: f64 = 0.2;
const HALF: f64 = 0.5;

/// What a new version does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Behaviour {
    /// Nothing worse than the old one.
    Good,
    /// Every call fails.
    FailsAtOnce,
    /// One call in five fails.
    FailsSome,
    /// Calls take three times as long.
    Slow,
    /// Half of the calls fail from two minutes after the ticket on.
    FailsLater,
    /// Half of the calls fail while the share is above three tenths.
    FailsUnderLoad,
    /// Half of the calls on one route fail, which has a fifth of the calls.
    FailsOnOneRoute,
}

impl Behaviour {
    /// All kinds of bad version.
    pub const BAD: [Self; 6] = [
        Self::FailsAtOnce,
        Self::FailsSome,
        Self::Slow,
        Self::FailsLater,
        Self::FailsUnderLoad,
        Self::FailsOnOneRoute,
    ];
}

/// A small seeded generator.
#[derive(Debug, Clone)]
pub struct Random(u64);

impl Random {
    /// A generator whose numbers follow from the seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// The next number, from 0 up to but not including 1.
    #[allow(clippy::cast_precision_loss)]
    pub fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Whether something of this probability happens.
    pub fn is_hit(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// A whole number with this mean, one of the two nearest.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn count(&mut self, mean: f64) -> u64 {
        mean.floor() as u64 + u64::from(self.is_hit(mean.fract()))
    }

    fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }
}

/// Calls of one tick on the new version.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Counted {
    pub(crate) new: u64,
    /// Those of them that were made after the fault began.
    pub(crate) faulty: u64,
}

/// All instances' counters.
pub(crate) struct Calls {
    trial: Simulation,
    random: Random,
    old: [Counters; INSTANCES],
    new: [Counters; INSTANCES],
    sequence: u64,
}

type Counters = BTreeMap<&'static str, CallCounts>;

#[derive(Debug, Clone, Copy)]
struct Conditions {
    share: Share,
    time: Duration,
}

impl Calls {
    pub(crate) fn new(trial: &Simulation) -> Self {
        Self {
            trial: trial.clone(),
            random: Random::new(trial.seed),
            old: Default::default(),
            new: Default::default(),
            sequence: 0,
        }
    }

    pub(crate) fn run(&mut self, tick: u32, share: Share) -> Counted {
        let cx = Conditions {
            share,
            time: TICK_INTERVAL * tick,
        };
        let mut counted = Counted::default();
        for _ in 0..self.random.count(self.trial.calls_per_second) {
            let route = self.route();
            let is_new = self.random.is_hit(f64::from(share) / f64::from(FULL_SHARE));
            if !is_new {
                self.old_call(route);
                continue;
            }
            self.new_call(route, cx);
            counted.new += 1;
            counted.faulty += u64::from(self.has_fault(cx));
        }
        counted
    }

    /// The reports of all daemons.
    pub(crate) fn reports(&mut self) -> Vec<EvidenceReport> {
        self.sequence += 1;
        let old = self.old.iter().map(|counters| (OLD, counters));
        let new = self.new.iter().map(|counters| (NEW, counters));
        old.chain(new)
            .enumerate()
            .map(|(index, (version, counters))| report(index, self.sequence, version, counters))
            .collect()
    }

    fn old_call(&mut self, route: &'static str) {
        let is_failure = self.random.is_hit(self.trial.failure_rate);
        let took = self.latency(1.0);
        let counters = &mut self.old[self.random.instance()];
        count(counters, route, is_failure, took, Warmth::Warm);
    }

    fn new_call(&mut self, route: &'static str, cx: Conditions) {
        let instance = self.random.instance();
        let is_cold = !self.trial.is_warm(instance, cx.time);
        let rate = self.trial.failure_rate.max(self.fault_rate(route, cx));
        let is_failure = self.random.is_hit(rate);
        let slow = match self.trial.behaviour {
            Behaviour::Slow => SLOW_FACTOR,
            _ => 1.0,
        };
        let (cold, warmth) = if is_cold {
            (COLD_FACTOR, Warmth::Cold)
        } else {
            (1.0, Warmth::Warm)
        };
        let took = self.latency(slow * cold);
        let counters = &mut self.new[instance];
        count(counters, route, is_failure, took, warmth);
    }

    fn fault_rate(&self, route: &str, cx: Conditions) -> f64 {
        if !self.has_fault(cx) {
            return 0.0;
        }
        match self.trial.behaviour {
            Behaviour::Good | Behaviour::Slow => 0.0,
            Behaviour::FailsAtOnce => 1.0,
            Behaviour::FailsSome => SOME,
            Behaviour::FailsOnOneRoute if route != FAULTY_ROUTE => 0.0,
            Behaviour::FailsLater | Behaviour::FailsUnderLoad | Behaviour::FailsOnOneRoute => HALF,
        }
    }

    fn has_fault(&self, cx: Conditions) -> bool {
        match self.trial.behaviour {
            Behaviour::Good => false,
            Behaviour::FailsLater => cx.time >= LATER,
            Behaviour::FailsUnderLoad => cx.share > LOAD_LIMIT,
            Behaviour::FailsAtOnce
            | Behaviour::FailsSome
            | Behaviour::Slow
            | Behaviour::FailsOnOneRoute => true,
        }
    }

    fn latency(&mut self, factor: f64) -> Duration {
        let spread = 0.6 + 0.8 * self.random.unit();
        let tail = if self.random.is_hit(TAIL) {
            TAIL_FACTOR
        } else {
            1.0
        };
        LATENCY.mul_f64(factor * spread * tail)
    }

    fn route(&mut self) -> &'static str {
        let mut left = self.random.unit();
        for (route, part) in ROUTES {
            if left < part {
                return route;
            }
            left -= part;
        }
        ROUTES[0].0
    }
}

impl Random {
    #[allow(clippy::cast_possible_truncation)]
    fn instance(&mut self) -> usize {
        (self.bits() % INSTANCES as u64) as usize
    }
}

fn count(
    counters: &mut Counters,
    route: &'static str,
    is_failure: bool,
    took: Duration,
    warmth: Warmth,
) {
    let counts = counters.entry(route).or_default();
    if is_failure {
        counts.add_failed();
    } else {
        counts.add_ok(took, warmth);
    }
}

fn report(index: usize, sequence: u64, version: &str, counters: &Counters) -> EvidenceReport {
    EvidenceReport {
        daemon: format!("suva-a-{index}").into(),
        incarnation: 1,
        sequence,
        service: SERVICE.into(),
        version: version.into(),
        in_flight: 1,
        routes: counters
            .iter()
            .map(|(route, counts)| ((*route).into(), *counts))
            .collect(),
    }
}
