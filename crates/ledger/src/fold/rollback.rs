//! Rollback of all versions that a ticket requested.
//!
//! One record rolls back the whole ticket. Rollouts in progress end; a service whose rollout has
//! completed reverts to its previous version, unless that one is unknown or was rolled back
//! itself. Routes and policies keep their values, because configuration is never reverted.

use base::ServiceName;
use base::TicketNumber;
use base::UnixMillis;
use base::VersionName;
use smol_str::SmolStr;

use crate::fold::Applied;
use crate::fold::IgnoreReason;
use crate::fold::rollouts::outcome_for;
use crate::state::Rollout;
use crate::state::RolloutEnd;
use crate::state::RolloutOutcome;
use crate::state::Service;
use crate::state::State;

/// Effect of a rollback on one service.
enum Effect {
    /// The ticket's rollout is in progress and ends.
    EndRollout,
    /// The ticket's rollout has completed, and the service reverts to its previous version.
    Revert,
    /// The service has no version of the ticket that can be rolled back.
    Unaffected,
}

impl State {
    /// Rolls back the ticket, and the latest ticket that requested the same version of the service.
    pub(super) fn rollback(
        &mut self,
        ticket: TicketNumber,
        service: &str,
        reason: &SmolStr,
        at: UnixMillis,
    ) -> Applied {
        let tickets = [ticket, self.latest_ticket(ticket, service)];
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        let mut changed = false;
        for name in &names {
            changed |= self.rollback_service(&tickets, name, reason, at);
        }
        if changed {
            Applied::RolledBack
        } else {
            Applied::Ignored(IgnoreReason::NoSuchRollout)
        }
    }

    /// Returns the latest ticket that requested the version which this ticket requested for the
    /// service. The evidence against the version applies to that ticket as well.
    fn latest_ticket(&self, ticket: TicketNumber, service: &str) -> TicketNumber {
        let Some(service) = self.services.get(service) else {
            return ticket;
        };
        let rollout = service.rollout.as_ref().map(Rollout::ticket_range);
        [rollout, Some(service.stable_tickets)]
            .into_iter()
            .flatten()
            .find(|range| range.contains(ticket))
            .map_or(ticket, |range| range.last)
    }

    fn rollback_service(
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
            Effect::Unaffected => false,
            Effect::EndRollout => {
                let Some(rollout) = service.rollout.take() else {
                    return false;
                };
                let from = service.stable.clone();
                self.mark_rolled_back(name, &rollout.to);
                self.record_end(name, from, &rollout, end, at);
                true
            }
            Effect::Revert => {
                let Some(previous) = service.previous.take() else {
                    return false;
                };
                let reverted = std::mem::replace(&mut service.stable, previous.clone());
                let reverted_tickets = std::mem::take(&mut service.stable_tickets);
                self.mark_rolled_back(name, &reverted);
                self.push_end(RolloutEnd {
                    ticket: reverted_tickets.last,
                    service: name.clone(),
                    from: previous,
                    to: reverted,
                    end,
                    at,
                });
                self.finish_rollout_to_stable(name, at);
                true
            }
        }
    }

    fn mark_rolled_back(&mut self, name: &ServiceName, version: &VersionName) {
        self.rolled_back.insert((name.clone(), version.clone()));
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        // A later rollback must not revert to a version that was rolled back.
        if service.previous.as_ref() == Some(version) {
            service.previous = None;
        }
    }

    /// Completes a rollout whose target version became stable through a revert.
    fn finish_rollout_to_stable(&mut self, name: &ServiceName, at: UnixMillis) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let targets_stable = |rollout: &mut Rollout| rollout.to == service.stable;
        let Some(rollout) = service.rollout.take_if(targets_stable) else {
            return;
        };
        service.stable_tickets = rollout.ticket_range();
        let from = service.stable.clone();
        let end = outcome_for(&rollout, at);
        self.record_end(name, from, &rollout, end, at);
    }
}

fn effect(service: &Service, tickets: &[TicketNumber]) -> Effect {
    let has_ticket = |rollout: &Rollout| tickets.contains(&rollout.ticket);
    if service.rollout.as_ref().is_some_and(has_ticket) {
        return Effect::EndRollout;
    }
    let is_stable = tickets.contains(&service.stable_tickets.last);
    if is_stable && service.previous.is_some() {
        return Effect::Revert;
    }
    Effect::Unaffected
}
