//! Checks the observations of clients and instances against the guarantees that the users require.
//!
//! The checker reads no clock; callers pass all times. The time limits and shares below are part of
//! the guarantees.

use std::time::Duration;
use std::time::Instant;

use base::FastMap;
use base::FastSet;
use smol_str::SmolStr;

/// Time after the acknowledgement of a configuration by which it must be in force.
pub const CONFIG_APPLY_TIME: Duration = Duration::from_secs(2);

/// Time after the acknowledgement of its draining from which an instance must receive no requests.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time without an unplanned fault after which planned operations must not lose a request.
const FAULT_FREE_TIME: Duration = Duration::from_secs(3);

/// Time after a request was sent from which a connection that closes without a response counts as a
/// lost request even if the request did not run.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Time after a configuration was observed in force in which responses from an older one are
/// tolerated, since they may have been under way.
const REGRESSION_SLACK: Duration = Duration::from_millis(250);

/// Maximum share of a service's requests that a bad version may receive during its rollout.
const EXPOSURE_SHARE: f64 = 0.1;
/// Number of requests that a bad version may receive in addition.
const EXPOSURE_SLACK_REQUESTS: f64 = 50.0;

/// Request counts of a service during a rollout, from its order to its end.
#[derive(Debug, Clone, Copy, Default)]
pub struct Exposure {
    /// Requests that reached the service.
    pub all: u32,
    /// Requests that reached the target version.
    pub target: u32,
}

/// Which guarantees are checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Guarantees {
    /// All guarantees.
    #[default]
    All,
    /// Only guarantees that do not depend on the speed of the machine.
    Untimed,
}

/// Collects observations and the guarantees that they violate.
#[derive(Debug, Default)]
pub struct Checker {
    guarantees: Guarantees,
    runs: FastMap<SmolStr, u32>,
    not_run: FastSet<SmolStr>,
    fault_until: Option<Instant>,
    /// By machine and process: the newest configuration observed in force, and the time of that.
    in_force: FastMap<(usize, u32), (u64, Instant)>,
    violations: Vec<String>,
    /// Number of requests that succeeded.
    pub answered: u64,
    /// Number of requests that were refused as not run.
    pub refused: u64,
    /// Number of requests with an unknown outcome.
    pub unknown: u64,
}

impl Checker {
    /// Creates a checker without observations.
    pub fn new(guarantees: Guarantees) -> Self {
        Self {
            guarantees,
            ..Self::default()
        }
    }

    /// Records a violation of a guarantee that depends on time; ignored with
    /// [`Guarantees::Untimed`].
    pub fn add_timed_violation(&mut self, text: String) {
        if self.guarantees == Guarantees::All {
            self.add_violation(text);
        }
    }

    /// Records that an unplanned fault is active until a time, which may lie in the future.
    pub fn note_fault(&mut self, until: Instant) {
        self.fault_until = Some(until);
    }

    /// Returns whether no unplanned fault was active from [`FAULT_FREE_TIME`] before `then` on.
    pub fn is_fault_free_since(&self, then: Instant) -> bool {
        self.fault_until
            .is_none_or(|at| at + FAULT_FREE_TIME < then)
    }

    /// Records that an instance of `service` ran a request, and checks that the request may run,
    /// and run there.
    pub fn request_ran(&mut self, id: &str, service: &str, path: &str, is_repeatable: bool) {
        let runs = self.runs.entry(id.into()).or_default();
        *runs += 1;
        if *runs > 1 && !is_repeatable {
            let runs = *runs;
            self.add_violation(format!("request {id} ran {runs} times and may run once"));
        }
        if self.not_run.contains(id) {
            self.add_violation(format!("request {id} ran after it was reported as not run"));
        }
        if !path.starts_with(&format!("/{service}/")) {
            self.add_violation(format!("request {id} for {path} ran at {service}"));
        }
    }

    /// Records a successful response, and checks that it belongs to the request and is complete.
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
                "request {id} got a body that is truncated or belongs to another request"
            ));
        }
        if stamp != Some(id) {
            self.add_violation(format!(
                "request {id} got a response with the stamp {stamp:?}"
            ));
        }
    }

    /// Records that a client was told that its request did not run, and checks that it did not.
    pub fn request_refused(&mut self, id: &str) {
        self.refused += 1;
        self.not_run.insert(id.into());
        if let Some(runs) = self.runs.get(id) {
            let runs = *runs;
            self.add_violation(format!(
                "request {id} was reported as not run but ran {runs} times"
            ));
        }
    }

    /// Records that a connection ended after the request was sent and before a complete response.
    pub fn request_cut(&mut self, id: &str, sent: Instant, now: Instant) {
        self.unknown += 1;
        if !self.is_fault_free_since(sent) {
            return;
        }
        let runs = self.runs.get(id).copied().unwrap_or(0);
        let waited = now.saturating_duration_since(sent);
        if runs > 0 || waited > LOSS_SLACK {
            self.add_timed_violation(format!(
                "request {id} was cut after {} ms during planned operations; it ran {runs} times",
                waited.as_millis()
            ));
        }
    }

    /// Records a response that states an unknown outcome.
    pub fn outcome_unknown(&mut self) {
        self.unknown += 1;
    }

    /// Records the result of a probe. The configuration must be in force in time, and a process
    /// must not return to an older one.
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
                "machine {} went back to a configuration before {version}: it does not know {}",
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

    /// Checks the delay of a request that reached an instance whose draining was acknowledged.
    pub fn reached_draining(&mut self, id: &str, acknowledged: Instant, now: Instant) {
        let late = now.saturating_duration_since(acknowledged);
        if late > DRAIN_TIME {
            self.add_timed_violation(format!(
                "request {id} reached a draining instance {} ms after the acknowledgement",
                late.as_millis()
            ));
        }
    }

    /// Checks how many requests a bad version received during its rollout.
    pub fn check_exposure(&mut self, exposure: Exposure) {
        let allowed = f64::from(exposure.all) * EXPOSURE_SHARE + EXPOSURE_SLACK_REQUESTS;
        if f64::from(exposure.target) > allowed {
            self.add_violation(format!(
                "a bad version got {} of {} requests",
                exposure.target, exposure.all
            ));
        }
    }

    /// Records a violation.
    pub fn add_violation(&mut self, text: String) {
        self.violations.push(text);
    }

    /// Returns all violations, in the order in which they were recorded.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }
}

/// A request that asks whether a daemon knows the route of a configuration, and its result.
#[derive(Debug, Clone, Copy)]
pub struct Probe {
    /// Number of the probed machine.
    pub machine: usize,
    /// Number of the machine's daemon process at the time of the request.
    pub process: u32,
    /// Version of the probed configuration.
    pub version: u64,
    /// Time at which the configuration was acknowledged.
    pub acknowledged: Instant,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Time at which the response arrived.
    pub answered: Instant,
    /// Whether the daemon knew the route.
    pub is_known: bool,
    /// Whether the process had run without a pause or stop for some time before and during the
    /// probe.
    pub is_settled: bool,
}
