//! Moves drawn at random: the service, its target version and the disturbances meanwhile.

use std::fmt;
use std::ops::Range;
use std::time::Duration;

use rollout::simulation::SplitMix64;

/// Time from the order to its time budget.
pub const WITHIN: Duration = Duration::from_secs(16);

/// Requests a second of the service.
const REQUEST_RATES: Range<f64> = 3.0..1000.0;

/// Mean service time of a route in seconds.
const SERVICE_TIMES: Range<f64> = 0.02..0.3;

/// Timeouts of routes in seconds.
const TIMEOUTS: [f64; 3] = [1.0, 2.0, 4.0];

/// Failure rates and slowdowns of bad versions.
const FAILURE_RATES: [f64; 4] = [0.02, 0.05, 0.2, 1.0];
const SLOWDOWNS: [f64; 4] = [2.0, 3.0, 5.0, 12.0];

/// Part of the time of a move after which no fault begins: no decision prevents one of a version in use.
const LATEST_FAULT: f64 = 0.8;

/// Shares from which on versions that are bad under load only are.
const LOADED_SHARES: [f64; 3] = [0.2, 0.4, 0.9];

const MAX_ROUTES: usize = 6;
const MAX_INSTANCES: usize = 4;

/// Degradation of the old version or of the services that it calls, as its failure rate and its slowdown.
const DEGRADED_FAILURE_RATES: [f64; 3] = [0.2, 0.6, 1.0];
const DEGRADED_SLOWDOWNS: [f64; 3] = [3.0, 6.0, 12.0];

/// Largest shares of reports that are lost or doubled, and delay of late ones.
const UNRELIABLE_REPORTS: f64 = 0.3;
const LATE_REPORTS: Duration = Duration::from_millis(600);

/// Which versions are bad in a trial, for tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Behaviour {
    Good,
    Fails(FaultTime),
    Slow(FaultTime),
}

/// When a bad version is bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultTime {
    AtOnce,
    Late,
    OnOneRoute,
    UnderLoad,
}

impl fmt::Display for Behaviour {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (what, when) = match self {
            Self::Good => return f.write_str("good"),
            Self::Fails(when) => ("fails", when),
            Self::Slow(when) => ("slow", when),
        };
        let when = match when {
            FaultTime::AtOnce => "at once",
            FaultTime::Late => "late",
            FaultTime::OnOneRoute => "on one route",
            FaultTime::UnderLoad => "under load",
        };
        write!(f, "{what} {when}")
    }
}

/// What disturbs a service or the decisions on its move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Disturbance {
    Nothing,
    OldFails,
    OldSlow,
    CalleesFail,
    CalleesSlow,
    ReportsLate,
    ReportsLost,
    ReportsDoubled,
    LeaderChanges,
    StoreAway,
    /// The first route has a timeout below its service time.
    RouteAlwaysFails,
}

impl Disturbance {
    const ALL: [Self; 11] = [
        Self::Nothing,
        Self::OldFails,
        Self::OldSlow,
        Self::CalleesFail,
        Self::CalleesSlow,
        Self::ReportsLate,
        Self::ReportsLost,
        Self::ReportsDoubled,
        Self::LeaderChanges,
        Self::StoreAway,
        Self::RouteAlwaysFails,
    ];

    /// Whether a good version can complete in its time: neither its service nor the store fails meanwhile.
    pub fn leaves_time(self) -> bool {
        matches!(
            self,
            Self::Nothing
                | Self::ReportsLate
                | Self::ReportsLost
                | Self::ReportsDoubled
                | Self::LeaderChanges
                | Self::RouteAlwaysFails
        )
    }
}

impl fmt::Display for Disturbance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Nothing => "nothing",
            Self::OldFails => "old version fails",
            Self::OldSlow => "old version is slow",
            Self::CalleesFail => "callees fail",
            Self::CalleesSlow => "callees are slow",
            Self::ReportsLate => "reports are late",
            Self::ReportsLost => "reports are lost",
            Self::ReportsDoubled => "reports are doubled",
            Self::LeaderChanges => "leader changes",
            Self::StoreAway => "store is away",
            Self::RouteAlwaysFails => "route always fails",
        })
    }
}

/// Failure rate and slowdown that are added to the usual ones.
#[derive(Debug, Clone, Copy)]
pub struct Degradation {
    /// Share of the answers that fail.
    pub failing: f64,
    /// Factor of the service time.
    pub slower: f64,
}

const HEALTHY: Degradation = Degradation {
    failing: 0.0,
    slower: 1.0,
};

/// One route of the service.
#[derive(Debug, Clone, Copy)]
pub struct SimulatedRoute {
    /// Requests a second.
    pub per_sec: f64,
    /// Mean service time.
    pub time: Duration,
    /// Time after which a request fails.
    pub timeout: Duration,
}

/// A drawn move.
#[derive(Debug, Clone)]
pub struct Trial {
    pub routes: Vec<SimulatedRoute>,
    pub old_instances: usize,
    pub new_instances: usize,
    pub behaviour: Behaviour,
    /// What is wrong with the target while it is bad.
    pub fault: Degradation,
    /// Share of the requests from which on a target is bad that is so under load.
    pub loaded_share: f64,
    /// Time at which a target becomes bad that is so late.
    pub late_at: Duration,
    pub disturbance: Disturbance,
    /// What a disturbance of the service does to its answers.
    pub degradation: Degradation,
    /// Time of the disturbance.
    pub span: Range<Duration>,
}

impl Trial {
    /// Draws a trial.
    pub fn draw(seed: u64) -> Self {
        let mut random = SplitMix64::new(seed);
        let mut routes = draw_routes(&mut random);
        let behaviour = draw_behaviour(&mut random);
        let disturbance = pick(&mut random, &Disturbance::ALL);
        if disturbance == Disturbance::RouteAlwaysFails {
            routes[0].timeout = routes[0].time / 2;
        }
        // A third of the disturbances are there when the order comes.
        let start = WITHIN.mul_f64((random.next_f64() * 1.35 - 0.45).max(0.0));
        Self {
            routes,
            old_instances: 1 + index(&mut random, MAX_INSTANCES),
            new_instances: 1 + index(&mut random, MAX_INSTANCES),
            behaviour,
            fault: match behaviour {
                Behaviour::Good => HEALTHY,
                Behaviour::Fails(_) => failing(pick(&mut random, &FAILURE_RATES)),
                Behaviour::Slow(_) => slower(pick(&mut random, &SLOWDOWNS)),
            },
            loaded_share: pick(&mut random, &LOADED_SHARES),
            late_at: WITHIN.mul_f64(random.next_f64() * LATEST_FAULT),
            disturbance,
            degradation: match disturbance {
                Disturbance::OldFails | Disturbance::CalleesFail => {
                    failing(pick(&mut random, &DEGRADED_FAILURE_RATES))
                }
                Disturbance::OldSlow | Disturbance::CalleesSlow => {
                    slower(pick(&mut random, &DEGRADED_SLOWDOWNS))
                }
                _ => HEALTHY,
            },
            span: start..start + WITHIN.mul_f64(0.1 + 0.5 * random.next_f64()),
        }
    }

    /// Names what is wrong with the target, for tables.
    pub fn strength(&self) -> String {
        match self.behaviour {
            Behaviour::Good => "good".to_owned(),
            Behaviour::Fails(_) => format!("fails {:>3.0} %", self.fault.failing * 100.0),
            Behaviour::Slow(_) => format!("slower x {:>2.0}", self.fault.slower),
        }
    }

    /// Returns the requests a second on all routes.
    pub fn per_sec(&self) -> f64 {
        self.routes.iter().map(|route| route.per_sec).sum()
    }

    /// Whether the disturbance lasts at a time after the order.
    pub fn is_disturbed(&self, at: Duration) -> bool {
        self.disturbance != Disturbance::Nothing && self.span.contains(&at)
    }

    /// Returns what is wrong with the old version.
    pub fn old_degradation(&self, at: Duration) -> Degradation {
        match self.disturbance {
            Disturbance::OldFails | Disturbance::OldSlow if self.is_disturbed(at) => {
                self.degradation
            }
            _ => self.callee_degradation(at),
        }
    }

    /// Returns what is wrong with the services that both versions call.
    pub fn callee_degradation(&self, at: Duration) -> Degradation {
        match self.disturbance {
            Disturbance::CalleesFail | Disturbance::CalleesSlow if self.is_disturbed(at) => {
                self.degradation
            }
            _ => HEALTHY,
        }
    }

    /// Whether the target is bad at this time and share of the requests, on the route with this number.
    pub fn is_bad(&self, at: Duration, share: f64, route: usize) -> bool {
        let (Behaviour::Fails(when) | Behaviour::Slow(when)) = self.behaviour else {
            return false;
        };
        match when {
            FaultTime::AtOnce => true,
            FaultTime::Late => at >= self.late_at,
            FaultTime::OnOneRoute => route == 0,
            FaultTime::UnderLoad => share >= self.loaded_share,
        }
    }

    /// Returns how long reports take beyond their usual time.
    pub fn report_delay(&self, at: Duration) -> Duration {
        if self.disturbance == Disturbance::ReportsLate && self.is_disturbed(at) {
            LATE_REPORTS
        } else {
            Duration::ZERO
        }
    }

    /// Returns the share of reports to which something happens.
    pub fn unreliable_reports(&self, disturbance: Disturbance, at: Duration) -> f64 {
        if self.disturbance == disturbance && self.is_disturbed(at) {
            UNRELIABLE_REPORTS
        } else {
            0.0
        }
    }
}

fn failing(failing: f64) -> Degradation {
    Degradation { failing, ..HEALTHY }
}

fn slower(slower: f64) -> Degradation {
    Degradation { slower, ..HEALTHY }
}

/// Returns a number from 0 up to but not including `end`.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
pub fn index(random: &mut SplitMix64, end: usize) -> usize {
    (random.next_f64() * end as f64) as usize
}

fn pick<T: Copy>(random: &mut SplitMix64, values: &[T]) -> T {
    values[index(random, values.len())]
}

/// Returns a number whose logarithm is uniformly distributed.
fn log_uniform(random: &mut SplitMix64, range: &Range<f64>) -> f64 {
    range.start * (range.end / range.start).powf(random.next_f64())
}

/// Draws the routes; the first one, on which some versions are bad, may have any part of the requests.
fn draw_routes(random: &mut SplitMix64) -> Vec<SimulatedRoute> {
    let total = log_uniform(random, &REQUEST_RATES);
    let count = 1 + index(random, MAX_ROUTES);
    let weights: Vec<f64> = (0..count).map(|_| 0.02 + random.next_f64()).collect();
    let sum: f64 = weights.iter().sum();
    weights
        .iter()
        .map(|weight| SimulatedRoute {
            per_sec: total * weight / sum,
            time: Duration::from_secs_f64(log_uniform(random, &SERVICE_TIMES)),
            timeout: Duration::from_secs_f64(pick(random, &TIMEOUTS)),
        })
        .collect()
}

/// Draws what is wrong with the target; a third of them are good.
fn draw_behaviour(random: &mut SplitMix64) -> Behaviour {
    let when = pick(
        random,
        &[
            FaultTime::AtOnce,
            FaultTime::Late,
            FaultTime::OnOneRoute,
            FaultTime::UnderLoad,
        ],
    );
    pick(
        random,
        &[
            Behaviour::Good,
            Behaviour::Fails(when),
            Behaviour::Slow(when),
        ],
    )
}
