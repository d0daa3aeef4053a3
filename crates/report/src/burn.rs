//! Error budget burn per service over several windows, with the rollouts of the same period.
//!
//! Shows an operator whether a service spends its error budget too fast and which rollout may be
//! the cause.

pub mod html;
pub mod table;

use std::time::Duration;

use base::ServiceName;
use base::TicketNumber;
use base::UnixMillis;
use base::VersionName;
use base::units::Rfc3339;
use base::units::Span;
use ledger::State;
use serde::Serialize;
use serde_with::serde_as;

use crate::history::CallCounts;
use crate::history::HistoryView;
use crate::history::Ring;
use crate::history::SLOTS_PER_WINDOW;
use crate::history::millis;
use crate::metrics::outcome_label;
use crate::objectives::Objectives;

/// Burn rate above which the shorter half of the windows counts as a fast burn: a month's error
/// budget is spent in about two days.
pub const FAST_BURN_RATE: f64 = 14.4;

/// Burn rate above which the longer half of the windows counts as a slow burn: the error budget
/// runs out before the window ends.
pub const SLOW_BURN_RATE: f64 = 1.0;

/// Burn of all services that have an objective, serialised as the JSON output.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnReport {
    /// Time at which the report was generated.
    #[serde_as(as = "Rfc3339")]
    pub at: UnixMillis,
    /// Time at which the earliest daemon started to count calls.
    #[serde_as(as = "Rfc3339")]
    pub since: UnixMillis,
    /// Services with an objective, sorted by name.
    pub services: Vec<ServiceBurn>,
}

/// Error budget and burn rates of one service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceBurn {
    /// Name of the service.
    pub service: ServiceName,
    /// Required share of good calls, between 0 and 1.
    pub objective: f64,
    /// Remaining share of the longest window's error budget: 1 when unspent, below 0 when
    /// overspent, `None` without calls.
    pub budget_left: Option<f64>,
    /// Urgency that follows from the burn rates.
    pub state: BurnState,
    /// Burn per window, shortest first.
    pub windows: Vec<WindowBurn>,
    /// Rollouts within the longest window, by the time of [`RolloutEvent::at`]: those that ended,
    /// oldest first, then the running one.
    #[serde(rename = "moves")]
    pub rollouts: Vec<RolloutEvent>,
}

/// Burn of one service over one window.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Length of the window.
    #[serde_as(as = "Span")]
    pub window: Duration,
    /// Calls within the window.
    pub calls: CallCounts,
    /// Burn rate: share of bad calls as a multiple of the share that the objective allows; `None`
    /// without calls.
    pub rate: Option<f64>,
    /// Slots of the window, oldest first; empty when the history lacks the window.
    pub points: Vec<Point>,
    /// Number of rollouts whose [`RolloutEvent::at`] lies within the window.
    #[serde(rename = "moves")]
    pub rollout_count: usize,
}

/// Burn of one service over one slot of a window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// Start of the slot, in milliseconds since the Unix epoch.
    pub start: UnixMillis,
    /// Calls within the slot.
    pub calls: CallCounts,
    /// Burn rate over the slot; `None` without calls.
    pub rate: Option<f64>,
}

/// Urgency of the burn of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BurnState {
    /// No window holds any calls.
    NoCalls,
    /// The error budget lasts.
    Ok,
    /// All longer windows exceed [`SLOW_BURN_RATE`]: needs investigation.
    Slow,
    /// All shorter windows exceed [`FAST_BURN_RATE`]: needs immediate action.
    Fast,
}

impl BurnState {
    /// Returns the text of the state in the table and on the HTML page.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoCalls => "no calls",
            Self::Ok => "ok",
            Self::Slow => "slow burn",
            Self::Fast => "fast burn",
        }
    }
}

/// A rollout of a service, ended or running.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RolloutEvent {
    /// Ticket that requested the rollout.
    pub ticket: TicketNumber,
    /// Target version.
    pub to: VersionName,
    /// End of the rollout, or its start while it runs.
    #[serde_as(as = "Rfc3339")]
    pub at: UnixMillis,
    /// Outcome as [`outcome_label`] gives it, or `running`.
    pub end: &'static str,
}

impl BurnReport {
    /// Builds the report at `now` from the merged history of all daemons and the ledger state of
    /// one of them.
    #[must_use]
    pub fn new(
        objectives: &Objectives,
        history: &HistoryView,
        state: &State,
        now: UnixMillis,
    ) -> Self {
        let services = objectives.services.iter();
        let burn_of = |(service, objective): (&ServiceName, &f64)| {
            let windows = objectives.windows.iter();
            let windows = windows.map(|window| (*window, history.ring(*window)));
            let rollouts = rollouts_of(state, service);
            service_burn(service, *objective, windows.collect(), rollouts, now)
        };
        Self {
            at: now,
            since: history.since,
            services: services.map(burn_of).collect(),
        }
    }
}

fn service_burn(
    service: &ServiceName,
    objective: f64,
    rings: Vec<(Duration, Option<&Ring>)>,
    mut rollouts: Vec<RolloutEvent>,
    now: UnixMillis,
) -> ServiceBurn {
    let longest = rings.last().map_or(0, |(window, _)| millis(*window));
    rollouts.retain(|event| event.at + longest > now);
    let window = |(window, ring): (Duration, Option<&Ring>)| {
        let points = ring.map_or(Vec::new(), |ring| points(ring, service, objective, now));
        let calls = points.iter().map(|point| point.calls);
        let calls = calls.fold(CallCounts::default(), CallCounts::plus);
        let is_in = |event: &&RolloutEvent| event.at + millis(window) > now;
        WindowBurn {
            window,
            calls,
            rate: burn_rate(calls, objective),
            points,
            rollout_count: rollouts.iter().filter(is_in).count(),
        }
    };
    let windows: Vec<WindowBurn> = rings.into_iter().map(window).collect();
    let longest_rate = windows.last().and_then(|longest| longest.rate);
    ServiceBurn {
        service: service.clone(),
        objective,
        budget_left: longest_rate.map(|longest_rate| 1.0 - longest_rate),
        state: state_of(&windows),
        windows,
        rollouts,
    }
}

fn points(ring: &Ring, service: &ServiceName, objective: f64, now: UnixMillis) -> Vec<Point> {
    let last = now / ring.slot_millis();
    let first = last.saturating_sub(SLOTS_PER_WINDOW - 1);
    let slots = ring.services.get(service);
    let point = |slot: u64| {
        let calls = slots.and_then(|slots| slots.get(&slot)).copied();
        let calls = calls.unwrap_or_default();
        Point {
            start: slot * ring.slot_millis(),
            calls,
            rate: burn_rate(calls, objective),
        }
    };
    (first..=last).map(point).collect()
}

/// Returns the burn rate: the share of bad calls as a multiple of the share that the objective
/// allows.
#[allow(clippy::cast_precision_loss)]
fn burn_rate(calls: CallCounts, objective: f64) -> Option<f64> {
    if calls.total() == 0 {
        return None;
    }
    let bad = calls.bad as f64 / calls.total() as f64;
    Some(bad / (1.0 - objective))
}

/// Requires every window of a half to exceed the limit: the longer one shows that the burn is
/// significant, the shorter one that it still goes on.
fn state_of(windows: &[WindowBurn]) -> BurnState {
    if windows.iter().all(|window| window.rate.is_none()) {
        return BurnState::NoCalls;
    }
    let middle = windows.len().div_ceil(2);
    let (shorter, longer) = windows.split_at(middle);
    let all_above = |windows: &[WindowBurn], limit: f64| {
        let above = |window: &WindowBurn| window.rate.is_some_and(|rate| rate > limit);
        !windows.is_empty() && windows.iter().all(above)
    };
    if all_above(shorter, FAST_BURN_RATE) {
        BurnState::Fast
    } else if all_above(longer, SLOW_BURN_RATE) {
        BurnState::Slow
    } else {
        BurnState::Ok
    }
}

fn rollouts_of(state: &State, service: &ServiceName) -> Vec<RolloutEvent> {
    let ended = state
        .ends
        .iter()
        .filter(|rollout_end| rollout_end.service == *service);
    let ended = ended.map(|rollout_end| RolloutEvent {
        ticket: rollout_end.ticket,
        to: rollout_end.to.clone(),
        at: rollout_end.at,
        end: outcome_label(&rollout_end.end),
    });
    let rollout = state.services.get(service).and_then(|s| s.rollout.as_ref());
    let running = rollout.map(|rollout| RolloutEvent {
        ticket: rollout.ticket,
        to: rollout.to.clone(),
        at: rollout.started,
        end: "running",
    });
    ended.chain(running).collect()
}
