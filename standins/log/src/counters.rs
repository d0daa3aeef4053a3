//! Counters of requests and bytes, as `GET /counters` returns them.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Requests of all streams since the start of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Counters by name of the stream; a stream without requests is absent.
    pub streams: BTreeMap<SmolStr, StreamCounters>,
    /// Appends refused with status 429 by the rate limit.
    pub throttled: u64,
    /// Requests that were refused or left without a response by an outage or by
    /// [`Faults::silent_requests`](crate::Faults::silent_requests).
    pub failed: u64,
}

/// Requests of one stream. Bytes count the record data only, without HTTP and JSON.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamCounters {
    /// Appends that took effect.
    pub appends: u64,
    /// Reads that returned a page, including an empty one.
    pub reads: u64,
    /// Bytes of record data appended.
    pub bytes_in: u64,
    /// Bytes of record data returned by reads.
    pub bytes_out: u64,
}
