//! Records of one keyed topic.

use base::FastMap;
use base::Offset;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use smol_str::SmolStr;

/// A keyed topic of one partition: all records that are kept, and the newest of each key.
#[derive(Debug, Default)]
pub struct Topic {
    first: Offset,
    records: Vec<Bytes>,
    newest: FastMap<SmolStr, (Offset, Bytes)>,
}

/// Bytes of an append that are no keyed records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;

impl Topic {
    /// Offset behind the last record.
    #[must_use]
    pub fn end(&self) -> Offset {
        self.first + self.records.len() as u64
    }

    /// First offset that is kept.
    #[must_use]
    pub fn first(&self) -> Offset {
        self.first
    }

    /// Appends the records of one call, all or nothing; returns the offset of the first.
    ///
    /// # Errors
    /// When the bytes are no keyed records.
    pub fn append(&mut self, mut body: Bytes) -> Result<Offset, Malformed> {
        let mut parsed = Vec::new();
        while !body.is_empty() {
            let record = split_record(&mut body)?;
            let (key, value) = split_key(&record)?;
            parsed.push((key, value, record));
        }
        let offset = self.end();
        for (key, value, record) in parsed {
            let at = self.end();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (at, value));
            }
            self.records.push(record);
        }
        Ok(offset)
    }

    /// Records from an offset on, with the head of a page; `None` when they were deleted.
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

    /// The newest record of each key, by key.
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

    /// Deletes all records; the newest of each key is kept.
    pub fn delete_records(&mut self) {
        self.first = self.end();
        self.records.clear();
    }
}

fn split_record(body: &mut Bytes) -> Result<Bytes, Malformed> {
    let head: [u8; 4] = body
        .get(..4)
        .and_then(|head| head.try_into().ok())
        .ok_or(Malformed)?;
    let length = usize::try_from(u32::from_be_bytes(head)).map_err(|_| Malformed)?;
    let _ = body.split_to(4);
    if body.len() < length {
        return Err(Malformed);
    }
    Ok(body.split_to(length))
}

fn split_key(record: &Bytes) -> Result<(SmolStr, Bytes), Malformed> {
    let length = usize::from(*record.first().ok_or(Malformed)?);
    let key = record.get(1..=length).ok_or(Malformed)?;
    let key = std::str::from_utf8(key).map_err(|_| Malformed)?;
    Ok((SmolStr::new(key), record.slice(length + 1..)))
}
