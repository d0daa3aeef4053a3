//! Simulated calls, and the call counts that daemons report.

use std::collections::BTreeMap;
use std::time::Duration;

use base::FULL_SHARE;
use base::Share;
use protocol::evidence::CallCounts;
use protocol::evidence::EvidenceReport;
use protocol::evidence::Warmth;

use crate::controller::TICK_INTERVAL;
use crate::simulation::Simulation;
use crate::simulation::service::INSTANCES;
use crate::simulation::service::NEW;
use crate::simulation::service::OLD;
use crate::simulation::service::SERVICE;

/// Routes with their fractions of the calls.
const ROUTES: [(&str, f64); 3] = [("/book", 0.5), ("/pay", 0.3), ("/cancel", 0.2)];

/// Route that fails with [`Behaviour::FailsOnOneRoute`].
const FAULTY_ROUTE: &str = "/cancel";

/// Mean latency of a call outside the tail.
const LATENCY: Duration = Duration::from_millis(8);

/// Fraction of calls that take [`TAIL_FACTOR`] times as long.
const TAIL_FRACTION: f64 = 0.03;
const TAIL_FACTOR: f64 = 5.0;

/// Latency factors of a slow version and of a cold instance.
const SLOW_FACTOR: f64 = 3.0;
const COLD_FACTOR: f64 = 8.0;

/// Time from the ticket to the start of the fault with [`Behaviour::FailsLater`].
const LATE_FAULT_START: Duration = Duration::from_mins(2);

/// Share, in thousandths, above which [`Behaviour::FailsUnderLoad`] fails.
const LOAD_FAULT_SHARE: Share = 300;

/// Failure rates of faulty versions.
const SOME_FAILURE_RATE: f64 = 0.2;
const HALF_FAILURE_RATE: f64 = 0.5;

/// Behaviour of a new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Behaviour {
    /// No worse than the old version.
    Good,
    /// Every call fails.
    FailsAtOnce,
    /// One call in five fails.
    FailsSome,
    /// Calls take three times as long.
    Slow,
    /// Half of the calls fail, beginning two minutes after the ticket.
    FailsLater,
    /// Half of the calls fail while the share is above three tenths.
    FailsUnderLoad,
    /// Half of the calls fail on one route, which receives a fifth of the calls.
    FailsOnOneRoute,
}

impl Behaviour {
    /// All faulty behaviours.
    pub const BAD: [Self; 6] = [
        Self::FailsAtOnce,
        Self::FailsSome,
        Self::Slow,
        Self::FailsLater,
        Self::FailsUnderLoad,
        Self::FailsOnOneRoute,
    ];
}

/// A small seeded generator with reproducible numbers.
#[derive(Debug, Clone)]
pub struct SplitMix64(u64);

impl SplitMix64 {
    /// Creates a generator from a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns a number from 0 up to but not including 1.
    #[allow(clippy::cast_precision_loss)]
    pub fn next_f64(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns true with the given probability.
    pub fn next_bool(&mut self, probability: f64) -> bool {
        self.next_f64() < probability
    }

    /// Rounds `mean` up or down at random, so that the expected value is `mean`.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn stochastic_round(&mut self, mean: f64) -> u64 {
        mean.floor() as u64 + u64::from(self.next_bool(mean.fract()))
    }

    fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }
}

/// Calls of one tick on the new version.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TickCalls {
    pub(crate) new: u64,
    /// Calls made while the fault was active.
    pub(crate) faulty: u64,
}

/// Call counters of all instances.
pub(crate) struct Calls {
    simulation: Simulation,
    random: SplitMix64,
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
    pub(crate) fn new(simulation: &Simulation) -> Self {
        Self {
            simulation: simulation.clone(),
            random: SplitMix64::new(simulation.seed),
            old: Default::default(),
            new: Default::default(),
            sequence: 0,
        }
    }

    pub(crate) fn run(&mut self, tick: u32, share: Share) -> TickCalls {
        let cx = Conditions {
            share,
            time: TICK_INTERVAL * tick,
        };
        let mut tick_calls = TickCalls::default();
        for _ in 0..self
            .random
            .stochastic_round(self.simulation.calls_per_second)
        {
            let route = self.route();
            let is_new = self
                .random
                .next_bool(f64::from(share) / f64::from(FULL_SHARE));
            if !is_new {
                self.run_old_call(route);
                continue;
            }
            self.run_new_call(route, cx);
            tick_calls.new += 1;
            tick_calls.faulty += u64::from(self.is_fault_active(cx));
        }
        tick_calls
    }

    /// Returns one report per instance.
    pub(crate) fn reports(&mut self) -> Vec<EvidenceReport> {
        self.sequence += 1;
        let old = self.old.iter().map(|counters| (OLD, counters));
        let new = self.new.iter().map(|counters| (NEW, counters));
        old.chain(new)
            .enumerate()
            .map(|(index, (version, counters))| report(index, self.sequence, version, counters))
            .collect()
    }

    fn run_old_call(&mut self, route: &'static str) {
        let is_failure = self.random.next_bool(self.simulation.failure_rate);
        let took = self.latency(1.0);
        let counters = &mut self.old[self.random.next_instance()];
        count(counters, route, is_failure, took, Warmth::Warm);
    }

    fn run_new_call(&mut self, route: &'static str, cx: Conditions) {
        let instance = self.random.next_instance();
        let is_cold = !self.simulation.is_warm(instance, cx.time);
        let rate = self.simulation.failure_rate.max(self.fault_rate(route, cx));
        let is_failure = self.random.next_bool(rate);
        let slow = match self.simulation.behaviour {
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
        if !self.is_fault_active(cx) {
            return 0.0;
        }
        match self.simulation.behaviour {
            Behaviour::Good | Behaviour::Slow => 0.0,
            Behaviour::FailsAtOnce => 1.0,
            Behaviour::FailsSome => SOME_FAILURE_RATE,
            Behaviour::FailsOnOneRoute if route != FAULTY_ROUTE => 0.0,
            Behaviour::FailsLater | Behaviour::FailsUnderLoad | Behaviour::FailsOnOneRoute => {
                HALF_FAILURE_RATE
            }
        }
    }

    fn is_fault_active(&self, cx: Conditions) -> bool {
        match self.simulation.behaviour {
            Behaviour::Good => false,
            Behaviour::FailsLater => cx.time >= LATE_FAULT_START,
            Behaviour::FailsUnderLoad => cx.share > LOAD_FAULT_SHARE,
            Behaviour::FailsAtOnce
            | Behaviour::FailsSome
            | Behaviour::Slow
            | Behaviour::FailsOnOneRoute => true,
        }
    }

    fn latency(&mut self, factor: f64) -> Duration {
        let spread = 0.6 + 0.8 * self.random.next_f64();
        let tail = if self.random.next_bool(TAIL_FRACTION) {
            TAIL_FACTOR
        } else {
            1.0
        };
        LATENCY.mul_f64(factor * spread * tail)
    }

    fn route(&mut self) -> &'static str {
        let mut left = self.random.next_f64();
        for (route, fraction) in ROUTES {
            if left < fraction {
                return route;
            }
            left -= fraction;
        }
        ROUTES[0].0
    }
}

impl SplitMix64 {
    #[allow(clippy::cast_possible_truncation)]
    fn next_instance(&mut self) -> usize {
        (self.next_u64() % INSTANCES as u64) as usize
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
