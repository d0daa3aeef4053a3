//! Records of the log and their text form.

use std::fmt;

use base::DaemonId;
use base::Epoch;
use base::Offset;
use base::RecordId;
use base::ServiceName;
use base::Share;
use base::TicketNumber;
use base::UnixMillis;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ticket::Ticket;

/// A record as its author appends it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Idempotency key: a retried append keeps the id, and the fold ignores the duplicate.
    pub id: RecordId,
    /// Wall clock of the author; gives the times of rollouts, never the order of records.
    pub at: UnixMillis,
    /// The change of state.
    pub record: Record,
}

impl Entry {
    /// Encodes the entry as compact JSON on one line, the form that the log stores.
    ///
    /// # Panics
    /// Never: all fields can be serialized to JSON.
    #[must_use]
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("an entry can be serialized to JSON")
    }

    /// Decodes an entry from the text that the log stores.
    ///
    /// # Errors
    /// When the text is not JSON, or not an entry that this version of the system knows.
    pub fn from_text(text: &str) -> Result<Self, EntryError> {
        serde_json::from_str(text).map_err(|error| EntryError(error.to_string()))
    }
}

/// A log text that cannot be decoded as an [`Entry`]; holds the parser's message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryError(String);

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "log record cannot be decoded: {}", self.0)
    }
}

impl std::error::Error for EntryError {}

/// A record with its offset in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StampedRecord {
    /// Assigned by the log.
    pub offset: Offset,
    /// `None` where the text cannot be decoded; the fold skips such a record.
    pub entry: Option<Entry>,
}

impl StampedRecord {
    /// Decodes a text that the log returned for the offset.
    #[must_use]
    pub fn from_text(offset: Offset, text: &str) -> Self {
        let entry = Entry::from_text(text).ok();
        Self { offset, entry }
    }
}

/// A change of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// An operator publishes a ticket.
    Ticket(Ticket),
    /// A daemon claims the controller role; the first claim of an epoch wins.
    Claim {
        /// Must be one above the current epoch.
        epoch: Epoch,
        /// Daemon that claims the role.
        controller: DaemonId,
    },
    /// The controller raises the share of the new version in one rollout.
    Step {
        /// Epoch of the controller; the record is ignored unless it is the current one.
        epoch: Epoch,
        /// Ticket that requested the rollout.
        ticket: TicketNumber,
        /// Service that is rolled out.
        service: ServiceName,
        /// New share, in thousandths; must be above the share before.
        share: Share,
    },
    /// The controller completes a rollout whose watch period has ended.
    Finish {
        /// Epoch of the controller; the record is ignored unless it is the current one.
        epoch: Epoch,
        /// Ticket that requested the rollout.
        ticket: TicketNumber,
        /// Service that was rolled out.
        service: ServiceName,
    },
    /// Rolls back all rollouts of a ticket permanently. Valid in any epoch, because a rollback is
    /// idempotent.
    #[serde(rename = "take-back")]
    Rollback {
        /// Ticket whose rollouts are rolled back.
        ticket: TicketNumber,
        /// Service whose new version was judged bad.
        service: ServiceName,
        /// Human-readable cause.
        reason: SmolStr,
    },
}
