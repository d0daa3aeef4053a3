//! Protocol of the log: paths, queries and JSON bodies.
//!
//! | request | response |
//! |---|---|
//! | `POST /streams/{name}/records`, body: the record | 200 with [`AppendResponse`] |
//! | `GET /streams/{name}/records?from=N&max=M&wait_ms=T` | 200 with [`ReadResponse`] |
//! | `GET /streams/{name}` | 200 with [`Bounds`] |
//!
//! A read returns up to `max` records and waits up to `wait_ms` for a record at `from`.
//!
//! | error status | meaning |
//! |---|---|
//! | 410 with [`Bounds`] | `from` has expired |
//! | 429 with `retry-after` in seconds | appends exceed the allowed rate; nothing was written |
//! | 503 | the service is unavailable; nothing was written |

use base::Offset;
use serde::Deserialize;
use serde::Serialize;

/// Body of the response to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset of the new record.
    pub offset: Offset,
}

/// Body of the response to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadResponse {
    /// Records in order of their offsets, from the requested one on.
    pub records: Vec<StoredRecord>,
    /// Offset at which the next read continues.
    pub next: Offset,
    /// Offset of the oldest record that has not expired.
    pub oldest: Offset,
}

/// One record as the log stores it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Offset of the record in its stream.
    pub offset: Offset,
    /// Text of the record, as it was appended.
    pub data: String,
}

/// Range of offsets that a stream holds: from `oldest` up to but not including `next`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// Offset of the oldest record that has not expired.
    pub oldest: Offset,
    /// Offset of the next record to be appended.
    pub next: Offset,
}

/// Returns the path of a stream's [`Bounds`].
#[must_use]
pub fn stream_path(stream: &str) -> String {
    format!("/streams/{stream}")
}

/// Returns the path of a stream's records, for reads and appends.
#[must_use]
pub fn records_path(stream: &str) -> String {
    format!("/streams/{stream}/records")
}
