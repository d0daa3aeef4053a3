//! Take-back of all versions that a ticket asked for.
//!
//! One record decides for the whole ticket. Moves under way end; a service whose move has
//! finished returns to its version before, where that one is known and not bad itself. Routes
//! and policies stay as they are, since configuration never goes back.

use base::ServiceName;
use base::TicketNumber;
use base::UnixMillis;
use base::VersionName;
use smol_str::SmolStr;

use crate::fold::Applied;
use crate::fold::IgnoreReason;
use crate::fold::moves::end_on_time;
use crate::state::Rollout;
use crate::state::RolloutEnd;
use crate::state::RolloutOutcome;
use crate::state::Service;
use crate::state::State;

/// What the take-back means for one service.
enum Effect {
    /// The ticket's move is under way.
    EndMove,
    /// The ticket's move has finished, and the version before is known.
    Return,
    /// Nothing of the ticket is left that could go back.
    Nothing,
}

impl State {
    /// Ends all moves of the ticket and of the ticket that carried the named service's move on.
    pub(super) fn take_back(
        &mut self,
        ticket: TicketNumber,
        service: &str,
        reason: &SmolStr,
        at: UnixMillis,
    ) -> Applied {
        let tickets = [ticket, self.carried_on_by(ticket, service)];
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        let mut changed = false;
        for name in &names {
            changed |= self.take_back_service(&tickets, name, reason, at);
        }
        if changed {
            Applied::RolledBack
        } else {
            Applied::Ignored(IgnoreReason::NoSuchRollout)
        }
    }

    /// The ticket that owns the named version now. A later ticket that asked for the same
    /// version shares the evidence against it.
    fn carried_on_by(&self, ticket: TicketNumber, service: &str) -> TicketNumber {
        let Some(service) = self.services.get(service) else {
            return ticket;
        };
        let moving = service.rollout.as_ref().map(Rollout::ticket_range);
        [moving, Some(service.stable_tickets)]
            .into_iter()
            .flatten()
            .find(|asked| asked.contains(ticket))
            .map_or(ticket, |asked| asked.last)
    }

    fn take_back_service(
        &mut self,
        tickets: &[TicketNumber],
        name: &ServiceName,
        reason: &SmolStr,
        at: UnixMillis,
    ) -> bool {
        let Some(service) = self.services.get_mut(name) else {
            return false;
        };
        let end = RolloutOutcome::RolledBack {
            reason: reason.clone(),
        };
        match effect(service, tickets) {
            Effect::Nothing => false,
            Effect::EndMove => {
                let Some(moving) = service.rollout.take() else {
                    return false;
                };
                let from = service.stable.clone();
                self.mark_bad(name, &moving.to);
                self.report_end(name, from, &moving, end, at);
                true
            }
            Effect::Return => {
                let Some(previous) = service.previous.take() else {
                    return false;
                };
                let bad = std::mem::replace(&mut service.stable, previous.clone());
                let asked = std::mem::take(&mut service.stable_tickets);
                self.mark_bad(name, &bad);
                self.push_end(RolloutEnd {
                    ticket: asked.last,
                    service: name.clone(),
                    from: previous,
                    to: bad,
                    end,
                    at,
                });
                self.end_move_to_stable(name, at);
                true
            }
        }
    }

    fn mark_bad(&mut self, name: &ServiceName, version: &VersionName) {
        self.rolled_back.insert((name.clone(), version.clone()));
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        // A later take-back must not return to a bad version.
        if service.previous.as_ref() == Some(version) {
            service.previous = None;
        }
    }

    /// Ends a move whose new version became the stable one by a return to it.
    fn end_move_to_stable(&mut self, name: &ServiceName, at: UnixMillis) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let arrived = |moving: &mut Rollout| moving.to == service.stable;
        let Some(moving) = service.rollout.take_if(arrived) else {
            return;
        };
        service.stable_tickets = moving.ticket_range();
        let from = service.stable.clone();
        let end = end_on_time(&moving, at);
        self.report_end(name, from, &moving, end, at);
    }
}

fn effect(service: &Service, tickets: &[TicketNumber]) -> Effect {
    let is_moving = |moving: &Rollout| tickets.contains(&moving.ticket);
    if service.rollout.as_ref().is_some_and(is_moving) {
        return Effect::EndMove;
    }
    let is_stable = tickets.contains(&service.stable_tickets.last);
    if is_stable && service.previous.is_some() {
        return Effect::Return;
    }
    Effect::Nothing
}
