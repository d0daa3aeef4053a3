//! Entries to append, retried until their effect shows in the folded state.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use base::RecordId;
use base::TicketNumber;
use base::UnixMillis;
use ledger::Entry;
use ledger::Record;
use ledger::State;
use protocol::feed::RollbackFact;
use smol_str::format_smolstr;

use crate::controller::Action;
use crate::controller::rollback_has_effect;

/// Time after which an entry that is not folded yet is appended again.
pub const APPEND_RETRY_INTERVAL: Duration = Duration::from_secs(3);

/// Pending entries by id.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pending: BTreeMap<RecordId, PendingEntry>,
}

#[derive(Debug)]
struct PendingEntry {
    entry: Entry,
    last_append: Option<Instant>,
}

/// Builds an entry whose id is derived from its record, so that duplicates share one id.
pub(crate) fn entry(record: Record, at: UnixMillis) -> Entry {
    let id = match &record {
        Record::Step {
            epoch,
            ticket,
            service,
            share,
        } => format_smolstr!("step/{epoch}/{ticket}/{service}/{share}"),
        Record::Finish {
            epoch,
            ticket,
            service,
        } => format_smolstr!("finish/{epoch}/{ticket}/{service}"),
        Record::Rollback {
            ticket, service, ..
        } => format_smolstr!("take-back/{ticket}/{service}"),
        Record::Ticket(ticket) => format_smolstr!("ticket/{}", ticket.ticket),
        Record::Claim { epoch, controller } => format_smolstr!("claim/{epoch}/{controller}"),
    };
    Entry { id, at, record }
}

impl Outbox {
    /// Adds an entry; returns false when its id is already pending.
    pub(crate) fn enqueue(&mut self, entry: Entry) -> bool {
        if self.pending.contains_key(&entry.id) {
            return false;
        }
        let id = entry.id.clone();
        self.pending.insert(
            id,
            PendingEntry {
                entry,
                last_append: None,
            },
        );
        true
    }

    /// Drops steps and finishes; they are decided again from later evidence.
    pub(crate) fn drop_steps(&mut self) {
        self.pending
            .retain(|_, item| matches!(item.entry.record, Record::Rollback { .. }));
    }

    /// Whether a rollback of the ticket is pending.
    pub(crate) fn has_rollback(&self, wanted: TicketNumber) -> bool {
        self.records()
            .any(|record| matches!(record, Record::Rollback { ticket, .. } if *ticket == wanted))
    }

    /// Whether a step or the finish of the service's rollout is pending.
    pub(crate) fn has_step(&self, wanted: &str) -> bool {
        self.records().any(|record| match record {
            Record::Step { service, .. } | Record::Finish { service, .. } => service == wanted,
            Record::Ticket(_) | Record::Claim { .. } | Record::Rollback { .. } => false,
        })
    }

    /// Returns the entries to append now, and drops those that no longer apply.
    pub(crate) fn due(&mut self, state: &State, now: Instant) -> Vec<Action> {
        self.pending
            .retain(|_, item| can_still_apply(state, &item.entry.record));
        let mut actions = Vec::new();
        for item in self.pending.values_mut() {
            if item.is_due(now) {
                item.last_append = Some(now);
                actions.push(Action::Append(item.entry.clone()));
            }
        }
        actions
    }

    fn records(&self) -> impl Iterator<Item = &Record> {
        self.pending.values().map(|item| &item.entry.record)
    }
}

impl PendingEntry {
    fn is_due(&self, now: Instant) -> bool {
        self.last_append.is_none_or(|last_append| {
            now.saturating_duration_since(last_append) >= APPEND_RETRY_INTERVAL
        })
    }
}

/// Whether the record would still change the state.
fn can_still_apply(state: &State, record: &Record) -> bool {
    let rollout = |ticket: TicketNumber, service: &str| {
        let rollout = state.services.get(service)?.rollout.as_ref()?;
        (rollout.ticket == ticket).then_some(rollout)
    };
    match record {
        Record::Step {
            ticket,
            service,
            share,
            ..
        } => rollout(*ticket, service).is_some_and(|rollout| rollout.share < *share),
        Record::Finish {
            ticket, service, ..
        } => rollout(*ticket, service).is_some(),
        Record::Rollback {
            ticket,
            service,
            reason,
        } => {
            let fact = RollbackFact {
                ticket: *ticket,
                service: service.clone(),
                reason: reason.clone(),
            };
            rollback_has_effect(state, &fact)
        }
        Record::Ticket(_) | Record::Claim { .. } => false,
    }
}
