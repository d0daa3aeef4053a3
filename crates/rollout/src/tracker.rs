//! The controller's state of one service: canary analysis, call rate and time in the present step.

use std::time::Duration;
use std::time::Instant;

use base::ServiceName;
use base::Share;
use base::TicketNumber;
use base::VersionName;
use ledger::Phase;
use ledger::Service;

use crate::canary::CanaryAnalysis;
use crate::controller::WarmSlots;
use crate::evidence::Window;
use crate::plan::Capacity;
use crate::plan::EvidenceSummary;

/// Weight of the latest tick in the moving average of the call rate.
const RATE_SMOOTHING_FACTOR: f64 = 0.3;

/// The two versions under comparison.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Comparison {
    /// Last ticket that requested the new version.
    pub(crate) ticket: TicketNumber,
    /// Version that serves again after a rollback.
    pub(crate) old: VersionName,
    /// Version under analysis.
    pub(crate) new: VersionName,
}

/// State of one comparison.
#[derive(Debug, Clone)]
pub(crate) struct Tracker {
    pub(crate) comparison: Comparison,
    pub(crate) analysis: CanaryAnalysis,
    step: Step,
    step_since: Instant,
    call_rate: f64,
    last_observed: Option<Instant>,
    in_flight: u64,
}

/// Progress of the rollout at the last observation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Step {
    share: Share,
    is_watching: bool,
}

impl Comparison {
    /// The comparison of a service with a rollout in progress or a finished one.
    pub(crate) fn of(service: &Service) -> Option<Self> {
        if let Some(rollout) = &service.rollout {
            return Some(Self {
                ticket: rollout.ticket,
                old: service.stable.clone(),
                new: rollout.to.clone(),
            });
        }
        Some(Self {
            ticket: service.stable_tickets.last,
            old: service.previous.clone()?,
            new: service.stable.clone(),
        })
    }

    /// Whether both compare the same versions; the tickets may differ.
    pub(crate) fn has_same_versions(&self, other: &Self) -> bool {
        self.old == other.old && self.new == other.new
    }
}

impl Tracker {
    pub(crate) fn new(comparison: Comparison, service: &Service, now: Instant) -> Self {
        Self {
            comparison,
            analysis: CanaryAnalysis::default(),
            step: Step::of(service),
            step_since: now,
            call_rate: 0.0,
            last_observed: None,
            in_flight: 0,
        }
    }

    /// Updates the analysis, the call rate and the step from the present window.
    pub(crate) fn observe(&mut self, service: &Service, window: &Window, now: Instant) {
        let step = Step::of(service);
        if step != self.step {
            self.step = step;
            self.step_since = now;
            self.analysis.reset_proof();
        }
        let before = self.analysis.calls();
        self.analysis.observe(window);
        self.in_flight = window.in_flight;
        self.measure_rate(self.analysis.calls() - before, now);
    }

    pub(crate) fn summary(&self) -> EvidenceSummary {
        EvidenceSummary::new(&self.analysis, self.call_rate)
    }

    pub(crate) fn time_in_step(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.step_since)
    }

    pub(crate) fn capacity(&self, service: &ServiceName, slots: &WarmSlots) -> Capacity {
        let slots_of = |version: &VersionName| {
            let key = (service.clone(), version.clone());
            slots.get(&key).copied().unwrap_or_default()
        };
        Capacity {
            old_slots: slots_of(&self.comparison.old),
            new_slots: slots_of(&self.comparison.new),
            in_flight: self.in_flight,
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn measure_rate(&mut self, calls: u64, now: Instant) {
        let last = self.last_observed.replace(now);
        let Some(elapsed) = last.map(|last| now.saturating_duration_since(last)) else {
            return;
        };
        if elapsed.is_zero() {
            return;
        }
        let rate = calls as f64 / elapsed.as_secs_f64();
        if self.call_rate == 0.0 {
            self.call_rate = rate;
        }
        self.call_rate += (rate - self.call_rate) * RATE_SMOOTHING_FACTOR;
    }
}

impl Step {
    fn of(service: &Service) -> Self {
        let Some(rollout) = &service.rollout else {
            return Self {
                share: base::FULL_SHARE,
                is_watching: true,
            };
        };
        Self {
            share: rollout.share,
            is_watching: matches!(rollout.phase, Phase::Watching(_)),
        }
    }
}
