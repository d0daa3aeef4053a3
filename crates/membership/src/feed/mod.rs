//! The feed of records, the lease and rollback facts, for both the parent and the child.
//!
//! The content of a reply merges by maximum or union, and a record applies only at the offset that
//! follows the last one. Replies may therefore be lost, duplicated and reordered: the offset never
//! decreases, and a child that keeps polling converges to the parent's state.

mod parent_selector;
mod ring;
mod transfer_limiter;

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::Offset;
use base::hash;
use ledger::StampedRecord;
use ledger::State;
use protocol::WIRE_VERSION;
use protocol::feed::FeedReply;
use protocol::feed::FeedRequest;
use protocol::feed::Lease;
use protocol::feed::RollbackFact;

pub use self::parent_selector::ParentSelector;
use self::ring::RecordRing;
pub use self::transfer_limiter::AcquireResult;
pub use self::transfer_limiter::Permit;
pub use self::transfer_limiter::TransferLimiter;

/// Configuration of a [`Feed`].
#[derive(Debug, Clone, Copy)]
pub struct FeedConfig {
    /// How long a request is held open when there is nothing newer (long polling).
    pub hold_timeout: Duration,
    /// Maximum encoded bytes of recent records that a parent buffers.
    pub max_ring_bytes: usize,
    /// Maximum encoded bytes of records in one reply; a reply holds at least one record.
    pub max_reply_bytes: usize,
    /// Returns the encoded size of a record, in bytes.
    pub record_size: fn(&StampedRecord) -> usize,
}

/// A daemon's position in the log, its lease and its rollback facts.
#[derive(Debug)]
pub struct Feed {
    cfg: FeedConfig,
    next: Offset,
    ring: RecordRing,
    lease: Lease,
    facts: BTreeSet<RollbackFact>,
}

/// How a parent handles a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Send this reply.
    Reply(Box<FeedReply>),
    /// There is nothing newer: call [`Feed::answer`] again on a change, at the latest at `until`.
    Hold {
        /// Time at which the parent replies in any case.
        until: Instant,
    },
    /// The child needs a full state: send [`Feed::state_reply`] if the [`TransferLimiter`] permits.
    NeedsState,
    /// The child uses another wire version.
    Refuse,
}

/// What a reply changed, for the child to apply.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplyOutcome {
    /// Replaces the child's state; to be applied before the records.
    pub new_state: Option<State>,
    /// Contiguous new records to apply, in order.
    pub records: Vec<StampedRecord>,
    /// The lease, if it is newer than the previous one.
    pub lease: Option<Lease>,
    /// Facts that the child did not have.
    pub facts: Vec<RollbackFact>,
    /// Set when the parent refused a state transfer: retry after this time.
    pub retry_after: Option<Duration>,
    /// Offset of the parent compared with that of the child.
    pub parent_offset: ParentOffset,
}

/// Offset of the parent compared with that of the child.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ParentOffset {
    /// Equal to or ahead of the child.
    #[default]
    UpToDate,
    /// The parent lacks records that the child has.
    Behind,
}

/// Position of a record relative to the next expected offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordPosition {
    /// The next record: the caller applies it.
    Next,
    /// Already applied.
    Duplicate,
    /// Earlier records are missing: the caller needs a snapshot first.
    Gap,
}

impl Feed {
    /// Creates an empty feed at offset 0.
    #[must_use]
    pub fn new(cfg: FeedConfig) -> Self {
        Self {
            ring: RecordRing::new(cfg.max_ring_bytes),
            cfg,
            next: 0,
            lease: Lease::default(),
            facts: BTreeSet::new(),
        }
    }

    /// Returns the offset of the first missing record.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns the newest lease received.
    #[must_use]
    pub fn lease(&self) -> Lease {
        self.lease
    }

    /// Returns the facts that were received and not dropped by [`Feed::retain_facts`].
    #[must_use]
    pub fn facts(&self) -> &BTreeSet<RollbackFact> {
        &self.facts
    }

    /// As a parent: decides how to handle a request that arrived at `arrived`.
    #[must_use]
    pub fn answer(&self, req: &FeedRequest, arrived: Instant, now: Instant) -> Answer {
        if req.wire != WIRE_VERSION {
            return Answer::Refuse;
        }
        if self.next > req.next {
            return match self.ring.since(req.next, self.cfg.max_reply_bytes) {
                Some(records) => Answer::Reply(Box::new(self.reply(req, records))),
                None => Answer::NeedsState,
            };
        }
        let until = arrived + self.cfg.hold_timeout;
        let has_newer = self.lease > req.lease || self.facts_tag() != req.facts_tag;
        if has_newer || now >= until {
            return Answer::Reply(Box::new(self.reply(req, Vec::new())));
        }
        Answer::Hold { until }
    }

    /// As a parent: builds a reply with the full state.
    #[must_use]
    pub fn state_reply(&self, req: &FeedRequest, state: State) -> FeedReply {
        FeedReply {
            state: Some(state),
            ..self.reply(req, Vec::new())
        }
    }

    /// As a parent: builds a reply that refuses a state transfer until `after` has passed.
    #[must_use]
    pub fn retry_reply(&self, req: &FeedRequest, after: Duration) -> FeedReply {
        FeedReply {
            retry_after: Some(after),
            ..self.reply(req, Vec::new())
        }
    }

    /// As a child: builds the request to the current parent.
    #[must_use]
    pub fn request(&self, child: &DaemonId, selector: &ParentSelector) -> FeedRequest {
        FeedRequest {
            wire: WIRE_VERSION,
            child: child.clone(),
            next: self.next,
            lease: self.lease,
            facts_tag: selector.facts_tag(),
        }
    }

    /// As a child: merges a reply. The caller applies the returned state and records.
    pub fn apply_reply(&mut self, reply: FeedReply) -> ReplyOutcome {
        let parent_offset = if reply.next < self.next {
            ParentOffset::Behind
        } else {
            ParentOffset::UpToDate
        };
        let new_state = reply.state.filter(|it| it.next > self.next);
        if let Some(state) = &new_state {
            self.on_state_loaded(state.next);
        }
        let mut records = Vec::new();
        for record in reply.records {
            if self.accept_record(&record) == RecordPosition::Next {
                records.push(record);
            }
        }
        ReplyOutcome {
            new_state,
            records,
            lease: self.update_lease(reply.lease),
            facts: self.add_facts(reply.facts),
            retry_after: reply.retry_after,
            parent_offset,
        }
    }

    /// Accepts one record. The caller applies it if the result is [`RecordPosition::Next`].
    pub fn accept_record(&mut self, record: &StampedRecord) -> RecordPosition {
        if record.offset < self.next {
            return RecordPosition::Duplicate;
        }
        if record.offset > self.next {
            return RecordPosition::Gap;
        }
        self.next = record.offset + 1;
        let size = (self.cfg.record_size)(record);
        self.ring.push(record.clone(), size);
        RecordPosition::Next
    }

    /// Advances to `next` after the caller loaded a state with all records before `next`. An offset
    /// that is not above the current one has no effect.
    pub fn on_state_loaded(&mut self, next: Offset) {
        if next > self.next {
            self.next = next;
            self.ring.clear();
        }
    }

    /// Merges a lease; returns it if it is newer than the current one.
    pub fn update_lease(&mut self, lease: Lease) -> Option<Lease> {
        if lease <= self.lease {
            return None;
        }
        self.lease = lease;
        Some(lease)
    }

    /// Merges facts; returns the new ones.
    pub fn add_facts(
        &mut self,
        facts: impl IntoIterator<Item = RollbackFact>,
    ) -> Vec<RollbackFact> {
        let mut new = Vec::new();
        for fact in facts {
            if self.facts.insert(fact.clone()) {
                new.push(fact);
            }
        }
        new
    }

    /// Drops the facts for which `keep` returns false, such as those that are in the log by now.
    pub fn retain_facts(&mut self, keep: impl FnMut(&RollbackFact) -> bool) {
        self.facts.retain(keep);
    }

    fn reply(&self, req: &FeedRequest, records: Vec<StampedRecord>) -> FeedReply {
        let facts_tag = self.facts_tag();
        let facts = if facts_tag == req.facts_tag {
            Vec::new()
        } else {
            self.facts.iter().cloned().collect()
        };
        FeedReply {
            next: self.next,
            records,
            state: None,
            lease: self.lease,
            facts_tag,
            facts,
            retry_after: None,
        }
    }

    fn facts_tag(&self) -> u64 {
        self.facts.iter().fold(0, |tag, fact| tag ^ fact_hash(fact))
    }
}

fn fact_hash(fact: &RollbackFact) -> u64 {
    hash::stable(&[
        &fact.ticket.to_le_bytes(),
        fact.service.as_bytes(),
        fact.reason.as_bytes(),
    ])
}
