//! The controller core: decides on all rollouts while this daemon holds the epoch in force.
//!
//! When the lease expires, live daemons are candidates for the next epoch, in an order that depends
//! on the epoch. Each candidate waits longer than the one before it, so usually only one claims.
//! Racing claims are settled by the order of the log: the folded state names the holder.

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
use protocol::feed::RollbackFact;
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

/// Interval between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// A longer gap between two ticks resets all windows, so that evidence from before a pause does not
/// decide.
pub const MAX_TICK_GAP: Duration = Duration::from_millis(2_500);

/// Time of a tick on both clocks.
#[derive(Debug, Clone, Copy)]
pub struct TickTime {
    /// Monotonic clock, for durations.
    pub monotonic: Instant,
    /// Wall clock, for deadlines and the timestamps of entries.
    pub wall: UnixMillis,
}

/// Whether the log service works; reported by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogHealth {
    /// Appends and reads work.
    Up,
    /// Appends or reads fail; claims and steps wait.
    Down,
}

/// Input of a tick: what the daemon knows of the cluster.
#[derive(Debug, Clone, Copy)]
pub struct ClusterView<'a> {
    /// The folded state.
    pub state: &'a State,
    /// Live members, including this daemon.
    pub members: &'a [DaemonId],
    /// Rollbacks received from any daemon; the log may not hold them yet.
    pub rollbacks: &'a [RollbackFact],
    /// Slots by service and version, of live instances that are past their cold start.
    pub warm_slots: &'a WarmSlots,
    /// Whether the log service works.
    pub log: LogHealth,
}

/// Slots by service and version, of live instances that are past their cold start.
pub type WarmSlots = BTreeMap<(ServiceName, VersionName), u32>;

/// An action for the daemon to take after a tick.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Append a claim of this epoch.
    Claim {
        /// The claimed epoch.
        epoch: Epoch,
        /// The entry that holds the claim.
        entry: Entry,
    },
    /// Distribute this lease renewal.
    Renew(Lease),
    /// Append this entry.
    Append(Entry),
    /// Send this rollback to all daemons, without waiting for the log.
    BroadcastRollback(RollbackFact),
}

/// The controller core of one daemon; idle while another daemon holds the epoch in force.
#[derive(Debug)]
pub struct Controller {
    me: DaemonId,
    candidate: Candidate,
    leadership: Option<Leadership>,
    last_tick: Option<Instant>,
}

/// State kept while this daemon holds the epoch.
#[derive(Debug)]
struct Leadership {
    lease_holder: LeaseHolder,
    evidence: Evidence,
    trackers: BTreeMap<ServiceName, Tracker>,
    outbox: Outbox,
}

impl Controller {
    /// Creates a core that holds no epoch. `nonce` must differ between starts of the daemon.
    #[must_use]
    pub fn new(me: DaemonId, nonce: u64) -> Self {
        Self {
            candidate: Candidate::new(me.clone(), nonce),
            me,
            leadership: None,
            last_tick: None,
        }
    }

    /// The epoch that this daemon holds; `None` for a candidate.
    #[must_use]
    pub fn epoch(&self) -> Option<Epoch> {
        Some(self.leadership.as_ref()?.lease_holder.epoch())
    }

    /// Merges a report; drops it while no epoch is held.
    pub fn on_report(&mut self, report: EvidenceReport) {
        if let Some(leadership) = &mut self.leadership {
            leadership.evidence.merge(report);
        }
    }

    /// Returns the actions to take now. `lease` is the lease as received by this daemon.
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

    /// Gives up the epoch after a pause of at least the lease's duration; resets the windows after
    /// a shorter one.
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

    /// Steps down at a higher epoch, and takes over once this daemon's claim is in force.
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

    /// Keeps one tracker per service with a comparison.
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

    /// Rolls back each ticket with a bad version, and appends the rollbacks of other daemons.
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
            let fact = RollbackFact {
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

    /// Raises shares and finishes rollouts, except those with a pending rollback.
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

/// A rollout in progress with the inputs of its plan.
struct RolloutContext<'a> {
    service: &'a Service,
    rollout: &'a ledger::Rollout,
    summary: plan::EvidenceSummary,
    capacity: Capacity,
    time_in_step: Duration,
    now: UnixMillis,
}

impl<'a> RolloutContext<'a> {
    /// Returns `None` when no rollout is in progress.
    fn of(
        tracker: &Tracker,
        name: &ServiceName,
        service: &'a Service,
        view: &ClusterView<'_>,
        now: TickTime,
    ) -> Option<Self> {
        Some(Self {
            service,
            rollout: service.rollout.as_ref()?,
            summary: tracker.summary(),
            capacity: tracker.capacity(name, view.warm_slots),
            time_in_step: tracker.time_in_step(now.monotonic),
            now: now.wall,
        })
    }

    fn plan_input(&self) -> PlanInput<'_> {
        PlanInput {
            rollout: self.rollout,
            policy: &self.service.policy,
            summary: &self.summary,
            capacity: self.capacity,
            time_in_step: self.time_in_step,
            now: self.now,
        }
    }
}

/// Why the tracked version must be rolled back; `None` when it must not.
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
    // The rollout has finished. Without instances of the old version, a rollback has no target.
    if tracker.capacity(name, view.warm_slots).old_slots == 0 {
        return None;
    }
    match tracker.summary().verdict {
        Verdict::Bad(regression) => Some(SmolStr::from(regression.to_string())),
        Verdict::Good | Verdict::Undecided { .. } => None,
    }
}

fn rollback_entry(fact: &RollbackFact, now: UnixMillis) -> Entry {
    let record = Record::Rollback {
        ticket: fact.ticket,
        service: fact.service.clone(),
        reason: fact.reason.clone(),
    };
    outbox::entry(record, now)
}

/// Whether the rollback would still change the state.
pub(crate) fn rollback_has_effect(state: &State, fact: &RollbackFact) -> bool {
    let is_in_progress = state
        .services
        .values()
        .filter_map(|service| service.rollout.as_ref())
        .any(|rollout| rollout.ticket_range().contains(fact.ticket));
    let has_finished = state.services.get(&fact.service).is_some_and(|service| {
        service.rollout.is_none()
            && service.previous.is_some()
            && service.stable_tickets.contains(fact.ticket)
    });
    is_in_progress || has_finished
}
