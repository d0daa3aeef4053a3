//! Canary analysis: the verdict on a new version, per route and over all routes.

use std::collections::BTreeMap;
use std::fmt;

use base::RoutePrefix;

use crate::baseline::Baseline;
use crate::evidence::VersionCounts;
use crate::evidence::Window;
use crate::sequential::Batch;
use crate::sequential::Detector;

/// Failure rate above the expected one, as a fraction of calls, that the proof must rule out.
pub const BAD_FAILURE_MARGIN: f64 = 0.10;

/// Rate of slow calls above the expected one, as a fraction of calls, that the proof must rule out.
pub const BAD_SLOW_MARGIN: f64 = 0.25;

/// Alarm level, from 0 to 1, at which the share stops growing.
pub const ALARM_HOLD_LEVEL: f64 = 0.3;

/// Upper limit of the bad rate; the likelihood ratio is undefined at 1.
const BAD_CEILING: f64 = 0.99;

/// A route needs a proof of its own only with more than one in this many of the service's calls.
const RARE_ROUTE_DIVISOR: u64 = 50;

/// Streams per call group: failures and slow calls.
const STREAMS_PER_GROUP: usize = 2;

/// Result of the analysis of a version.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// The version is as good as the old one within the margins.
    Good,
    /// The version is worse than the old one.
    Bad(Regression),
    /// Too few calls for a decision.
    Undecided {
        /// Faultless calls that would complete the proof.
        calls_needed: u64,
    },
}

/// How a version is worse than the old one.
#[derive(Debug, Clone, PartialEq)]
pub struct Regression {
    /// The kind of fault.
    pub fault: Fault,
    /// The affected route; `None` when the fault shows only over all routes.
    pub route: Option<RoutePrefix>,
    /// Calls on the new version, in the route or in total, when the fault was detected.
    pub calls: u64,
}

/// Kind of fault of the calls on a bad version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Calls fail.
    Failures,
    /// Calls are slower than the baseline allows.
    SlowCalls,
}

/// Compares a new version with the old one, one batch of calls at a time.
#[derive(Debug, Clone, Default)]
pub struct CanaryAnalysis {
    last_window: Window,
    total: CallGroup,
    routes: BTreeMap<RoutePrefix, CallGroup>,
    was_proven: bool,
}

/// Sequential tests on the calls of one route, or of all routes.
#[derive(Debug, Clone, Default)]
struct CallGroup {
    baseline: Baseline,
    failures: Detector,
    slow_calls: Detector,
    calls: u64,
    new_calls: u64,
}

impl CanaryAnalysis {
    /// Adds the calls that `window` holds beyond the previous window.
    pub fn observe(&mut self, window: &Window) {
        self.total
            .observe(&window.total().since(&self.last_window.total()));
        for (route, pair) in &window.routes {
            let batch = pair.since(&self.last_window.route(route));
            self.routes
                .entry(route.clone())
                .or_default()
                .observe(&batch);
        }
        self.last_window = window.clone();
        self.was_proven |= self.total.is_proven() && self.max_alarm_level() < ALARM_HOLD_LEVEL;
    }

    /// Resets the proof, so that a larger share needs a new one. Alarms are kept.
    pub fn reset_proof(&mut self) {
        self.total.reset_proof();
        for group in self.routes.values_mut() {
            group.reset_proof();
        }
    }

    /// Returns the verdict over all routes; a regression on a single route suffices for `Bad`.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        if let Some(regression) = self.regression() {
            return Verdict::Bad(regression);
        }
        if self.total.is_proven() {
            return Verdict::Good;
        }
        Verdict::Undecided {
            calls_needed: self.total.calls_needed(),
        }
    }

    /// Whether each route with a significant part of the calls is proven on its own.
    #[must_use]
    pub fn are_routes_proven(&self) -> bool {
        let min_calls = self.total.calls / RARE_ROUTE_DIVISOR;
        self.routes
            .values()
            .filter(|group| group.calls > min_calls)
            .all(CallGroup::is_proven)
    }

    /// Returns the highest alarm level of all streams; 1 and above is an alarm.
    #[must_use]
    pub fn max_alarm_level(&self) -> f64 {
        let streams = self.streams();
        self.groups()
            .map(|(_, group)| group.alarm_level(streams))
            .fold(0.0, f64::max)
    }

    /// Whether the version was ever proven, at any share, with the alarm level below
    /// [`ALARM_HOLD_LEVEL`].
    #[must_use]
    pub fn was_proven(&self) -> bool {
        self.was_proven
    }

    /// Calls on the new version in the window.
    #[must_use]
    pub fn new_calls(&self) -> u64 {
        self.total.new_calls
    }

    /// Calls on both versions in the window.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.total.calls
    }

    fn regression(&self) -> Option<Regression> {
        let streams = self.streams();
        self.groups().find_map(|(route, group)| {
            let fault = group.fault(streams)?;
            Some(Regression {
                fault,
                route: route.cloned(),
                calls: group.new_calls,
            })
        })
    }

    /// Routes come before the total, so that a regression names its route where possible.
    fn groups(&self) -> impl Iterator<Item = (Option<&RoutePrefix>, &CallGroup)> {
        let routes = self
            .routes
            .iter()
            .map(|(route, group)| (Some(route), group));
        // With a single route, the total holds the same calls.
        let total = (self.routes.len() != 1).then_some((None, &self.total));
        routes.chain(total)
    }

    fn streams(&self) -> usize {
        STREAMS_PER_GROUP * (self.routes.len() + 1)
    }
}

impl CallGroup {
    fn observe(&mut self, batch: &VersionCounts) {
        self.baseline.add(&batch.old);
        self.calls += batch.old.calls() + batch.new.calls();
        self.new_calls += batch.new.calls();
        let expected = self.baseline.failure_rate();
        self.failures.observe(Batch {
            faulty: batch.new.failed,
            calls: batch.new.calls(),
            expected,
            bad: bad_rate(expected, BAD_FAILURE_MARGIN),
        });
        let Some(slow) = self.baseline.slow_threshold() else {
            return;
        };
        self.slow_calls.observe(Batch {
            faulty: batch.new.slower[slow.bound],
            calls: batch.new.timed,
            expected: slow.rate,
            bad: bad_rate(slow.rate, BAD_SLOW_MARGIN),
        });
    }

    fn reset_proof(&mut self) {
        self.failures.reset_proof();
        self.slow_calls.reset_proof();
    }

    fn fault(&self, streams: usize) -> Option<Fault> {
        if self.failures.alarm_level(streams) >= 1.0 {
            return Some(Fault::Failures);
        }
        (self.slow_calls.alarm_level(streams) >= 1.0).then_some(Fault::SlowCalls)
    }

    fn alarm_level(&self, streams: usize) -> f64 {
        self.failures
            .alarm_level(streams)
            .max(self.slow_calls.alarm_level(streams))
    }

    fn is_proven(&self) -> bool {
        self.failures.is_proven() && self.slow_calls.is_proven()
    }

    /// Faultless calls that would complete both proofs.
    fn calls_needed(&self) -> u64 {
        let expected = self.baseline.failure_rate();
        let failures = self
            .failures
            .calls_needed(expected, bad_rate(expected, BAD_FAILURE_MARGIN));
        let expected = self.baseline.slow_threshold().map_or(0.1, |slow| slow.rate);
        let slow_calls = self
            .slow_calls
            .calls_needed(expected, bad_rate(expected, BAD_SLOW_MARGIN));
        failures.max(slow_calls)
    }
}

impl fmt::Display for Regression {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fault = match self.fault {
            Fault::Failures => "calls fail",
            Fault::SlowCalls => "calls are slow",
        };
        match &self.route {
            Some(route) => write!(f, "{fault} on {route}, after {} calls", self.calls),
            None => write!(f, "{fault}, after {} calls", self.calls),
        }
    }
}

fn bad_rate(expected: f64, margin: f64) -> f64 {
    (expected + margin)
        .min(f64::midpoint(expected, 1.0))
        .min(BAD_CEILING)
}
