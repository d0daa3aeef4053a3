//! What clients and instances saw, and the promises that it breaks.
//!
//! Pure: times are given. Bounds are those of the users' rules.

use std::time::Duration;
use std::time::Instant;

use base::FastMap;
use base::FastSet;
use smol_str::SmolStr;

/// Time after the acknowledgement of a configuration from which it must be in force.
pub const CONFIG_APPLY_TIME: Duration = Duration::from_secs(2);

/// Time after the acknowledgement of its draining from which an instance gets nothing.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time without an unplanned fault before a request that planned work must not lose.
const FAULT_FREE_TIME: Duration = Duration::from_secs(3);

/// Time after the last byte of a request from which a closed connection without an answer is a loss
/// even where the request did not run.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Time after a new configuration was latest in force in which an older one may still answer.
const REGRESSION_SLACK: Duration = Duration::from_millis(250);

/// Share of the requests of a service that a bad version may get while it is moved, and requests on
/// top.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK_REQUESTS: f64 = 50.0;

/// Requests of a service and those that its target version got, from the order of a move to its end.
#[derive(Debug, Clone, Copy, Default)]
pub struct Exposure {
    /// All that reached the service.
    pub all: u32,
    /// Those that reached the target.
    pub target: u32,
}

/// Which promises are checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Bounds {
    /// All of them.
    #[default]
    Timed,
    /// Those that hold however slow the machine is.
    Untimed,
}

/// Keeps what was latest.
#[derive(Debug, Default)]
pub struct Checker {
    bounds: Bounds,
    runs: FastMap<SmolStr, u32>,
    not_run: FastSet<SmolStr>,
    last_fault: Option<Instant>,
    /// By machine and process: the latest configuration that was latest in force, and when.
    in_force: FastMap<(usize, u32), (u64, Instant)>,
    violations: Vec<String>,
    /// Requests that were checked, by what became of them.
    pub answered: u64,
    /// Requests that were refused as not run.
    pub refused: u64,
    /// Requests that nobody can tell about.
    pub unknown: u64,
}

impl Checker {
    /// A checker who has latest nothing.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Something that was promised for a time did not hold in time.
    pub fn add_timed_violation(&mut self, text: String) {
        if self.bounds == Bounds::Timed {
            self.add_violation(text);
        }
    }

    /// An unplanned fault is in force at this moment.
    pub fn note_fault(&mut self, now: Instant) {
        self.last_fault = Some(now);
    }

    /// Whether no unplanned fault was in force from a while before this moment on.
    pub fn is_fault_free_since(&self, then: Instant) -> bool {
        self.last_fault.is_none_or(|at| at + FAULT_FREE_TIME < then)
    }

    /// An instance of a service runs a request whose path asks for another service or this one.
    pub fn request_ran(&mut self, id: &str, service: &str, path: &str, is_repeatable: bool) {
        let runs = self.runs.entry(id.into()).or_default();
        *runs += 1;
        if *runs > 1 && !is_repeatable {
            let runs = *runs;
            self.add_violation(format!("request {id} ran {runs} times and may run once"));
        }
        if self.not_run.contains(id) {
            self.add_violation(format!("request {id} ran after it was told as not run"));
        }
        if !path.starts_with(&format!("/{service}/")) {
            self.add_violation(format!("request {id} for {path} ran at {service}"));
        }
    }

    /// A client got a success.
    pub fn request_succeeded(
        &mut self,
        id: &str,
        body: &[u8],
        expected: &[u8],
        stamp: Option<&str>,
    ) {
        self.answered += 1;
        if body != expected {
            self.add_violation(format!(
                "request {id} got a body that is not its own or not whole"
            ));
        }
        if stamp != Some(id) {
            self.add_violation(format!("request {id} got the stamp {stamp:?}"));
        }
    }

    /// A client was told that its request did not run.
    pub fn request_refused(&mut self, id: &str) {
        self.refused += 1;
        self.not_run.insert(id.into());
        if let Some(runs) = self.runs.get(id) {
            let runs = *runs;
            self.add_violation(format!(
                "request {id} was told as not run and ran {runs} times"
            ));
        }
    }

    /// A client's connection ended without a whole answer, after the request was sent.
    pub fn request_cut(&mut self, id: &str, sent: Instant, now: Instant) {
        self.unknown += 1;
        if !self.is_fault_free_since(sent) {
            return;
        }
        let runs = self.runs.get(id).copied().unwrap_or(0);
        let waited = now.saturating_duration_since(sent);
        if runs > 0 || waited > LOSS_SLACK {
            self.add_timed_violation(format!(
                "request {id} was cut after {} ms during planned work; it ran {runs} times",
                waited.as_millis()
            ));
        }
    }

    /// A daemon answered that the outcome is unknown.
    pub fn outcome_unknown(&mut self) {
        self.unknown += 1;
    }

    /// A daemon knew the route of a configuration, or not; `newest` is the newest one that was
    /// acknowledged, at `acknowledged`.
    pub fn probe_answered(&mut self, probe: &Probe) {
        let key = (probe.machine, probe.process);
        if probe.is_known {
            let latest = self.in_force.entry(key).or_insert((0, probe.answered));
            if probe.version > latest.0 {
                *latest = (probe.version, probe.answered);
            }
            return;
        }
        if let Some((version, since)) = self.in_force.get(&key)
            && *version >= probe.version
            && probe.sent > *since + REGRESSION_SLACK
        {
            let version = *version;
            self.add_timed_violation(format!(
                "machine {} went back behind {version}: it does not know {}",
                probe.machine, probe.version
            ));
        }
        let is_due = probe.sent > probe.acknowledged + CONFIG_APPLY_TIME;
        if is_due && probe.is_settled && self.is_fault_free_since(probe.acknowledged) {
            self.add_timed_violation(format!(
                "machine {} does not know configuration {} after {} ms",
                probe.machine,
                probe.version,
                probe.sent.duration_since(probe.acknowledged).as_millis()
            ));
        }
    }

    /// A request reached an instance whose draining was acknowledged.
    pub fn reached_draining_instance(&mut self, id: &str, acknowledged: Instant, now: Instant) {
        let late = now.saturating_duration_since(acknowledged);
        if late > DRAIN_TIME {
            self.add_timed_violation(format!(
                "request {id} reached a draining instance {} ms after the acknowledgement",
                late.as_millis()
            ));
        }
    }

    /// A move to a bad version ended or its time is over.
    pub fn check_exposure(&mut self, exposure: Exposure) {
        let allowed = f64::from(exposure.all) * EXPOSURE_SHARE + EXPOSURE_SLACK_REQUESTS;
        if f64::from(exposure.target) > allowed {
            self.add_violation(format!(
                "a bad version got {} of {} requests",
                exposure.target, exposure.all
            ));
        }
    }

    /// Something else that was promised did not hold.
    pub fn add_violation(&mut self, text: String) {
        self.violations.push(text);
    }

    /// What did not hold.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }
}

/// A question whether a daemon knows the route of a configuration.
#[derive(Debug, Clone, Copy)]
pub struct Probe {
    /// Machine that was asked.
    pub machine: usize,
    /// Number of its process when the question was sent.
    pub process: u32,
    /// The configuration.
    pub version: u64,
    /// When it was acknowledged.
    pub acknowledged: Instant,
    /// When the question was sent.
    pub sent: Instant,
    /// When it was answered.
    pub answered: Instant,
    /// Whether the daemon knew the route.
    pub is_known: bool,
    /// Whether the process ran for a while before, without a pause or a stop.
    pub is_settled: bool,
}
