//! Records that the log holds.

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

/// One appended record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Stays the same when an append is repeated; the fold ignores the second copy.
    pub id: RecordId,
    /// Wall clock of the author, for reports only.
    pub at: UnixMillis,
    /// What the record says.
    pub record: Record,
}

impl Entry {
    /// The entry as one compact JSON text, the form in which the log holds it.
    ///
    /// # Panics
    /// Never: every part of an entry has a JSON form.
    #[must_use]
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("an entry has a JSON form")
    }

    /// Reads an entry from the log's text.
    ///
    /// # Errors
    /// When the text is no entry of this version of the system.
    pub fn from_text(text: &str) -> Result<Self, EntryError> {
        serde_json::from_str(text).map_err(|error| EntryError(error.to_string()))
    }
}

/// Why a text of the log is no entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryError(String);

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a record: {}", self.0)
    }
}

impl std::error::Error for EntryError {}

/// A record with its place in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StampedRecord {
    /// Place in the log.
    pub offset: Offset,
    /// The record; `None` where the log holds something unreadable, which the fold passes over.
    pub entry: Option<Entry>,
}

impl StampedRecord {
    /// A record as the log handed it out.
    #[must_use]
    pub fn from_text(offset: Offset, text: &str) -> Self {
        let entry = Entry::from_text(text).ok();
        Self { offset, entry }
    }
}

/// What a record says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// An operator publishes a ticket.
    Ticket(Ticket),
    /// A daemon asks to be the controller; the first claim of an epoch wins.
    Claim {
        /// One above the epoch in force.
        epoch: Epoch,
        /// Who asks.
        controller: DaemonId,
    },
    /// The controller sets the share of the new version of one move.
    Step {
        /// Epoch of the controller; ignored when it is not the one in force.
        epoch: Epoch,
        /// Ticket that asked for the move.
        ticket: TicketNumber,
        /// Service that moves.
        service: ServiceName,
        /// New share; never lower than the one before.
        share: Share,
    },
    /// The controller ends a move whose watch has passed.
    Finish {
        /// Epoch of the controller; ignored when it is not the one in force.
        epoch: Epoch,
        /// Ticket that asked for the move.
        ticket: TicketNumber,
        /// Service that moved.
        service: ServiceName,
    },
    /// All moves of a ticket are taken back, for good. Valid in any epoch, since a second one
    /// changes nothing.
    #[serde(rename = "take-back")]
    Rollback {
        /// Ticket whose moves end.
        ticket: TicketNumber,
        /// Service whose version showed itself bad.
        service: ServiceName,
        /// Why, for people.
        reason: SmolStr,
    },
}
