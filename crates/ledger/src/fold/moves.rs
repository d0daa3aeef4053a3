//! Steps and ends of moves.

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
    /// Raises the share of a move's new version.
    pub(super) fn step(
        &mut self,
        ticket: TicketNumber,
        service: &str,
        share: Share,
        at: UnixMillis,
    ) -> Applied {
        let Some(moving) = self.move_of(ticket, service) else {
            return Applied::Ignored(IgnoreReason::NoSuchRollout);
        };
        if share <= moving.share || share > FULL_SHARE {
            return Applied::Ignored(IgnoreReason::ShareNotAbove);
        }
        moving.share = share;
        if share == FULL_SHARE {
            moving.phase = Phase::Watching(at);
        }
        Applied::Stepped
    }

    /// Ends a move that is watched.
    pub(super) fn finish(
        &mut self,
        ticket: TicketNumber,
        service: &str,
        at: UnixMillis,
    ) -> Applied {
        let Some(moving) = self.move_of(ticket, service) else {
            return Applied::Ignored(IgnoreReason::NoSuchRollout);
        };
        let Phase::Watching(full_at) = moving.phase else {
            return Applied::Ignored(IgnoreReason::NoSuchRollout);
        };
        let end = end_on_time(moving, full_at);
        self.settle(service, end, at);
        Applied::Finished
    }

    /// Makes the new version of the service's move the stable one.
    fn settle(&mut self, name: &str, end: RolloutOutcome, at: UnixMillis) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let Some(moving) = service.rollout.take() else {
            return;
        };
        let old = std::mem::replace(&mut service.stable, moving.to.clone());
        service.previous = Some(old.clone());
        service.stable_tickets = moving.ticket_range();
        self.report_end(name, old, &moving, end, at);
    }

    /// Reports the end of a move that is no longer in the state.
    pub(super) fn report_end(
        &mut self,
        service: &str,
        from: VersionName,
        moving: &Rollout,
        end: RolloutOutcome,
        at: UnixMillis,
    ) {
        let report = RolloutEnd {
            ticket: moving.ticket,
            service: service.into(),
            from,
            to: moving.to.clone(),
            end,
            at,
        };
        self.push_end(report);
    }

    pub(super) fn push_end(&mut self, report: RolloutEnd) {
        push_bounded(&mut self.ends, report, MAX_ROLLOUT_ENDS);
    }

    fn move_of(&mut self, ticket: TicketNumber, service: &str) -> Option<&mut Rollout> {
        let moving = self.services.get_mut(service)?.rollout.as_mut()?;
        (moving.ticket == ticket).then_some(moving)
    }
}

impl Rollout {
    /// The tickets in a row that asked for this move's version.
    #[must_use]
    pub fn ticket_range(&self) -> TicketRange {
        TicketRange {
            first: self.first_ticket,
            last: self.ticket,
        }
    }
}

/// Judges a move by when its new version had the full share.
pub(super) fn end_on_time(moving: &Rollout, full_at: UnixMillis) -> RolloutOutcome {
    match moving.finish_by {
        Some(time) if full_at > time => RolloutOutcome::DoneLate {
            by_ms: full_at - time,
        },
        _ => RolloutOutcome::Done,
    }
}
