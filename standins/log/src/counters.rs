//! What the log has done.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// What the log has done, by stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// By stream.
    pub streams: BTreeMap<SmolStr, StreamCounters>,
    /// Appends refused for their rate.
    pub throttled: u64,
    /// Requests refused or left without an answer by a switched fault.
    pub failed: u64,
}

/// What happened on one stream. Bytes are those of the records' texts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamCounters {
    /// Appends with effect.
    pub appends: u64,
    /// Reads answered.
    pub reads: u64,
    /// Bytes appended.
    pub bytes_in: u64,
    /// Bytes read.
    pub bytes_out: u64,
}
