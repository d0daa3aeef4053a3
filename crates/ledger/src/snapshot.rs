//! Snapshots of the state.
//!
//! A snapshot has two lines: a header with the format version and a checksum, then the state as
//! JSON.

use std::fmt;

use base::hash;

use crate::state::State;

/// Version of the snapshot format; a reader rejects all others.
pub const SNAPSHOT_FORMAT: u32 = 1;

const MAGIC: &str = "bronzehead-snapshot";

/// The state at one offset, from which a daemon starts without the records before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Its `next` is the offset from which the log has to be read.
    pub state: State,
}

/// Why a text cannot be decoded as a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SnapshotError {
    /// The header line is missing or malformed.
    Header,
    /// The format version, which differs from [`SNAPSHOT_FORMAT`].
    Format(u32),
    /// The body does not match the checksum in the header.
    Checksum,
    /// The checksum matches but the state cannot be decoded; holds the parser's message.
    State(String),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Header => f.write_str("not a snapshot: header missing or malformed"),
            Self::Format(format) => write!(f, "unsupported snapshot format {format}"),
            Self::Checksum => f.write_str("snapshot checksum does not match"),
            Self::State(message) => write!(f, "snapshot state cannot be decoded: {message}"),
        }
    }
}

impl std::error::Error for SnapshotError {}

impl Snapshot {
    /// Encodes the snapshot with its header.
    ///
    /// # Panics
    /// Never: all fields of the state can be serialized to JSON.
    #[must_use]
    pub fn to_text(&self) -> String {
        let body = serde_json::to_string(&self.state).expect("the state can be serialized to JSON");
        format!("{}\n{body}", header(&body))
    }

    /// Decodes a snapshot and verifies its checksum.
    ///
    /// # Errors
    /// When the header is malformed, the format unknown, or the body damaged.
    pub fn from_text(text: &str) -> Result<Self, SnapshotError> {
        let (header, body) = text.split_once('\n').ok_or(SnapshotError::Header)?;
        let expected = parse_header(header)?;
        if checksum(body) != expected {
            return Err(SnapshotError::Checksum);
        }
        let state =
            serde_json::from_str(body).map_err(|error| SnapshotError::State(error.to_string()))?;
        Ok(Self { state })
    }
}

/// Returns the header line for a body.
pub(crate) fn header(body: &str) -> String {
    let checksum = checksum(body);
    format!("{MAGIC} {SNAPSHOT_FORMAT} {checksum:016x}")
}

fn parse_header(header: &str) -> Result<u64, SnapshotError> {
    let mut words = header.split(' ');
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
