//! Records of one keyed topic, and the encoding of appends and pages.

use base::FastMap;
use base::Offset;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use smol_str::SmolStr;

/// A keyed topic with one partition: the retained records, and the newest value of each key.
#[derive(Debug, Default)]
pub struct Topic {
    first: Offset,
    records: Vec<Bytes>,
    newest: FastMap<SmolStr, (Offset, Bytes)>,
}

/// The body of an append is not a sequence of keyed records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedRecords;

impl Topic {
    /// Returns the offset of the next record to be appended.
    #[must_use]
    pub fn end(&self) -> Offset {
        self.first + self.records.len() as u64
    }

    /// Returns the offset of the first retained record; equal to the end if there is none.
    #[must_use]
    pub fn first(&self) -> Offset {
        self.first
    }

    /// Appends the records of one call, all or none, and returns the offset of the first. A record
    /// without a value deletes its key.
    ///
    /// # Errors
    /// When the body is not a sequence of keyed records; nothing is appended then.
    pub fn append(&mut self, mut body: Bytes) -> Result<Offset, MalformedRecords> {
        let mut parsed = Vec::new();
        while !body.is_empty() {
            let record = split_record(&mut body)?;
            let (key, value) = split_key(&record)?;
            parsed.push((key, value, record));
        }
        let first_offset = self.end();
        for (key, value, record) in parsed {
            let record_offset = self.end();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (record_offset, value));
            }
            self.records.push(record);
        }
        Ok(first_offset)
    }

    /// Encodes a page: the end offset, the first retained offset and the records from `from` on.
    /// Returns `None` if `from` lies before the first retained record.
    #[must_use]
    pub fn page(&self, from: Offset) -> Option<Bytes> {
        let skipped = usize::try_from(from.checked_sub(self.first)?).ok()?;
        let mut buf = BytesMut::new();
        buf.put_u64(self.end());
        buf.put_u64(self.first);
        for record in self.records.iter().skip(skipped) {
            buf.put_u32(u32::try_from(record.len()).ok()?);
            buf.put_slice(record);
        }
        Some(buf.freeze())
    }

    /// Returns key, offset and value of the newest record of each key, sorted by key.
    #[must_use]
    pub fn newest(&self) -> Vec<(SmolStr, Offset, Bytes)> {
        let mut all: Vec<_> = self
            .newest
            .iter()
            .map(|(key, (offset, value))| (key.clone(), *offset, value.clone()))
            .collect();
        all.sort_by(|a, b| a.0.cmp(&b.0));
        all
    }

    /// Loses the records from `end` on, as a store that is restored from a backup does. The next record
    /// gets that offset again.
    pub fn go_back(&mut self, end: Offset) {
        let kept = usize::try_from(end.saturating_sub(self.first)).unwrap_or(usize::MAX);
        self.records.truncate(kept);
        self.first = self.first.min(end);
        self.newest.retain(|_, (offset, _)| *offset < end);
    }

    /// Keeps the newest record of each key only, in their order and under offsets from 0 on, as a store
    /// that is rebuilt does.
    pub fn renumber(&mut self) {
        let mut newest: Vec<_> = self.newest.iter_mut().collect();
        newest.sort_by_key(|(_, (offset, _))| *offset);
        self.first = 0;
        self.records.clear();
        for (key, (offset, value)) in newest {
            *offset = self.records.len() as Offset;
            self.records.push(encode_record(key, value));
        }
    }

    /// Deletes all records, as retention does; the newest value of each key remains.
    pub fn delete_records(&mut self) {
        self.first = self.end();
        self.records.clear();
    }
}

/// Returns a record without its length; the key was taken from one, so its length fits.
fn encode_record(key: &str, value: &Bytes) -> Bytes {
    let mut buf = BytesMut::new();
    buf.put_u8(u8::try_from(key.len()).unwrap_or(u8::MAX));
    buf.put_slice(key.as_bytes());
    buf.put_slice(value);
    buf.freeze()
}

fn split_record(body: &mut Bytes) -> Result<Bytes, MalformedRecords> {
    let prefix: [u8; 4] = body
        .get(..4)
        .and_then(|prefix| prefix.try_into().ok())
        .ok_or(MalformedRecords)?;
    let length = usize::try_from(u32::from_be_bytes(prefix)).map_err(|_| MalformedRecords)?;
    let _ = body.split_to(4);
    if body.len() < length {
        return Err(MalformedRecords);
    }
    Ok(body.split_to(length))
}

fn split_key(record: &Bytes) -> Result<(SmolStr, Bytes), MalformedRecords> {
    let length = usize::from(*record.first().ok_or(MalformedRecords)?);
    let key = record.get(1..=length).ok_or(MalformedRecords)?;
    let key = std::str::from_utf8(key).map_err(|_| MalformedRecords)?;
    Ok((SmolStr::new(key), record.slice(length + 1..)))
}
