//! Bounded buffer of the recent records that a parent can still serve.

use std::collections::VecDeque;

use base::Offset;
use ledger::StampedRecord;

/// Contiguous records, bounded by encoded bytes; the oldest are dropped first.
#[derive(Debug)]
pub struct RecordRing {
    records: VecDeque<(StampedRecord, usize)>,
    bytes: usize,
    limit: usize,
}

impl RecordRing {
    /// Creates an empty ring that holds at most `limit` encoded bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            records: VecDeque::new(),
            bytes: 0,
            limit,
        }
    }

    /// Appends a record of `size` encoded bytes. Its offset must follow that of the last one.
    pub fn push(&mut self, record: StampedRecord, size: usize) {
        self.records.push_back((record, size));
        self.bytes += size;
        while self.bytes > self.limit {
            let Some((_, size)) = self.records.pop_front() else {
                return;
            };
            self.bytes -= size;
        }
    }

    /// Drops all records.
    pub fn clear(&mut self) {
        self.records.clear();
        self.bytes = 0;
    }

    /// Returns the records from `next` on, up to `limit` bytes but at least one; `None` when the
    /// ring no longer holds `next`.
    pub fn since(&self, next: Offset, limit: usize) -> Option<Vec<StampedRecord>> {
        let first = self.records.front()?.0.offset;
        let skip = usize::try_from(next.checked_sub(first)?).ok()?;
        let mut records = Vec::new();
        let mut left = limit;
        for (record, size) in self.records.iter().skip(skip) {
            if *size > left && !records.is_empty() {
                break;
            }
            left = left.saturating_sub(*size);
            records.push(record.clone());
        }
        Some(records)
    }
}
