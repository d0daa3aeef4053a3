//! Counts and latency percentiles over call records.

use std::collections::BTreeMap;

use base::VersionName;
use serde::Deserialize;
use serde::Serialize;

use crate::outcome::CallRecord;
use crate::outcome::Outcome;

/// Counts of calls by outcome, and latencies of the successful ones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Calls with any outcome.
    pub calls: u64,
    /// Calls with a complete response to that call.
    pub ok: u64,
    /// Calls that failed with a server error other than 502 and 504.
    pub failed: u64,
    /// Calls refused before they ran, with or without `Retry-After`.
    pub refused: u64,
    /// Calls refused before they ran, without `Retry-After`.
    pub refused_without_retry_after: u64,
    /// Calls for which the daemon answered that they may have run.
    pub unknown: u64,
    /// Calls whose connection broke after they were sent.
    pub cut: u64,
    /// Calls without a response in time.
    pub late: u64,
    /// Calls whose response was too large, truncated or altered, or belongs to another call.
    pub wrong: u64,
    /// Calls answered with any other status.
    pub rejected: u64,
    /// Calls for which no daemon accepted a connection.
    pub unreachable: u64,
    /// Successful calls by the version that answered.
    pub by_version: BTreeMap<VersionName, u64>,
    /// Median latency of successful calls, in microseconds.
    pub p50_micros: u64,
    /// 99th percentile of the latency of successful calls, in microseconds.
    pub p99_micros: u64,
    /// Largest latency of a successful call, in microseconds.
    pub max_micros: u64,
}

impl Summary {
    /// Summarizes the records of a run.
    #[must_use]
    pub fn from_records(records: &[CallRecord]) -> Self {
        let mut summary = Self::default();
        let mut latencies = Vec::with_capacity(records.len());
        for record in records {
            summary.count(&record.outcome);
            if matches!(record.outcome, Outcome::Ok(_)) {
                latencies.push(record.micros);
            }
        }
        latencies.sort_unstable();
        summary.p50_micros = percentile(&latencies, 50);
        summary.p99_micros = percentile(&latencies, 99);
        summary.max_micros = percentile(&latencies, 100);
        summary
    }

    fn count(&mut self, outcome: &Outcome) {
        self.calls += 1;
        match outcome {
            Outcome::Ok(version) => {
                self.ok += 1;
                *self.by_version.entry(version.clone()).or_default() += 1;
            }
            Outcome::Failed => self.failed += 1,
            Outcome::Refused => self.refused += 1,
            Outcome::RefusedWithoutRetryAfter => {
                self.refused += 1;
                self.refused_without_retry_after += 1;
            }
            Outcome::Unknown => self.unknown += 1,
            Outcome::Cut => self.cut += 1,
            Outcome::Late => self.late += 1,
            Outcome::Wrong => self.wrong += 1,
            Outcome::Rejected => self.rejected += 1,
            Outcome::Unreachable => self.unreachable += 1,
        }
    }
}

/// Returns a percentile of ascending values by the nearest-rank method; 0 if there are none.
#[must_use]
pub fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted.get(rank.max(1) - 1).copied().unwrap_or(0)
}
