//! Progress and completion of rollouts.

use base::FULL_SHARE;
use base::Share;
use base::TicketNumber;
use base::UnixMillis;
use base::VersionName;

use crate::fold::Applied;
use crate::fold::IgnoreReason;
use crate::fold::MAX_ROLLOUT_ENDS;
use crate::fold::push_bounded;
use crate::state::Phase;
use crate::state::Rollout;
use crate::state::RolloutEnd;
use crate::state::RolloutOutcome;
use crate::state::State;
use crate::state::TicketRange;

impl State {
    /// Raises the share of a rollout's target version; the full share starts the watch period.
    pub(super) fn step(
        &mut self,
        ticket: TicketNumber,
        service: &str,
        share: Share,
        at: UnixMillis,
    ) -> Applied {
        let Some(rollout) = self.rollout_of(ticket, service) else {
            return Applied::Ignored(IgnoreReason::NoSuchRollout);
        };
        if share <= rollout.share || share > FULL_SHARE {
            return Applied::Ignored(IgnoreReason::ShareNotAbove);
        }
        rollout.share = share;
        if share == FULL_SHARE {
            rollout.phase = Phase::Watching(at);
        }
        Applied::Stepped
    }

    /// Completes a rollout that has the full share.
    pub(super) fn finish(
        &mut self,
        ticket: TicketNumber,
        service: &str,
        at: UnixMillis,
    ) -> Applied {
        let Some(rollout) = self.rollout_of(ticket, service) else {
            return Applied::Ignored(IgnoreReason::NoSuchRollout);
        };
        let Phase::Watching(full_share_at) = rollout.phase else {
            return Applied::Ignored(IgnoreReason::NoSuchRollout);
        };
        let end = outcome_for(rollout, full_share_at);
        self.promote(service, end, at);
        Applied::Finished
    }

    /// Makes the target version of the service's rollout the stable one.
    fn promote(&mut self, name: &str, end: RolloutOutcome, at: UnixMillis) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let Some(rollout) = service.rollout.take() else {
            return;
        };
        let old = std::mem::replace(&mut service.stable, rollout.to.clone());
        service.previous = Some(old.clone());
        service.stable_tickets = rollout.ticket_range();
        self.record_end(name, old, &rollout, end, at);
    }

    /// Records the end of a rollout that was already taken out of its service.
    pub(super) fn record_end(
        &mut self,
        service: &str,
        from: VersionName,
        rollout: &Rollout,
        end: RolloutOutcome,
        at: UnixMillis,
    ) {
        let rollout_end = RolloutEnd {
            ticket: rollout.ticket,
            service: service.into(),
            from,
            to: rollout.to.clone(),
            end,
            at,
        };
        self.push_end(rollout_end);
    }

    pub(super) fn push_end(&mut self, rollout_end: RolloutEnd) {
        push_bounded(&mut self.ends, rollout_end, MAX_ROLLOUT_ENDS);
    }

    fn rollout_of(&mut self, ticket: TicketNumber, service: &str) -> Option<&mut Rollout> {
        let rollout = self.services.get_mut(service)?.rollout.as_mut()?;
        (rollout.ticket == ticket).then_some(rollout)
    }
}

impl Rollout {
    /// Returns the consecutive tickets that requested the target version.
    #[must_use]
    pub fn ticket_range(&self) -> TicketRange {
        TicketRange {
            first: self.first_ticket,
            last: self.ticket,
        }
    }
}

/// Compares the time at which the target version had the full share with the deadline.
pub(super) fn outcome_for(rollout: &Rollout, full_share_at: UnixMillis) -> RolloutOutcome {
    match rollout.finish_by {
        Some(deadline) if full_share_at > deadline => RolloutOutcome::DoneLate {
            by_ms: full_share_at - deadline,
        },
        _ => RolloutOutcome::Done,
    }
}
