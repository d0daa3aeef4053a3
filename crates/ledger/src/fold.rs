//! Applies log records to the state.
//!
//! Duplicates have no effect. A record below `next` is ignored. A retried append carries the id of
//! the first one and is ignored while that id is among the latest [`MAX_RECENT_IDS`]. A duplicate
//! that arrives after its id was evicted fails the checks of its own kind: an accepted ticket's
//! number is taken, a claim's epoch is no longer the next one, a step that does not raise the
//! share or names a rollout that ended is ignored, and so is a second rollback. A late duplicate
//! of a record that had no effect, such as a rejected ticket, is evaluated again like a new record.

mod rollback;
mod rollouts;
mod tickets;

use std::collections::VecDeque;

use base::Epoch;
use base::Offset;

use crate::record::Entry;
use crate::record::Record;
use crate::record::StampedRecord;
use crate::state::RejectReason;
use crate::state::State;

pub use tickets::check_ticket;

/// Most record ids that the state keeps to detect duplicates.
pub const MAX_RECENT_IDS: usize = 256;

/// Most ticket verdicts that the state keeps.
pub const MAX_VERDICTS: usize = 256;

/// Most ended rollouts that the state keeps.
pub const MAX_ROLLOUT_ENDS: usize = 512;

/// Effect of a record on the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// The ticket was accepted and its services and routes are set.
    Accepted,
    /// The ticket was rejected as a whole.
    Rejected(RejectReason),
    /// The claim's epoch became the current one.
    Claimed,
    /// The share of a rollout increased.
    Stepped,
    /// A rollout completed; its target version is stable.
    Finished,
    /// The rollouts of a ticket were rolled back.
    RolledBack,
    /// Nothing changed but the offset.
    Ignored(IgnoreReason),
    /// Nothing changed: records between the state and this one are missing. If the log has
    /// dropped them, the state must be loaded from a snapshot.
    OutOfOrder {
        /// Offset of the record that the state needs next.
        want: Offset,
    },
}

/// Why a record had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IgnoreReason {
    /// A record at this offset was applied before.
    OldOffset,
    /// A recent record has the same id.
    Duplicate,
    /// The log text could not be decoded.
    Unreadable,
    /// The record's epoch is not the current one, or a claim's not the next one.
    StaleEpoch {
        /// Current epoch.
        current: Epoch,
    },
    /// The ticket has no rollout of the service that the record applies to, or the rollout is in
    /// another phase.
    NoSuchRollout,
    /// The share would not increase, or is above the full share.
    ShareNotAbove,
}

impl State {
    /// Applies the record if its offset is `next`.
    pub fn apply(&mut self, record: &StampedRecord) -> Applied {
        if record.offset < self.next {
            return Applied::Ignored(IgnoreReason::OldOffset);
        }
        if record.offset > self.next {
            return Applied::OutOfOrder { want: self.next };
        }
        self.next = self.next.saturating_add(1);
        let Some(entry) = &record.entry else {
            return Applied::Ignored(IgnoreReason::Unreadable);
        };
        if self.recent_ids.contains(&entry.id) {
            return Applied::Ignored(IgnoreReason::Duplicate);
        }
        push_bounded(&mut self.recent_ids, entry.id.clone(), MAX_RECENT_IDS);
        self.apply_entry(record.offset, entry)
    }

    fn apply_entry(&mut self, offset: Offset, entry: &Entry) -> Applied {
        match &entry.record {
            Record::Ticket(ticket) => self.apply_ticket(offset, entry, ticket),
            Record::Claim { epoch, controller } => {
                if *epoch != self.epoch + 1 {
                    return self.stale_epoch();
                }
                self.epoch = *epoch;
                self.controller = Some(controller.clone());
                Applied::Claimed
            }
            Record::Step {
                epoch,
                ticket,
                service,
                share,
            } => {
                if *epoch != self.epoch {
                    return self.stale_epoch();
                }
                self.step(*ticket, service, *share, entry.at)
            }
            Record::Finish {
                epoch,
                ticket,
                service,
            } => {
                if *epoch != self.epoch {
                    return self.stale_epoch();
                }
                self.finish(*ticket, service, entry.at)
            }
            Record::Rollback {
                ticket,
                service,
                reason,
            } => self.rollback(*ticket, service, reason, entry.at),
        }
    }

    fn stale_epoch(&self) -> Applied {
        let current = self.epoch;
        Applied::Ignored(IgnoreReason::StaleEpoch { current })
    }
}

/// Appends the value and evicts from the front down to the limit.
fn push_bounded<T>(queue: &mut VecDeque<T>, value: T, limit: usize) {
    queue.push_back(value);
    while queue.len() > limit {
        queue.pop_front();
    }
}
