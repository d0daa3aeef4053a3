//! The controller: one daemon decides about all moves, as long as its epoch is in force.
//!
//! Candidates stand in a stable order for each epoch, and each waits longer than the one before
//! it, so that as a rule one claims. Whether a claim holds is decided by the fold alone.

mod candidate;
mod outbox;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::Epoch;
use base::ServiceName;
use base::UnixMillis;
use base::VersionName;
use ledger::Entry;
use ledger::Record;
use ledger::Service;
use ledger::State;
use protocol::evidence::EvidenceReport;
use protocol::feed::Lease;
use protocol::feed::TakeBackFact;
use smol_str::SmolStr;

use crate::canary::Verdict;
use crate::controller::candidate::Candidate;
use crate::controller::outbox::Outbox;
use crate::evidence::Evidence;
use crate::lease::LEASE_DURATION;
use crate::lease::LeaseHolder;
use crate::lease::LeaseWatch;
use crate::plan;
use crate::plan::Capacity;
use crate::plan::Decision;
use crate::plan::PlanInput;
use crate::tracker::Comparison;
use crate::tracker::Tracker;

pub use crate::controller::outbox::APPEND_RETRY_INTERVAL;

/// Time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// A tick that comes later than this after the one before ends all windows: what was counted
/// before the pause decides nothing any more.
pub const MAX_TICK_GAP: Duration = Duration::from_millis(2_500);

/// The time of a tick, by both clocks.
#[derive(Debug, Clone, Copy)]
pub struct TickTime {
    /// For spans of time.
    pub monotonic: Instant,
    /// For the tickets' times and for reports.
    pub wall: UnixMillis,
}

/// Whether records can be appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogHealth {
    /// Appends and reads work.
    Up,
    /// They do not; decisions that need a record wait.
    Down,
}

/// What a daemon sees when a tick comes.
#[derive(Debug, Clone, Copy)]
pub struct ClusterView<'a> {
    /// The folded state.
    pub state: &'a State,
    /// Live members, this daemon included.
    pub members: &'a [DaemonId],
    /// Take-backs that were heard and that the log may not hold.
    pub rollbacks: &'a [TakeBackFact],
    /// Slots by service and version, of live instances that are past their cold start.
    pub warm_slots: &'a WarmSlots,
    /// Whether the log works.
    pub log: LogHealth,
}

/// Slots of live instances that are past their cold start.
pub type WarmSlots = BTreeMap<(ServiceName, VersionName), u32>;

/// What a daemon is to do after a tick.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Append a claim of this epoch; the entry carries it.
    Claim {
        /// The epoch.
        epoch: Epoch,
        /// The entry to append.
        entry: Entry,
    },
    /// Send this lease on.
    Renew(Lease),
    /// Append this entry.
    Append(Entry),
    /// Tell all daemons at once.
    BroadcastRollback(TakeBackFact),
}

/// The controller core of one daemon; idle while another daemon holds the epoch in force.
#[derive(Debug)]
pub struct Controller {
    me: DaemonId,
    candidate: Candidate,
    leadership: Option<Leadership>,
    last_tick: Option<Instant>,
}

/// What the holder of an epoch keeps.
#[derive(Debug)]
struct Leadership {
    lease_holder: LeaseHolder,
    evidence: Evidence,
    trackers: BTreeMap<ServiceName, Tracker>,
    outbox: Outbox,
}

impl Controller {
    /// A controller core that holds no epoch. `nonce` differs between starts of the daemon.
    #[must_use]
    pub fn new(me: DaemonId, nonce: u64) -> Self {
        Self {
            candidate: Candidate::new(me.clone(), nonce),
            me,
            leadership: None,
            last_tick: None,
        }
    }

    /// The epoch that this daemon holds.
    #[must_use]
    pub fn epoch(&self) -> Option<Epoch> {
        Some(self.leadership.as_ref()?.lease_holder.epoch())
    }

    /// Takes a report in; one that comes while no epoch is held is dropped.
    pub fn on_report(&mut self, report: EvidenceReport) {
        if let Some(leadership) = &mut self.leadership {
            leadership.evidence.merge(report);
        }
    }

    /// Decides what to do now. `lease` is this daemon's view of the lease that goes round.
    pub fn on_tick(
        &mut self,
        now: TickTime,
        view: &ClusterView<'_>,
        lease: &LeaseWatch,
    ) -> Vec<Action> {
        self.handle_pause(now.monotonic);
        self.update_leadership(view.state);
        if let Some(leadership) = &mut self.leadership {
            return leadership.on_tick(now, view);
        }
        let claim = self.candidate.on_tick(now, view, lease);
        claim.into_iter().collect()
    }

    /// A holder that was paused past its lease gives the epoch up; a shorter pause ends windows.
    fn handle_pause(&mut self, now: Instant) {
        let last = self.last_tick.replace(now);
        let gap = last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        if gap >= LEASE_DURATION {
            self.leadership = None;
            self.candidate.restart(now);
        } else if gap > MAX_TICK_GAP
            && let Some(leadership) = &mut self.leadership
        {
            leadership.reset_windows();
        }
    }

    /// Stops at a higher epoch, and begins when an own claim is in force.
    fn update_leadership(&mut self, state: &State) {
        if let Some(epoch) = self.epoch()
            && state.epoch > epoch
        {
            self.leadership = None;
        }
        let is_mine = state.controller.as_ref() == Some(&self.me);
        if self.leadership.is_none() && is_mine && self.candidate.take_claimed(state.epoch) {
            self.leadership = Some(Leadership::new(state.epoch));
        }
    }
}

impl Leadership {
    fn new(epoch: Epoch) -> Self {
        Self {
            lease_holder: LeaseHolder::new(epoch),
            evidence: Evidence::default(),
            trackers: BTreeMap::new(),
            outbox: Outbox::default(),
        }
    }

    fn reset_windows(&mut self) {
        self.evidence.clear();
        self.trackers.clear();
        self.outbox.drop_steps();
    }

    fn on_tick(&mut self, now: TickTime, view: &ClusterView<'_>) -> Vec<Action> {
        let mut actions = vec![Action::Renew(self.lease_holder.renew())];
        self.track(view.state, now.monotonic);
        self.observe(view.state, now.monotonic);
        self.roll_back(now, view, &mut actions);
        if view.log == LogHealth::Down {
            self.outbox.drop_steps();
            return actions;
        }
        self.advance(now, view);
        actions.extend(self.outbox.due(view.state, now.monotonic));
        actions
    }

    /// Keeps one tracker for each service that is compared.
    fn track(&mut self, state: &State, now: Instant) {
        let comparisons: BTreeMap<&ServiceName, Comparison> = state
            .services
            .iter()
            .filter_map(|(name, service)| Some((name, Comparison::of(service)?)))
            .collect();
        self.trackers.retain(|name, tracker| {
            comparisons
                .get(name)
                .is_some_and(|wanted| tracker.comparison.has_same_versions(wanted))
        });
        self.evidence.retain(|service, version| {
            comparisons
                .get(service)
                .is_some_and(|wanted| wanted.old == *version || wanted.new == *version)
        });
        for (name, comparison) in comparisons {
            let service = &state.services[name];
            let tracker = self
                .trackers
                .entry(name.clone())
                .or_insert_with(|| Tracker::new(comparison.clone(), service, now));
            tracker.comparison = comparison;
        }
    }

    fn observe(&mut self, state: &State, now: Instant) {
        for (name, tracker) in &mut self.trackers {
            let versions = &tracker.comparison;
            let window = self.evidence.window(name, &versions.old, &versions.new);
            tracker.observe(&state.services[name], &window, now);
        }
    }

    /// Takes back every ticket with a bad version, and writes down what others took back.
    fn roll_back(&mut self, now: TickTime, view: &ClusterView<'_>, actions: &mut Vec<Action>) {
        for fact in view.rollbacks {
            if rollback_has_effect(view.state, fact) {
                self.outbox.enqueue(rollback_entry(fact, now.wall));
            }
        }
        for (name, tracker) in &self.trackers {
            let service = &view.state.services[name];
            let Some(reason) = rollback_reason(tracker, name, service, view, now) else {
                continue;
            };
            let fact = TakeBackFact {
                ticket: tracker.comparison.ticket,
                service: name.clone(),
                reason,
            };
            let has_effect = rollback_has_effect(view.state, &fact);
            if has_effect && self.outbox.enqueue(rollback_entry(&fact, now.wall)) {
                actions.push(Action::BroadcastRollback(fact));
            }
        }
    }

    /// Raises shares and ends moves, but for those of tickets that are being taken back.
    fn advance(&mut self, now: TickTime, view: &ClusterView<'_>) {
        for (name, tracker) in &self.trackers {
            let service = &view.state.services[name];
            let Some(cx) = RolloutContext::of(tracker, name, service, view, now) else {
                continue;
            };
            let ticket = tracker.comparison.ticket;
            if self.outbox.has_rollback(ticket) || self.outbox.has_step(name) {
                continue;
            }
            let epoch = self.lease_holder.epoch();
            let record = match plan::decide(&cx.plan_input()) {
                Decision::Hold { .. } | Decision::RollBack(_) => continue,
                Decision::Step(share) => Record::Step {
                    epoch,
                    ticket,
                    service: name.clone(),
                    share,
                },
                Decision::Finish => Record::Finish {
                    epoch,
                    ticket,
                    service: name.clone(),
                },
            };
            self.outbox.enqueue(outbox::entry(record, now.wall));
        }
    }
}

/// A move with what is known of it, as the plan needs it.
struct RolloutContext<'a> {
    service: &'a Service,
    moving: &'a ledger::Move,
    summary: plan::EvidenceSummary,
    capacity: Capacity,
    time_in_step: Duration,
    now: UnixMillis,
}

impl<'a> RolloutContext<'a> {
    /// `None` when no move is under way.
    fn of(
        tracker: &Tracker,
        name: &ServiceName,
        service: &'a Service,
        view: &ClusterView<'_>,
        now: TickTime,
    ) -> Option<Self> {
        Some(Self {
            service,
            moving: service.moving.as_ref()?,
            summary: tracker.summary(),
            capacity: tracker.capacity(name, view.warm_slots),
            time_in_step: tracker.time_in_step(now.monotonic),
            now: now.wall,
        })
    }

    fn plan_input(&self) -> PlanInput<'_> {
        PlanInput {
            moving: self.moving,
            policy: &self.service.policy,
            summary: &self.summary,
            capacity: self.capacity,
            time_in_step: self.time_in_step,
            now: self.now,
        }
    }
}

/// Why the tracked version is to be taken back; `None` when it is not.
fn rollback_reason(
    tracker: &Tracker,
    name: &ServiceName,
    service: &Service,
    view: &ClusterView<'_>,
    now: TickTime,
) -> Option<SmolStr> {
    if let Some(cx) = RolloutContext::of(tracker, name, service, view, now) {
        return match plan::decide(&cx.plan_input()) {
            Decision::RollBack(reason) => Some(reason),
            Decision::Hold { .. } | Decision::Step(_) | Decision::Finish => None,
        };
    }
    // The move has ended well. Without instances of the old version there is nothing to go
    // back to.
    if tracker.capacity(name, view.warm_slots).old_slots == 0 {
        return None;
    }
    match tracker.summary().verdict {
        Verdict::Bad(regression) => Some(SmolStr::from(regression.to_string())),
        Verdict::Good | Verdict::Undecided { .. } => None,
    }
}

fn rollback_entry(fact: &TakeBackFact, now: UnixMillis) -> Entry {
    let record = Record::TakeBack {
        ticket: fact.ticket,
        service: fact.service.clone(),
        reason: fact.reason.clone(),
    };
    outbox::entry(record, now)
}

/// Whether the take-back would still change the state.
pub(crate) fn rollback_has_effect(state: &State, fact: &TakeBackFact) -> bool {
    let is_moving = state
        .services
        .values()
        .filter_map(|service| service.moving.as_ref())
        .any(|moving| moving.asked().contains(fact.ticket));
    let has_finished = state.services.get(&fact.service).is_some_and(|service| {
        service.moving.is_none()
            && service.previous.is_some()
            && service.stable_asked.contains(fact.ticket)
    });
    is_moving || has_finished
}
