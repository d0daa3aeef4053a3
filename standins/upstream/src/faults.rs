//! Fault settings of the upstream, and the decision what happens to each call.
//!
//! The decision reads no clock and no random numbers: failures are spread evenly by counting, so
//! that test runs are reproducible.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Faults to inject, as `POST /faults` takes them; the default injects none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Fraction of the calls that fail with status 500 after they have run, 0 to 1.
    pub fail: f64,
    /// Factor on the service time.
    pub slow: f64,
    /// Whether calls are answered, hang or are refused.
    pub mode: CallMode,
    /// Prefix of the paths to which `fail`, `slow` and `mode` apply; empty matches every path.
    pub route: SmolStr,
    /// Number of calls, counted since the faults were set, to which `fail`, `slow` and `mode` do not
    /// apply.
    pub after_calls: u64,
    /// Fraction of the slots that must be in use for `fail`, `slow` and `mode` to apply, 0 to 1.
    pub over_load: f64,
    /// Which value the load header carries.
    pub load: LoadReport,
    /// What happens to a call when all slots are in use.
    pub when_full: WhenFull,
    /// Whether the upstream sends announcements.
    pub announcements: Announcements,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            fail: 0.0,
            slow: 1.0,
            mode: CallMode::Answer,
            route: SmolStr::default(),
            after_calls: 0,
            over_load: 0.0,
            load: LoadReport::Honest,
            when_full: WhenFull::Shed,
            announcements: Announcements::Sent,
        }
    }
}

/// Whether calls are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallMode {
    /// Calls are answered.
    Answer,
    /// Calls begin to run and get no response until the mode changes.
    Hang,
    /// Calls are refused before they run.
    Refuse,
}

/// Which value the load header carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadReport {
    /// Number of calls that run now.
    Honest,
    /// Number of calls that ran at an earlier sample, at least [`REPORT_LAG`] ago.
    ///
    /// [`REPORT_LAG`]: crate::load::REPORT_LAG
    Lagging,
    /// Always 0.
    Misleading,
}

/// What happens to a call when all slots are in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WhenFull {
    /// The call is refused before it runs.
    Shed,
    /// The call waits for a slot until its deadline.
    Wait,
}

/// Whether the upstream sends announcements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Announcements {
    /// Announcements are sent.
    Sent,
    /// No announcements are sent, while calls still run.
    Silent,
}

/// What the upstream does with one call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallAction {
    /// Runs it with the service time multiplied by this factor, and answers.
    Answer(f64),
    /// Runs it with the service time multiplied by this factor, and answers with status 500.
    Fail(f64),
    /// Begins to run it and does not answer until the mode changes.
    Hang,
    /// Refuses it before it runs.
    Refuse,
}

/// Decides on each call by the faults that are set.
#[derive(Debug, Default)]
pub struct FaultInjector {
    faults: Faults,
    calls_seen: u64,
    /// Failures that are due but not yet injected, in calls; a fraction carries over.
    failures_due: f64,
}

impl FaultInjector {
    /// Returns the faults that are set.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Replaces the faults and resets the call count.
    pub fn set(&mut self, faults: Faults) {
        *self = Self {
            faults,
            ..Self::default()
        };
    }

    /// Decides on the next call; `load` is the fraction of the slots that are in use, 0 to 1.
    pub fn next_action(&mut self, path: &str, load: f64) -> CallAction {
        self.calls_seen += 1;
        if !self.applies_to(path, load) {
            return CallAction::Answer(1.0);
        }
        match self.faults.mode {
            CallMode::Hang => CallAction::Hang,
            CallMode::Refuse => CallAction::Refuse,
            CallMode::Answer => self.answer_or_fail(),
        }
    }

    fn answer_or_fail(&mut self) -> CallAction {
        let slow = self.faults.slow;
        if self.is_failure_due() {
            CallAction::Fail(slow)
        } else {
            CallAction::Answer(slow)
        }
    }

    fn applies_to(&self, path: &str, load: f64) -> bool {
        let faults = &self.faults;
        path.starts_with(faults.route.as_str())
            && self.calls_seen > faults.after_calls
            && load >= faults.over_load
    }

    fn is_failure_due(&mut self) -> bool {
        self.failures_due += self.faults.fail;
        if self.failures_due < 1.0 {
            return false;
        }
        self.failures_due -= 1.0;
        true
    }
}
