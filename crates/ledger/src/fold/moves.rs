//! Steps and ends of moves.

use base::FULL_SHARE;
use base::Share;
use base::TicketNumber;
use base::UnixMillis;
use base::VersionName;

use crate::fold::Applied;
use crate::fold::ENDS;
use crate::fold::IgnoreReason;
use crate::fold::push_bounded;
use crate::state::Asked;
use crate::state::EndReport;
use crate::state::Move;
use crate::state::MoveEnd;
use crate::state::Phase;
use crate::state::State;

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
            return Applied::Ignored(IgnoreReason::NoSuchMove);
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
            return Applied::Ignored(IgnoreReason::NoSuchMove);
        };
        let Phase::Watching(full_at) = moving.phase else {
            return Applied::Ignored(IgnoreReason::NoSuchMove);
        };
        let end = end_on_time(moving, full_at);
        self.settle(service, end, at);
        Applied::Finished
    }

    /// Makes the new version of the service's move the stable one.
    fn settle(&mut self, name: &str, end: MoveEnd, at: UnixMillis) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let Some(moving) = service.moving.take() else {
            return;
        };
        let old = std::mem::replace(&mut service.stable, moving.to.clone());
        service.previous = Some(old.clone());
        service.stable_asked = moving.asked();
        self.report_end(name, old, &moving, end, at);
    }

    /// Reports the end of a move that is no longer in the state.
    pub(super) fn report_end(
        &mut self,
        service: &str,
        from: VersionName,
        moving: &Move,
        end: MoveEnd,
        at: UnixMillis,
    ) {
        let report = EndReport {
            ticket: moving.ticket,
            service: service.into(),
            from,
            to: moving.to.clone(),
            end,
            at,
        };
        self.push_end(report);
    }

    pub(super) fn push_end(&mut self, report: EndReport) {
        push_bounded(&mut self.ends, report, ENDS);
    }

    fn move_of(&mut self, ticket: TicketNumber, service: &str) -> Option<&mut Move> {
        let moving = self.services.get_mut(service)?.moving.as_mut()?;
        (moving.ticket == ticket).then_some(moving)
    }
}

impl Move {
    /// The tickets in a row that asked for this move's version.
    #[must_use]
    pub fn asked(&self) -> Asked {
        Asked {
            first: self.first_ticket,
            last: self.ticket,
        }
    }
}

/// Judges a move by when its new version had the full share.
pub(super) fn end_on_time(moving: &Move, full_at: UnixMillis) -> MoveEnd {
    match moving.finish_by {
        Some(time) if full_at > time => MoveEnd::DoneLate {
            by_ms: full_at - time,
        },
        _ => MoveEnd::Done,
    }
}
