//! Streams of records with retention. Reads no clock: callers pass the time.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use base::Offset;
use platform::wire::Bounds;
use platform::wire::ReadResponse;
use platform::wire::StoredRecord;
use smol_str::SmolStr;

/// Maximum number of streams.
const MAX_STREAMS: usize = 64;

/// Bytes of records that one stream retains at most, regardless of its retention settings.
const MAX_STREAM_BYTES: usize = 64 * 1024 * 1024;

/// Bytes of records in one page; a larger record is returned as the only one of its page.
const MAX_PAGE_BYTES: usize = 1024 * 1024;

/// Limits up to which each stream retains records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retention {
    /// Maximum number of records in a stream.
    pub records: usize,
    /// Maximum age of a record.
    pub age: Duration,
}

impl Default for Retention {
    fn default() -> Self {
        Self {
            records: 100_000,
            age: Duration::from_hours(24),
        }
    }
}

/// Result of a read.
pub enum ReadResult {
    /// A page of records, empty at the end of the stream.
    Records(ReadResponse),
    /// The offset lies before the oldest retained record.
    Expired(Bounds),
}

/// The stream does not exist and the maximum number of streams is reached.
pub struct TooManyStreams;

/// All streams by name, and the retention that applies to each.
#[derive(Default)]
pub struct Store {
    streams: BTreeMap<SmolStr, Stream>,
    pub retention: Retention,
}

#[derive(Default)]
struct Stream {
    oldest: Offset,
    records: VecDeque<Record>,
    bytes: usize,
}

struct Record {
    data: String,
    appended_at: Instant,
}

impl Store {
    pub fn new(retention: Retention) -> Self {
        Self {
            streams: BTreeMap::new(),
            retention,
        }
    }

    /// Appends a record and returns its offset; the first append creates the stream.
    pub fn append(
        &mut self,
        name: &str,
        data: String,
        now: Instant,
    ) -> Result<Offset, TooManyStreams> {
        if !self.streams.contains_key(name) && self.streams.len() >= MAX_STREAMS {
            return Err(TooManyStreams);
        }
        let stream = self.streams.entry(name.into()).or_default();
        let offset = stream.bounds().next;
        stream.bytes += data.len();
        stream.records.push_back(Record {
            data,
            appended_at: now,
        });
        stream.expire(self.retention, now);
        Ok(offset)
    }

    pub fn bounds(&mut self, name: &str, now: Instant) -> Bounds {
        let Some(stream) = self.streams.get_mut(name) else {
            return Bounds { oldest: 0, next: 0 };
        };
        stream.expire(self.retention, now);
        stream.bounds()
    }

    pub fn read(&mut self, name: &str, from: Offset, max: usize, now: Instant) -> ReadResult {
        let bounds = self.bounds(name, now);
        if from < bounds.oldest {
            return ReadResult::Expired(bounds);
        }
        let records = self.streams.get(name).map(|stream| stream.page(from, max));
        let records = records.unwrap_or_default();
        let count = u64::try_from(records.len()).unwrap_or(u64::MAX);
        ReadResult::Records(ReadResponse {
            records,
            next: bounds.next.min(from + count),
            oldest: bounds.oldest,
        })
    }
}

impl Stream {
    fn bounds(&self) -> Bounds {
        let len = u64::try_from(self.records.len()).unwrap_or(u64::MAX);
        Bounds {
            oldest: self.oldest,
            next: self.oldest + len,
        }
    }

    fn expire(&mut self, retention: Retention, now: Instant) {
        while let Some(first) = self.records.front() {
            let age = now.saturating_duration_since(first.appended_at);
            let is_kept = self.records.len() <= retention.records
                && self.bytes <= MAX_STREAM_BYTES
                && age <= retention.age;
            if is_kept {
                return;
            }
            self.bytes -= first.data.len();
            self.oldest += 1;
            self.records.pop_front();
        }
    }

    fn page(&self, from: Offset, max: usize) -> Vec<StoredRecord> {
        let skip = usize::try_from(from - self.oldest).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let fits = |(i, record): &(usize, &Record)| {
            bytes += record.data.len();
            *i == 0 || bytes <= MAX_PAGE_BYTES
        };
        let records = self.records.iter().skip(skip).take(max);
        let page = records.enumerate().take_while(fits).zip(from..);
        page.map(|((_, record), offset)| StoredRecord {
            offset,
            data: record.data.clone(),
        })
        .collect()
    }
}
