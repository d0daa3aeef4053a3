//! The fold from records to state.
//!
//! Repeats are harmless. A record below `next` is passed over. A second copy of an append has
//! the id of the first and is passed over while that id is among the latest
//! [`MAX_RECENT_IDS`]. A copy that comes later still meets a second guard: an accepted ticket's
//! number is taken, a claim's epoch is no longer the next one, a step that does not raise the
//! share or names a move that ended changes nothing, and so does a second take-back. What had no
//! effect the first time, such as a ticket that was rejected, is then judged anew like a record
//! that its author wrote again.

mod moves;
mod take_back;
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

/// Ids of records that the state remembers.
pub const MAX_RECENT_IDS: usize = 256;

/// Verdicts that the state remembers.
pub const MAX_VERDICTS: usize = 256;

/// Ends of moves that the state remembers.
pub const MAX_ROLLOUT_ENDS: usize = 512;

/// What a record did to the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// The ticket is in force.
    Accepted,
    /// The ticket was rejected as a whole.
    Rejected(RejectReason),
    /// The epoch of the claim is in force.
    Claimed,
    /// The share of a new version rose.
    Stepped,
    /// A move is done.
    Finished,
    /// The moves of a ticket were taken back.
    RolledBack,
    /// Nothing changed but the offset.
    Ignored(IgnoreReason),
    /// Nothing changed: records between the state and this one are missing. Where the log no
    /// longer has them, a snapshot is needed.
    OutOfOrder {
        /// The offset that the state needs.
        want: Offset,
    },
}

/// Why a record changed nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IgnoreReason {
    /// The state has folded this offset before.
    OldOffset,
    /// A copy of a record that was folded before.
    Duplicate,
    /// The text of the record is not one of this system.
    Unreadable,
    /// Another epoch than the one that the record needs is in force.
    StaleEpoch {
        /// The epoch in force.
        in_force: Epoch,
    },
    /// No move of that ticket and service is under way, or it is not in the right phase.
    NoSuchRollout,
    /// The share would not rise, or lies outside its range.
    ShareNotAbove,
}

impl State {
    /// Folds one record in.
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
            } => self.take_back(*ticket, service, reason, entry.at),
        }
    }

    fn stale_epoch(&self) -> Applied {
        let in_force = self.epoch;
        Applied::Ignored(IgnoreReason::StaleEpoch { in_force })
    }
}

/// Pushes to the back and drops from the front what passes the limit.
fn push_bounded<T>(queue: &mut VecDeque<T>, value: T, limit: usize) {
    queue.push_back(value);
    while queue.len() > limit {
        queue.pop_front();
    }
}
