//! The feed of records, lease and facts, on the side of the parent and of the child.
//!
//! Everything that a reply can bring merges by maximum or union, and records apply only at the
//! offset that follows the last one. Replies may be lost, repeated and crossed in any way: the
//! offset never falls, and whoever goes on asking ends at the parent's state.

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

/// Settings of a feed.
#[derive(Debug, Clone, Copy)]
pub struct FeedConfig {
    /// How long a request is held when there is nothing newer.
    pub hold_timeout: Duration,
    /// Encoded bytes of recent records that a parent keeps.
    pub max_ring_bytes: usize,
    /// Encoded bytes of records in one reply; one record is always sent.
    pub max_reply_bytes: usize,
    /// Encoded size of a record in bytes.
    pub record_size: fn(&StampedRecord) -> usize,
}

/// What a daemon has of the log, the lease and the facts.
#[derive(Debug)]
pub struct Feed {
    cfg: FeedConfig,
    next: Offset,
    ring: RecordRing,
    lease: Lease,
    facts: BTreeSet<RollbackFact>,
}

/// What a parent does with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Send this.
    Reply(Box<FeedReply>),
    /// Nothing newer: look again when something changes, at the latest at this time.
    Hold {
        /// When to reply in any case.
        until: Instant,
    },
    /// The child needs whole state: send [`Feed::state_reply`] if it is admitted.
    NeedsState,
    /// The child speaks another version of the wire.
    Refuse,
}

/// What a child does with a reply.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplyOutcome {
    /// Replace the own state by this one first.
    pub new_state: Option<State>,
    /// Then fold these, in order.
    pub records: Vec<StampedRecord>,
    /// The lease is newer than the one before.
    pub lease: Option<Lease>,
    /// Facts that were not known before.
    pub facts: Vec<RollbackFact>,
    /// The parent has no room now; ask again after this time.
    pub retry_after: Option<Duration>,
    /// How the parent's offset compares.
    pub parent_offset: ParentOffset,
}

/// How far the parent is, compared with the child.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ParentOffset {
    /// As far as the child or farther.
    #[default]
    UpToDate,
    /// The child has records that the parent lacks.
    Behind,
}

/// What a reader does with a record of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordPosition {
    /// It is the next one: fold it.
    Next,
    /// It was folded before.
    Duplicate,
    /// Records before it are missing: load a snapshot first.
    Gap,
}

impl Feed {
    /// A feed that has nothing.
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

    /// Offset of the first record that is lacking.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Newest lease that was heard.
    #[must_use]
    pub fn lease(&self) -> Lease {
        self.lease
    }

    /// Facts that were heard and not forgotten.
    #[must_use]
    pub fn facts(&self) -> &BTreeSet<RollbackFact> {
        &self.facts
    }

    /// As a parent: what to do now with a request that arrived at `arrived`.
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
        let has_news = self.lease > req.lease || self.facts_tag() != req.facts_tag;
        if has_news || now >= until {
            return Answer::Reply(Box::new(self.reply(req, Vec::new())));
        }
        Answer::Hold { until }
    }

    /// As a parent: a reply with whole state.
    #[must_use]
    pub fn state_reply(&self, req: &FeedRequest, state: State) -> FeedReply {
        FeedReply {
            state: Some(state),
            ..self.reply(req, Vec::new())
        }
    }

    /// As a parent: a reply to a child that is not admitted now.
    #[must_use]
    pub fn retry_reply(&self, req: &FeedRequest, after: Duration) -> FeedReply {
        FeedReply {
            retry_after: Some(after),
            ..self.reply(req, Vec::new())
        }
    }

    /// As a child: what to ask of the parent.
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

    /// As a child: takes in a reply. The caller folds what is returned.
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

    /// Takes in one record. The caller folds it if it is the next one.
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

    /// Notes that whole state was loaded that lacks the records from `next` on. A lower offset
    /// than the present one changes nothing.
    pub fn on_state_loaded(&mut self, next: Offset) {
        if next > self.next {
            self.next = next;
            self.ring.clear();
        }
    }

    /// Merges a lease; returns it when it is newer.
    pub fn update_lease(&mut self, lease: Lease) -> Option<Lease> {
        if lease <= self.lease {
            return None;
        }
        self.lease = lease;
        Some(lease)
    }

    /// Merges facts; returns those that were new.
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

    /// Drops facts that are no longer needed, such as those that the log holds by now.
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
        self.facts.iter().fold(0, |tag, fact| tag ^ hash_of(fact))
    }
}

fn hash_of(fact: &RollbackFact) -> u64 {
    hash::stable(&[
        &fact.ticket.to_le_bytes(),
        fact.service.as_bytes(),
        fact.reason.as_bytes(),
    ])
}
