//! Snapshots of the folded state.
//!
//! The text has two lines: a head with the format and a checksum, then the state as JSON.

use std::fmt;

use base::hash;

use crate::state::State;

/// Number of the snapshot's format; a reader takes no other.
pub const SNAPSHOT_FORMAT: u32 = 1;

const MAGIC: &str = "bronzehead-snapshot";

/// The state at one offset, to start from without the records before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The state; its `next` says where the tail of the log begins.
    pub state: State,
}

/// Why a text is no snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SnapshotError {
    /// The head is missing or is not that of a snapshot.
    Header,
    /// Another format than [`SNAPSHOT_FORMAT`].
    Format(u32),
    /// The state is not the one that was written.
    Checksum,
    /// The state is whole but cannot be read; holds the parser's words.
    State(String),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Header => f.write_str("not a snapshot"),
            Self::Format(format) => write!(f, "snapshot of format {format}"),
            Self::Checksum => f.write_str("snapshot does not match its checksum"),
            Self::State(message) => write!(f, "snapshot cannot be read: {message}"),
        }
    }
}

impl std::error::Error for SnapshotError {}

impl Snapshot {
    /// The snapshot as text.
    ///
    /// # Panics
    /// Never: every part of the state has a JSON form.
    #[must_use]
    pub fn to_text(&self) -> String {
        let body = serde_json::to_string(&self.state).expect("the state has a JSON form");
        format!("{}\n{body}", head(&body))
    }

    /// Reads a snapshot and checks that it is whole.
    ///
    /// # Errors
    /// When the text is no snapshot, of another format, or damaged.
    pub fn from_text(text: &str) -> Result<Self, SnapshotError> {
        let (head, body) = text.split_once('\n').ok_or(SnapshotError::Header)?;
        let want = parse_head(head)?;
        if checksum(body) != want {
            return Err(SnapshotError::Checksum);
        }
        let state =
            serde_json::from_str(body).map_err(|error| SnapshotError::State(error.to_string()))?;
        Ok(Self { state })
    }
}

/// The head that goes with a body.
pub(crate) fn head(body: &str) -> String {
    let checksum = checksum(body);
    format!("{MAGIC} {SNAPSHOT_FORMAT} {checksum:016x}")
}

fn parse_head(head: &str) -> Result<u64, SnapshotError> {
    let mut words = head.split(' ');
    if words.next() != Some(MAGIC) {
        return Err(SnapshotError::Header);
    }
    let format: u32 = parse_word(words.next(), 10)?
        .try_into()
        .map_err(|_| SnapshotError::Header)?;
    if format != SNAPSHOT_FORMAT {
        return Err(SnapshotError::Format(format));
    }
    parse_word(words.next(), 16)
}

fn parse_word(word: Option<&str>, radix: u32) -> Result<u64, SnapshotError> {
    let word = word.ok_or(SnapshotError::Header)?;
    u64::from_str_radix(word, radix).map_err(|_| SnapshotError::Header)
}

fn checksum(body: &str) -> u64 {
    hash::stable(&[body.as_bytes()])
}
