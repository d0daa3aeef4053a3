//! The exchange between a parent and a child in the fan-out tree.
//!
//! The child asks with what it has; the parent answers at once when it has something newer, and
//! otherwise holds the request for a moment and answers with the lease alone. Facts are sent only
//! when their tag differs from the one that the child repeats, so that a quiet feed stays small.

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

/// What a child has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRequest {
    /// Version of the wire.
    pub wire: u16,
    /// The child.
    pub child: DaemonId,
    /// Offset of the first record that it lacks.
    pub next: Offset,
    /// Newest lease that it has heard.
    pub lease: Lease,
    /// Tag of the facts that this parent last sent; 0 for a parent that was not asked before.
    pub facts_tag: u64,
}

/// What the parent gives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedReply {
    /// Offset of the first record that the parent lacks.
    pub next: Offset,
    /// Records from the child's offset on; empty when there is none newer.
    pub records: Vec<StampedRecord>,
    /// Whole state, where the parent no longer has the records.
    pub state: Option<State>,
    /// Newest lease that the parent has heard.
    pub lease: Lease,
    /// Changes whenever the parent's facts change; the child repeats it in its next request.
    pub facts_tag: u64,
    /// Take-backs that the log may not hold yet; empty where the child has the present tag.
    pub facts: Vec<RollbackFact>,
    /// The child needs whole state and the parent has no room for it now.
    pub retry_after: Option<Duration>,
}

/// Proof that the controller was alive lately. Compared by epoch, then by sequence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Lease {
    /// Epoch of the controller.
    pub epoch: Epoch,
    /// Rises with each renewal.
    pub sequence: u64,
}

/// A take-back that spreads ahead of its record; merging is a set union.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RollbackFact {
    /// Ticket whose moves end.
    pub ticket: TicketNumber,
    /// Service whose version showed itself bad.
    pub service: ServiceName,
    /// Why, for people.
    pub reason: SmolStr,
}
