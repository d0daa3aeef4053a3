//! Replication feed from a parent to a child in the fan-out tree, by long polling.
//!
//! The request states what the child has. The parent replies at once when it has something newer;
//! otherwise it holds the request until a timeout and replies with the lease alone. Rollback facts
//! are sent only when their tag differs from the one in the request, so that replies stay small
//! while nothing changes.

use std::time::Duration;

use base::DaemonId;
use base::Epoch;
use base::Offset;
use base::ServiceName;
use base::TicketNumber;
use ledger::StampedRecord;
use ledger::State;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// A child's request for everything newer than what it has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRequest {
    /// [`WIRE_VERSION`](crate::WIRE_VERSION) of the sender; the parent refuses any other
    /// than its own.
    pub wire: u16,
    /// Daemon that sends the request.
    pub child: DaemonId,
    /// Offset of the first record that the child lacks.
    pub next: Offset,
    /// Newest lease that the child knows.
    pub lease: Lease,
    /// [`FeedReply::facts_tag`] of the last reply from this parent; 0 before the first reply.
    pub facts_tag: u64,
}

/// A parent's reply with everything newer than what the child has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedReply {
    /// Offset of the first record that the parent lacks.
    pub next: Offset,
    /// Records from [`FeedRequest::next`] on, up to a size limit; empty when there are none.
    pub records: Vec<StampedRecord>,
    /// Full state, sent when the parent no longer holds the records that the child lacks.
    pub state: Option<State>,
    /// Newest lease that the parent knows.
    pub lease: Lease,
    /// Tag of the parent's set of facts, which changes with the set; the child repeats it in its
    /// next request.
    pub facts_tag: u64,
    /// Rollbacks that may not be in the log yet; empty when the child already has this tag.
    pub facts: Vec<RollbackFact>,
    /// Delay before the next request of a child that needs the full state while too many transfers
    /// run.
    pub retry_after: Option<Duration>,
}

/// The controller's lease: shows that it was alive recently. Ordered by epoch, then by sequence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Lease {
    /// Epoch in which the controller was elected.
    pub epoch: Epoch,
    /// Increases with each renewal of the lease.
    pub sequence: u64,
}

/// A rollback that is propagated ahead of its log record. Sets of facts merge by union.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "TakeBackFact")]
pub struct RollbackFact {
    /// Ticket whose rollouts are rolled back.
    pub ticket: TicketNumber,
    /// Service whose new version failed.
    pub service: ServiceName,
    /// Reason of the rollback, for human readers.
    pub reason: SmolStr,
}

/// Decodes a [`RollbackFact`]. Decoding errors contain the name of this struct and are sent to peers
/// in 400 responses, so the name must not change.
#[derive(Deserialize)]
struct TakeBackFact {
    ticket: TicketNumber,
    service: ServiceName,
    reason: SmolStr,
}

impl From<TakeBackFact> for RollbackFact {
    fn from(fact: TakeBackFact) -> Self {
        Self {
            ticket: fact.ticket,
            service: fact.service,
            reason: fact.reason,
        }
    }
}
