//! The plan of one rollout: when the share of the new version rises, and by how much.
//!
//! Steps are scheduled backwards from the ticket's deadline: the time left is divided by the number
//! of steps left. A step also requires evidence and capacity. Only an alarm or a spent probe
//! budget rolls a version back.

use std::time::Duration;

use base::FULL_SHARE;
use base::Share;
use base::UnixMillis;
use ledger::Phase;
use ledger::Preference;
use ledger::Rollout;
use ledger::RolloutPolicy;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::canary::ALARM_HOLD_LEVEL;
use crate::canary::CanaryAnalysis;
use crate::canary::Verdict;

/// Minimum time between two steps close to the deadline: two rounds of reports.
pub const MIN_DWELL: Duration = Duration::from_secs(2);

/// Time between two steps without a deadline; faults that depend on load take about that long to
/// show.
pub const DEFAULT_DWELL: Duration = Duration::from_secs(5);

/// Maximum time between two steps, so that a far deadline does not delay a good version further.
pub const MAX_DWELL: Duration = Duration::from_mins(1);

/// Time before the first step, in which the call rate is measured.
pub const RATE_MEASUREMENT_TIME: Duration = Duration::from_secs(3);

/// Time from a call on a bad version to the rollback in force; sizes the first step.
pub const REACTION_TIME: Duration = Duration::from_secs(4);

/// Time from a report to the rollback in force.
const ROLLBACK_DELAY: Duration = Duration::from_secs(2);

/// Time until a held rollout is evaluated again.
pub const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The reserve before the deadline is the time from ticket to deadline divided by this.
const RESERVE_DIVISOR: u64 = 10;

/// Upper limit of the reserve before the deadline.
const MAX_RESERVE: Duration = Duration::from_mins(1);

/// Growth factor of a proven share per step, with enough time left.
const PROVEN_GROWTH: f64 = 2.0;

/// Upper limit of the growth factor of a proven share, with little time left.
const MAX_PROVEN_GROWTH: f64 = 4.0;

/// Growth factor per step of an unproven share that proceeds to meet the deadline.
const UNPROVEN_GROWTH: f64 = 1.5;

/// Upper limit of the share, in thousandths, while a busy route is not proven on its own.
const UNPROVEN_ROUTE_MAX_SHARE: Share = 250;

/// Upper limit of the slots in use, in thousandths of the ready slots.
const MAX_SLOT_USE_PERMILLE: u64 = 800;

/// What the plan decides on.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// The rollout.
    pub rollout: &'a Rollout,
    /// The service's rollout policy.
    pub policy: &'a RolloutPolicy,
    /// The result of the canary analysis.
    pub summary: &'a EvidenceSummary,
    /// Slots and load of both versions.
    pub capacity: Capacity,
    /// Time since the controller first saw the present share or phase.
    pub time_in_step: Duration,
    /// Wall-clock time, compared with the deadline.
    pub now: UnixMillis,
}

/// Result of the canary analysis of the new version.
#[derive(Debug, Clone, PartialEq)]
pub struct EvidenceSummary {
    /// The verdict on the new version.
    pub verdict: Verdict,
    /// Whether the version was ever proven, at any share, with no alarm near.
    pub was_proven: bool,
    /// Whether each busy route is proven on its own.
    pub are_routes_proven: bool,
    /// The highest alarm level; 1 and above is an alarm.
    pub alarm_level: f64,
    /// Calls on the new version in the rollout.
    pub new_calls: u64,
    /// Calls per second on both versions.
    pub rate: f64,
}

/// Slots and load of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Slots of the old version's live instances.
    pub old_slots: u32,
    /// Slots of the new version's live instances that are past their cold start.
    pub new_slots: u32,
    /// Concurrent calls on both versions, from the latest reports.
    pub in_flight: u64,
}

/// Next action for a rollout.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Keep the present share.
    Hold {
        /// Time of the next evaluation.
        until: UnixMillis,
    },
    /// Raise the share to this value.
    Step(Share),
    /// Roll back, for this reason.
    RollBack(SmolStr),
    /// End the rollout; the watch time at full share has passed.
    Finish,
}

impl EvidenceSummary {
    /// Reads the results of an analysis; `rate` is in calls per second.
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

/// Decides the next action for a rollout.
#[must_use]
pub fn decide(cx: &PlanInput<'_>) -> Decision {
    if let Verdict::Bad(regression) = &cx.summary.verdict {
        return Decision::RollBack(format_smolstr!("{regression}"));
    }
    match cx.rollout.phase {
        Phase::Watching(_) if cx.time_in_step >= cx.policy.watch => Decision::Finish,
        Phase::Watching(_) => cx.hold(),
        Phase::Ramping if cx.rollout.share == 0 => cx.first_step(),
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
        let share = grow(self.rollout.share, self.growth());
        if self.summary.are_routes_proven || self.may_skip_route_proof() {
            return self.capped_step(share);
        }
        self.capped_step(share.min(UNPROVEN_ROUTE_MAX_SHARE))
    }

    fn unproven_step(&self) -> Decision {
        if self.is_alarm_near() || self.time_in_step < self.dwell(UNPROVEN_GROWTH) {
            return self.hold();
        }
        // Without a deadline there is no reason to proceed unproven.
        if self.rollout.finish_by.is_none() {
            return self.hold();
        }
        self.capped_step(grow(self.rollout.share, UNPROVEN_GROWTH))
    }

    /// A step to `share`, limited by the capacity.
    fn capped_step(&self, share: Share) -> Decision {
        let share = share.min(self.capacity.share_cap());
        if share <= self.rollout.share {
            return self.hold();
        }
        Decision::Step(share)
    }

    fn hold(&self) -> Decision {
        Decision::Hold {
            until: self.now + millis(RECHECK_INTERVAL),
        }
    }

    /// Share of the first step, small enough that a bad version is rolled back before it receives
    /// `probe_calls` calls.
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

    /// Whether an unproven version has spent its probe calls, counting those that arrive before a
    /// rollback is in force.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn is_probe_budget_spent(&self) -> bool {
        let share = f64::from(self.rollout.share) / f64::from(FULL_SHARE);
        let expected_calls = self.summary.rate * share * ROLLBACK_DELAY.as_secs_f64();
        let calls = self.summary.new_calls + expected_calls.ceil() as u64;
        !self.summary.was_proven && calls >= u64::from(self.policy.probe_calls)
    }

    /// Whether the rollout proceeds with an unproven route to meet the deadline.
    fn may_skip_route_proof(&self) -> bool {
        self.policy.prefer == Preference::OnTime
            && self.time_in_step >= self.dwell(UNPROVEN_GROWTH)
            && self.rollout.finish_by.is_some()
    }

    /// Time to spend in the present step: the time left divided by the number of steps left.
    fn dwell(&self, growth: f64) -> Duration {
        let Some(left) = self.time_left() else {
            return DEFAULT_DWELL;
        };
        let steps = steps_left(self.rollout.share, growth);
        left.div_f64(steps).clamp(MIN_DWELL, MAX_DWELL)
    }

    /// Growth factor of a proven share; higher when little time is left.
    fn growth(&self) -> f64 {
        let Some(left) = self.time_left() else {
            return PROVEN_GROWTH;
        };
        // A step is taken up to one recheck interval after it is due.
        let step = MIN_DWELL + RECHECK_INTERVAL;
        let steps = (left.as_secs_f64() / step.as_secs_f64()).max(1.0);
        (f64::from(FULL_SHARE) / f64::from(self.rollout.share))
            .powf(1.0 / steps)
            .clamp(PROVEN_GROWTH, MAX_PROVEN_GROWTH)
    }

    /// Time until the deadline, less the reserve; `None` without a deadline.
    fn time_left(&self) -> Option<Duration> {
        let deadline = self.rollout.finish_by?;
        let total = deadline.saturating_sub(self.rollout.started);
        let reserve = (total / RESERVE_DIVISOR).min(millis(MAX_RESERVE));
        let left = deadline.saturating_sub(reserve).saturating_sub(self.now);
        Some(Duration::from_millis(left))
    }
}

impl Capacity {
    /// Largest share that the new version's ready slots can serve.
    ///
    /// Without calls in flight, the load is estimated from the old version's slots.
    #[must_use]
    pub fn share_cap(&self) -> Share {
        let load = match self.in_flight {
            0 => u64::from(self.old_slots) * MAX_SLOT_USE_PERMILLE / 1000,
            calls => calls,
        };
        if load == 0 {
            return if self.new_slots == 0 { 0 } else { FULL_SHARE };
        }
        let max_share = u64::from(self.new_slots) * MAX_SLOT_USE_PERMILLE / load;
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
