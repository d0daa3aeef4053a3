//! The protocol of the log: paths, queries and JSON bodies.
//!
//! | request | answer |
//! |---|---|
//! | `POST /streams/{name}/records`, body: the record | 200 with [`AppendResponse`] |
//! | `GET /streams/{name}/records?from=N&max=M&wait_ms=T` | 200 with [`ReadResponse`] |
//! | `GET /streams/{name}` | 200 with [`Bounds`] |
//!
//! A read waits up to `wait_ms` for a record at `from`. 410 with [`Bounds`] says that `from` has
//! expired, 429 with `retry-after` in seconds that appends come too fast, 503 that the service is
//! out; after 429 and 503 nothing was written.

use base::Offset;
use serde::Deserialize;
use serde::Serialize;

/// Answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Place of the new record.
    pub offset: Offset,
}

/// Answer to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadResponse {
    /// Records in order, from the one asked for.
    pub records: Vec<StoredRecord>,
    /// Where to go on reading.
    pub next: Offset,
    /// Offset of the oldest record that the log still holds.
    pub oldest: Offset,
}

/// One record as the log holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Its place.
    pub offset: Offset,
    /// Its text, as it was appended.
    pub data: String,
}

/// Extent of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// Offset of the oldest record that the log still holds.
    pub oldest: Offset,
    /// Offset that the next record will get.
    pub next: Offset,
}

/// Path of a stream's bounds.
#[must_use]
pub fn stream_path(stream: &str) -> String {
    format!("/streams/{stream}")
}

/// Path of a stream's records.
#[must_use]
pub fn records_path(stream: &str) -> String {
    format!("/streams/{stream}/records")
}
