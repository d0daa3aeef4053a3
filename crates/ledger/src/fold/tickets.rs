//! Acceptance of tickets. A ticket takes effect as a whole or not at all.

use base::Offset;
use base::ServiceName;
use base::TicketNumber;
use base::UnixMillis;
use smol_str::ToSmolStr;

use crate::fold::Applied;
use crate::fold::MAX_VERDICTS;
use crate::fold::push_bounded;
use crate::record::Entry;
use crate::state::Phase;
use crate::state::RejectReason;
use crate::state::Rollout;
use crate::state::RolloutOutcome;
use crate::state::Service;
use crate::state::State;
use crate::state::TicketRange;
use crate::state::TicketVerdict;
use crate::ticket::RangeError;
use crate::ticket::ServiceSpec;
use crate::ticket::Ticket;

/// Checks whether the state would accept the ticket.
///
/// # Errors
/// Returns the first reason to reject it.
pub fn check_ticket(state: &State, ticket: &Ticket) -> Result<(), RejectReason> {
    if ticket.ticket <= state.ticket {
        return Err(RejectReason::NumberTaken { last: state.ticket });
    }
    ticket.check()?;
    check_removals(state, ticket)?;
    check_versions(state, ticket)?;
    check_routes(state, ticket)
}

fn check_removals(state: &State, ticket: &Ticket) -> Result<(), RejectReason> {
    for name in &ticket.remove_services {
        if !state.services.contains_key(name) {
            return Err(RejectReason::UnknownService(name.clone()));
        }
    }
    for prefix in &ticket.remove_routes {
        if !state.routes.contains_key(prefix) {
            return Err(RejectReason::UnknownRoute(prefix.clone()));
        }
    }
    Ok(())
}

fn check_versions(state: &State, ticket: &Ticket) -> Result<(), RejectReason> {
    for (service, spec) in &ticket.services {
        let key = (service.clone(), spec.version.clone());
        if state.rolled_back.contains(&key) {
            let (service, version) = key;
            return Err(RejectReason::VersionRolledBack { service, version });
        }
    }
    Ok(())
}

fn check_routes(state: &State, ticket: &Ticket) -> Result<(), RejectReason> {
    let remains = |prefix| !ticket.remove_routes.contains(prefix);
    let kept = state.routes.iter().filter(|(prefix, _)| remains(prefix));
    for (prefix, route) in kept.chain(&ticket.routes) {
        // The ticket replaces an existing route with the same prefix.
        let route = ticket.routes.get(prefix).unwrap_or(route);
        if !will_exist(state, ticket, &route.service) {
            return Err(RejectReason::RouteWithoutService {
                route: prefix.clone(),
                service: route.service.clone(),
            });
        }
    }
    Ok(())
}

fn will_exist(state: &State, ticket: &Ticket, service: &ServiceName) -> bool {
    let is_kept = state.services.contains_key(service) && !ticket.remove_services.contains(service);
    is_kept || ticket.services.contains_key(service)
}

impl From<RangeError> for RejectReason {
    fn from(error: RangeError) -> Self {
        match &error {
            RangeError::Value { .. } => Self::OutOfRange(error.to_smolstr()),
            RangeError::Contradiction { key } => Self::Contradiction(key.join(".").into()),
        }
    }
}

impl State {
    pub(super) fn apply_ticket(
        &mut self,
        offset: Offset,
        entry: &Entry,
        ticket: &Ticket,
    ) -> Applied {
        let rejected = check_ticket(self, ticket).err();
        let verdict = TicketVerdict {
            id: entry.id.clone(),
            ticket: ticket.ticket,
            offset,
            rejected: rejected.clone(),
        };
        push_bounded(&mut self.verdicts, verdict, MAX_VERDICTS);
        if let Some(reason) = rejected {
            return Applied::Rejected(reason);
        }
        self.accept(ticket, entry.at);
        Applied::Accepted
    }

    fn accept(&mut self, ticket: &Ticket, at: UnixMillis) {
        self.ticket = ticket.ticket;
        for name in &ticket.remove_services {
            self.supersede(name, ticket.ticket, at);
            self.services.remove(name);
        }
        for (name, spec) in &ticket.services {
            self.apply_service_spec(name, spec, ticket.ticket, at);
        }
        for prefix in &ticket.remove_routes {
            self.routes.remove(prefix);
        }
        for (prefix, route) in &ticket.routes {
            self.routes.insert(prefix.clone(), route.clone());
        }
    }

    fn apply_service_spec(
        &mut self,
        name: &ServiceName,
        spec: &ServiceSpec,
        ticket: TicketNumber,
        at: UnixMillis,
    ) {
        let before = self.supersede(name, ticket, at);
        let service = self
            .services
            .entry(name.clone())
            .or_insert_with(|| new_service(spec, ticket));
        service.ticket = ticket;
        service.policy = spec.policy.clone();
        if service.stable != spec.version {
            service.rollout = Some(next_rollout(before, spec, ticket, at));
        }
    }

    /// Removes the service's rollout and records that the ticket superseded it.
    fn supersede(&mut self, name: &str, by: TicketNumber, at: UnixMillis) -> Option<Rollout> {
        let service = self.services.get_mut(name)?;
        let from = service.stable.clone();
        let rollout = service.rollout.take()?;
        self.record_end(name, from, &rollout, RolloutOutcome::Superseded { by }, at);
        Some(rollout)
    }
}

// A new service has no other version that could serve its calls, so this one is stable at once.
fn new_service(spec: &ServiceSpec, ticket: TicketNumber) -> Service {
    Service {
        stable: spec.version.clone(),
        previous: None,
        ticket,
        stable_tickets: TicketRange {
            first: ticket,
            last: ticket,
        },
        policy: spec.policy.clone(),
        rollout: None,
    }
}

/// Returns the rollout that the ticket requests. It continues `before` if that one has the same
/// target version.
fn next_rollout(
    before: Option<Rollout>,
    spec: &ServiceSpec,
    ticket: TicketNumber,
    at: UnixMillis,
) -> Rollout {
    if let Some(before) = before.filter(|rollout| rollout.to == spec.version) {
        return Rollout {
            ticket,
            finish_by: spec.finish_by,
            ..before
        };
    }
    Rollout {
        ticket,
        first_ticket: ticket,
        to: spec.version.clone(),
        finish_by: spec.finish_by,
        share: 0,
        started: at,
        phase: Phase::Ramping,
    }
}
