//! The plan of one move: when the share of the new version rises, and by how much.
//!
//! Steps are planned backwards from the ticket's time: what is left until then is divided among
//! the steps that are left. A step also needs evidence and capacity. Only alarms end a move
//! before its time.

use std::time::Duration;

use base::FULL_SHARE;
use base::Share;
use base::UnixMillis;
use ledger::Move;
use ledger::MovePolicy;
use ledger::Phase;
use ledger::Preference;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::canary::ALARM_HOLD_LEVEL;
use crate::canary::CanaryAnalysis;
use crate::canary::Verdict;

/// Shortest time between two steps when the deadline presses; two rounds of reports.
pub const MIN_DWELL: Duration = Duration::from_secs(2);

/// Time between two steps without a deadline; faults under load need about that long to show.
pub const DEFAULT_DWELL: Duration = Duration::from_secs(5);

/// Longest planned time between two steps; a far deadline does not slow a good version down
/// beyond this.
pub const MAX_DWELL: Duration = Duration::from_mins(1);

/// Time before the first step in which the rate of calls is measured.
pub const RATE_MEASUREMENT_TIME: Duration = Duration::from_secs(3);

/// Time from a call on a bad version to its take-back in force; sizes the first step.
pub const REACTION_TIME: Duration = Duration::from_secs(4);

/// Time from a report to a take-back in force.
const ROLLBACK_DELAY: Duration = Duration::from_secs(2);

/// Time that a hold lasts before the plan is looked at again.
pub const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the time between ticket and deadline that is kept in reserve.
const RESERVE_DIVISOR: u64 = 10;

/// Longest reserve before the deadline.
const MAX_RESERVE: Duration = Duration::from_mins(1);

/// Growth of a proven share from step to step when there is time enough.
const PROVEN_GROWTH: f64 = 2.0;

/// Largest growth of a proven share when time is short.
const MAX_PROVEN_GROWTH: f64 = 4.0;

/// Growth of an unproven share that goes on for the deadline's sake.
const UNPROVEN_GROWTH: f64 = 1.5;

/// Largest share while a busy route is not proven on its own.
const UNPROVEN_ROUTE_MAX_SHARE: Share = 250;

/// Part of the ready slots that may be in use, in thousandths.
const MAX_SLOT_USE_PER_MILLE: u64 = 800;

/// What the plan looks at.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// The move.
    pub moving: &'a Move,
    /// How the service's moves are made.
    pub policy: &'a MovePolicy,
    /// What the evidence says.
    pub summary: &'a EvidenceSummary,
    /// Slots and load.
    pub capacity: Capacity,
    /// Time since the present share or phase was first seen.
    pub time_in_step: Duration,
    /// Wall clock, for the deadline.
    pub now: UnixMillis,
}

/// What the evidence says of the new version.
#[derive(Debug, Clone, PartialEq)]
pub struct EvidenceSummary {
    /// The verdict.
    pub verdict: Verdict,
    /// Whether the version was proven at any share while no alarm was near.
    pub was_proven: bool,
    /// Whether each busy route is proven on its own.
    pub are_routes_proven: bool,
    /// How near the highest alarm is, from 0 to 1.
    pub alarm_level: f64,
    /// Calls that the new version had in the move.
    pub new_calls: u64,
    /// Calls a second on both versions.
    pub rate: f64,
}

/// Slots and load of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Slots of the old version's live instances.
    pub old_slots: u32,
    /// Slots of the new version's live instances that are past their cold start.
    pub new_slots: u32,
    /// Calls that lately ran at once on both versions.
    pub in_flight: u64,
}

/// What to do about a move.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Nothing before this time.
    Hold {
        /// When to look again.
        until: UnixMillis,
    },
    /// The share rises.
    Step(Share),
    /// The version is bad.
    RollBack(SmolStr),
    /// The watch has passed.
    Finish,
}

impl EvidenceSummary {
    /// The view of a analysis, with the rate of calls.
    #[must_use]
    pub fn new(analysis: &CanaryAnalysis, rate: f64) -> Self {
        Self {
            verdict: analysis.verdict(),
            was_proven: analysis.was_proven(),
            are_routes_proven: analysis.are_routes_proven(),
            alarm_level: analysis.max_alarm_level(),
            new_calls: analysis.new_calls(),
            rate,
        }
    }
}

/// Decides what to do about a move.
#[must_use]
pub fn decide(cx: &PlanInput<'_>) -> Decision {
    if let Verdict::Bad(regression) = &cx.summary.verdict {
        return Decision::RollBack(format_smolstr!("{regression}"));
    }
    match cx.moving.phase {
        Phase::Watching(_) if cx.time_in_step >= cx.policy.watch => Decision::Finish,
        Phase::Watching(_) => cx.hold(),
        Phase::Ramping if cx.moving.share == 0 => cx.first_step(),
        Phase::Ramping => cx.next_step(),
    }
}

impl PlanInput<'_> {
    fn first_step(&self) -> Decision {
        if self.capacity.new_slots == 0 || self.time_in_step < RATE_MEASUREMENT_TIME {
            return self.hold();
        }
        self.capped_step(self.probe_share())
    }

    fn next_step(&self) -> Decision {
        let prefer = self.policy.prefer;
        if prefer == Preference::Safety && self.is_probe_budget_spent() {
            let calls = self.policy.probe_calls;
            return Decision::RollBack(format_smolstr!("not proven within {calls} calls"));
        }
        if self.summary.verdict == Verdict::Good {
            return self.proven_step();
        }
        match prefer {
            Preference::Safety => self.hold(),
            Preference::OnTime => self.unproven_step(),
        }
    }

    fn proven_step(&self) -> Decision {
        if self.is_alarm_near() || self.time_in_step < self.dwell(PROVEN_GROWTH) {
            return self.hold();
        }
        let share = grow(self.moving.share, self.growth());
        if self.summary.are_routes_proven || self.may_skip_route_proof() {
            return self.capped_step(share);
        }
        self.capped_step(share.min(UNPROVEN_ROUTE_MAX_SHARE))
    }

    fn unproven_step(&self) -> Decision {
        if self.is_alarm_near() || self.time_in_step < self.dwell(UNPROVEN_GROWTH) {
            return self.hold();
        }
        // Without a deadline there is nothing to be on time for.
        if self.moving.finish_by.is_none() {
            return self.hold();
        }
        self.capped_step(grow(self.moving.share, UNPROVEN_GROWTH))
    }

    /// A step, as far as the capacity carries it.
    fn capped_step(&self, share: Share) -> Decision {
        let share = share.min(self.capacity.share_cap());
        if share <= self.moving.share {
            return self.hold();
        }
        Decision::Step(share)
    }

    fn hold(&self) -> Decision {
        Decision::Hold {
            until: self.now + millis(RECHECK_INTERVAL),
        }
    }

    /// Share of an unproven version: small enough that a bad one is taken back before it had
    /// `probe_calls`.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn probe_share(&self) -> Share {
        let calls = self.summary.rate * REACTION_TIME.as_secs_f64();
        let budget = f64::from(self.policy.probe_calls) / 2.0;
        let share = if calls > budget {
            (f64::from(FULL_SHARE) * budget / calls) as Share
        } else {
            FULL_SHARE
        };
        share.clamp(1, self.policy.probe_share.max(1))
    }

    fn is_alarm_near(&self) -> bool {
        self.summary.alarm_level >= ALARM_HOLD_LEVEL
    }

    /// Whether an unproven version had its calls, with those that come before a take-back is in
    /// force.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn is_probe_budget_spent(&self) -> bool {
        let share = f64::from(self.moving.share) / f64::from(FULL_SHARE);
        let expected_calls = self.summary.rate * share * ROLLBACK_DELAY.as_secs_f64();
        let calls = self.summary.new_calls + expected_calls.ceil() as u64;
        !self.summary.was_proven && calls >= u64::from(self.policy.probe_calls)
    }

    /// Whether the move goes on although a route is not proven, since its time has come.
    fn may_skip_route_proof(&self) -> bool {
        self.policy.prefer == Preference::OnTime
            && self.time_in_step >= self.dwell(UNPROVEN_GROWTH)
            && self.moving.finish_by.is_some()
    }

    /// Time in the present step: what is left, divided among the steps that are left.
    fn dwell(&self, growth: f64) -> Duration {
        let Some(left) = self.time_left() else {
            return DEFAULT_DWELL;
        };
        let steps = steps_left(self.moving.share, growth);
        left.div_f64(steps).clamp(MIN_DWELL, MAX_DWELL)
    }

    /// Growth of a proven share: faster when the time left is short.
    fn growth(&self) -> f64 {
        let Some(left) = self.time_left() else {
            return PROVEN_GROWTH;
        };
        // A step is seen up to one look later than it is due.
        let step = MIN_DWELL + RECHECK_INTERVAL;
        let steps = (left.as_secs_f64() / step.as_secs_f64()).max(1.0);
        (f64::from(FULL_SHARE) / f64::from(self.moving.share))
            .powf(1.0 / steps)
            .clamp(PROVEN_GROWTH, MAX_PROVEN_GROWTH)
    }

    /// Time until the deadline less the reserve; `None` without a deadline.
    fn time_left(&self) -> Option<Duration> {
        let deadline = self.moving.finish_by?;
        let total = deadline.saturating_sub(self.moving.started);
        let reserve = (total / RESERVE_DIVISOR).min(millis(MAX_RESERVE));
        let left = deadline.saturating_sub(reserve).saturating_sub(self.now);
        Some(Duration::from_millis(left))
    }
}

impl Capacity {
    /// Largest share that the new version's ready slots carry.
    ///
    /// Where no call was seen running, the old version's slots stand for the load.
    #[must_use]
    pub fn share_cap(&self) -> Share {
        let load = match self.in_flight {
            0 => u64::from(self.old_slots) * MAX_SLOT_USE_PER_MILLE / 1000,
            calls => calls,
        };
        if load == 0 {
            return if self.new_slots == 0 { 0 } else { FULL_SHARE };
        }
        let max_share = u64::from(self.new_slots) * MAX_SLOT_USE_PER_MILLE / load;
        Share::try_from(max_share)
            .unwrap_or(FULL_SHARE)
            .min(FULL_SHARE)
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn grow(share: Share, growth: f64) -> Share {
    let share = (f64::from(share) * growth).ceil() as Share;
    share.min(FULL_SHARE)
}

fn steps_left(share: Share, growth: f64) -> f64 {
    let remaining_factor = f64::from(FULL_SHARE) / f64::from(share.max(1));
    (remaining_factor.ln() / growth.ln()).ceil().max(1.0)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
