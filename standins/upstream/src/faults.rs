//! Faults of the upstream, and the decision what happens to each call.
//!
//! Pure: failures are spread evenly by counting, so that a run can be repeated.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Switches of the faults; the default is an upstream without any.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Fraction of the calls that fail with status 500 after they ran, 0 to 1.
    pub fail: f64,
    /// Factor on the service time.
    pub slow: f64,
    /// What happens to calls besides.
    pub mode: CallMode,
    /// Only calls whose path begins with this have the faults above; empty: all.
    pub route: SmolStr,
    /// Only calls after this many since the faults were set have them.
    pub after_calls: u64,
    /// Only calls that find more than this fraction of the slots taken have them, 0 to 1.
    pub over_load: f64,
    /// What the load header says.
    pub load: LoadReport,
    /// What happens when all slots are taken.
    pub when_full: WhenFull,
    /// Whether announcements go on.
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

/// What happens to calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallMode {
    /// They are answered.
    Answer,
    /// They begin and stay without an answer until the fault is lifted.
    Hang,
    /// They are refused as not run.
    Refuse,
}

/// What the load header says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadReport {
    /// The calls that run now.
    Honest,
    /// The calls that ran some seconds ago.
    Lagging,
    /// Always 0.
    Misleading,
}

/// What happens when all slots are taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WhenFull {
    /// The call is refused as not run.
    Shed,
    /// The call waits for a slot until its deadline.
    Wait,
}

/// Whether announcements go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Announcements {
    /// They are sent.
    Sent,
    /// They have stopped.
    Silent,
}

/// What is to happen to one call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fate {
    /// It runs, slower by this factor, and is answered.
    Answer(f64),
    /// It runs, slower by this factor, and fails.
    Fail(f64),
    /// It begins and hangs.
    Hang,
    /// It is refused as not run.
    Refuse,
}

/// Applies the faults to one call after the other.
#[derive(Debug, Default)]
pub struct Injector {
    faults: Faults,
    seen: u64,
    /// Failures that are due, in calls.
    owed: f64,
}

impl Injector {
    /// The faults in force.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Replaces the faults and counts calls anew.
    pub fn set(&mut self, faults: Faults) {
        *self = Self {
            faults,
            ..Self::default()
        };
    }

    /// Decides on the next call; `load` is the fraction of the slots that are taken.
    pub fn next(&mut self, path: &str, load: f64) -> Fate {
        self.seen += 1;
        if !self.applies(path, load) {
            return Fate::Answer(1.0);
        }
        match self.faults.mode {
            CallMode::Hang => Fate::Hang,
            CallMode::Refuse => Fate::Refuse,
            CallMode::Answer => self.run_or_fail(),
        }
    }

    fn run_or_fail(&mut self) -> Fate {
        let slow = self.faults.slow;
        if self.fails() {
            Fate::Fail(slow)
        } else {
            Fate::Answer(slow)
        }
    }

    fn applies(&self, path: &str, load: f64) -> bool {
        let faults = &self.faults;
        path.starts_with(faults.route.as_str())
            && self.seen > faults.after_calls
            && load >= faults.over_load
    }

    fn fails(&mut self) -> bool {
        self.owed += self.faults.fail;
        if self.owed < 1.0 {
            return false;
        }
        self.owed -= 1.0;
        true
    }
}
