//! Counts and latencies of all calls.

use std::collections::BTreeMap;

use base::VersionName;
use serde::Deserialize;
use serde::Serialize;

use crate::outcome::CallRecord;
use crate::outcome::Outcome;

/// Counts and latencies of all calls.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// All calls.
    pub calls: u64,
    /// Whole answers to the own call.
    pub ok: u64,
    /// Failures of the upstream.
    pub failed: u64,
    /// Refusals as not run.
    pub refused: u64,
    /// Those of them without a time to come back.
    pub refused_without_retry_after: u64,
    /// Calls of which nobody knows whether they ran.
    pub unknown: u64,
    /// Calls whose connection broke.
    pub cut: u64,
    /// Calls without an answer in time.
    pub late: u64,
    /// Cut answers and answers to another call.
    pub wrong: u64,
    /// Calls refused for another reason.
    pub rejected: u64,
    /// Calls that reached no daemon.
    pub unreachable: u64,
    /// Whole answers by version.
    pub by_version: BTreeMap<VersionName, u64>,
    /// Median latency of whole answers, in microseconds.
    pub p50_micros: u64,
    /// 99th percentile of it, in microseconds.
    pub p99_micros: u64,
    /// Largest of it, in microseconds.
    pub max_micros: u64,
}

impl Summary {
    /// Counts the calls.
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
        summary.p50_micros = quantile(&latencies, 50);
        summary.p99_micros = quantile(&latencies, 99);
        summary.max_micros = quantile(&latencies, 100);
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

/// Value at a percentile of sorted values, by nearest rank; 0 where there are none.
#[must_use]
pub fn quantile(sorted: &[u64], percent: usize) -> u64 {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted.get(rank.max(1) - 1).copied().unwrap_or(0)
}
