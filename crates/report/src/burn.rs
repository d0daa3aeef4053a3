//! The report on service-level burn: how fast each service spends its budget of bad calls, and
//! which moves fell into the same time.

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

/// Burn rate over both shorter windows at which somebody has to act at once: it spends a month's
/// budget in two days.
pub const FAST_BURN_RATE: f64 = 14.4;

/// Burn rate over both longer windows at which the budget does not last.
pub const SLOW_BURN_RATE: f64 = 1.0;

/// The whole report.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnReport {
    /// When it was made.
    #[serde_as(as = "Rfc3339")]
    pub at: UnixMillis,
    /// Since when there are counts.
    #[serde_as(as = "Rfc3339")]
    pub since: UnixMillis,
    /// Services with an objective, by name.
    pub services: Vec<ServiceBurn>,
}

/// Burn of one service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceBurn {
    /// The service.
    pub service: ServiceName,
    /// Share of its calls that has to be answered well.
    pub objective: f64,
    /// Share of the longest window's budget that is left; below 0 when it is overspent, `None`
    /// without calls.
    pub budget_left: Option<f64>,
    /// What to do.
    pub state: BurnState,
    /// Windows, shortest first.
    pub windows: Vec<WindowBurn>,
    /// Moves that ended or run within the longest window, oldest first.
    #[serde(rename = "moves")]
    pub rollouts: Vec<RolloutEvent>,
}

/// Burn over one window.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Its length.
    #[serde_as(as = "Span")]
    pub window: Duration,
    /// Calls in it.
    pub calls: CallCounts,
    /// Share of bad calls as a multiple of the share that the objective allows; `None` without
    /// calls.
    pub rate: Option<f64>,
    /// Its slots, oldest first.
    pub points: Vec<Point>,
    /// Moves that ended within it.
    #[serde(rename = "moves")]
    pub rollout_count: usize,
}

/// One slot of a window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// Its start, in milliseconds since the Unix epoch.
    pub start: UnixMillis,
    /// Calls in it.
    pub calls: CallCounts,
    /// Burn rate in it; `None` without calls.
    pub rate: Option<f64>,
}

/// What the burn asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BurnState {
    /// No calls were counted.
    NoCalls,
    /// The budget lasts.
    Ok,
    /// The budget does not last: look into it.
    Slow,
    /// The budget is nearly gone: act at once.
    Fast,
}

impl BurnState {
    /// The state as reports write it.
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

/// One move of a service.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RolloutEvent {
    /// Ticket that asked for it.
    pub ticket: TicketNumber,
    /// Version that it moved to.
    pub to: VersionName,
    /// When it ended, or when it began if it still runs.
    #[serde_as(as = "Rfc3339")]
    pub at: UnixMillis,
    /// How it ended, or `running`.
    pub end: &'static str,
}

impl BurnReport {
    /// Makes the report from the merged history of all daemons and the state of one.
    #[must_use]
    pub fn new(
        objectives: &Objectives,
        history: &HistoryView,
        state: &State,
        now: UnixMillis,
    ) -> Self {
        let services = objectives.services.iter();
        let burn = |(service, objective): (&ServiceName, &f64)| {
            let windows = objectives.windows.iter();
            let windows = windows.map(|window| (*window, history.ring(*window)));
            let rollouts = rollouts_of(state, service);
            service_burn(service, *objective, windows.collect(), rollouts, now)
        };
        Self {
            at: now,
            since: history.since,
            services: services.map(burn).collect(),
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
    rollouts.retain(|seen| seen.at + longest > now);
    let window = |(window, ring): (Duration, Option<&Ring>)| {
        let points = ring.map_or(Vec::new(), |ring| points(ring, service, objective, now));
        let calls = points.iter().map(|point| point.calls);
        let calls = calls.fold(CallCounts::default(), CallCounts::plus);
        let is_in = |seen: &&RolloutEvent| seen.at + millis(window) > now;
        WindowBurn {
            window,
            calls,
            rate: rate(calls, objective),
            points,
            rollout_count: rollouts.iter().filter(is_in).count(),
        }
    };
    let windows: Vec<WindowBurn> = rings.into_iter().map(window).collect();
    let spent = windows.last().and_then(|longest| longest.rate);
    ServiceBurn {
        service: service.clone(),
        objective,
        budget_left: spent.map(|spent| 1.0 - spent),
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
            rate: rate(calls, objective),
        }
    };
    (first..=last).map(point).collect()
}

/// Share of bad calls as a multiple of the share that the objective allows.
#[allow(clippy::cast_precision_loss)]
fn rate(calls: CallCounts, objective: f64) -> Option<f64> {
    if calls.total() == 0 {
        return None;
    }
    let bad = calls.bad as f64 / calls.total() as f64;
    Some(bad / (1.0 - objective))
}

/// Two windows have to agree: the longer one shows that it matters, the shorter one that it goes
/// on.
fn state_of(windows: &[WindowBurn]) -> BurnState {
    if windows.iter().all(|window| window.rate.is_none()) {
        return BurnState::NoCalls;
    }
    let middle = windows.len().div_ceil(2);
    let (short, long) = windows.split_at(middle);
    let all_above = |windows: &[WindowBurn], limit: f64| {
        let above = |window: &WindowBurn| window.rate.is_some_and(|rate| rate > limit);
        !windows.is_empty() && windows.iter().all(above)
    };
    if all_above(short, FAST_BURN_RATE) {
        BurnState::Fast
    } else if all_above(long, SLOW_BURN_RATE) {
        BurnState::Slow
    } else {
        BurnState::Ok
    }
}

fn rollouts_of(state: &State, service: &ServiceName) -> Vec<RolloutEvent> {
    let ended = state
        .ends
        .iter()
        .filter(|report| report.service == *service);
    let ended = ended.map(|report| RolloutEvent {
        ticket: report.ticket,
        to: report.to.clone(),
        at: report.at,
        end: outcome_label(&report.end),
    });
    let moving = state.services.get(service).and_then(|s| s.rollout.as_ref());
    let running = moving.map(|moving| RolloutEvent {
        ticket: moving.ticket,
        to: moving.to.clone(),
        at: moving.started,
        end: "running",
    });
    ended.chain(running).collect()
}
