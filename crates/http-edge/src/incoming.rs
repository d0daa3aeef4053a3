//! Reads the heads and bodies of messages from a connection.

use std::future;
use std::io;
use std::mem;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use monoio::buf::IoBufMut;
use monoio::io::AsyncReadRent;

use crate::budget::Account;
use crate::budget::Arrival;
use crate::budget::NoRoom;
use crate::budget::Size;
use crate::chunks::ChunkDecoder;
use crate::chunks::ChunkError;
use crate::framing::Framing;
use crate::head::EndSearch;

/// Initial size of the buffer for a head; most heads fit.
const INITIAL_HEAD_BYTES: usize = 2 * 1024;

/// Size of the first part of a body, unless the body is shorter; each further one is twice as large.
const FIRST_PART_BYTES: usize = 4 * 1024;

/// Largest part of a body.
const MAX_PART_BYTES: usize = 64 * 1024;

/// Size of the buffer for input that is dropped.
const DROP_BUFFER_BYTES: usize = 4 * 1024;

/// Why input is not read any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InputEnd {
    /// The connection ended or failed.
    Disconnected,
    /// Too much has come.
    Limit,
}

/// Why no message was read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The connection ended or failed within the message.
    Cut(io::Error),
    /// The body is no chunked body.
    Malformed,
    /// The message exceeds its limit.
    TooLarge,
    /// Nothing arrived before the message for too long.
    Idle,
    /// The message makes no progress.
    Stalled,
    /// There is no memory for the message.
    NoRoom,
}

impl From<NoRoom> for ReadError {
    fn from(_: NoRoom) -> Self {
        Self::NoRoom
    }
}

impl From<ChunkError> for ReadError {
    fn from(e: ChunkError) -> Self {
        match e {
            ChunkError::Malformed => Self::Malformed,
            ChunkError::TooLarge => Self::TooLarge,
        }
    }
}

/// Longest waits within a connection; `None` if its user bounds the time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pace {
    /// Time without any byte.
    pub(crate) idle: Duration,
    /// Time from the first byte of a head to its last.
    pub(crate) head: Duration,
}

/// Who is charged for a message, and how long it may take. A client bounds both by itself.
#[derive(Clone, Copy)]
pub(crate) struct Terms<'a> {
    pub(crate) account: Option<&'a Account>,
    /// The answer that is read, instead of an account.
    pub(crate) arrival: Option<&'a Arrival<'a>>,
    pub(crate) pace: Option<Pace>,
}

impl Terms<'_> {
    /// Neither memory nor time is bounded here.
    pub(crate) const UNBOUNDED: Self = Self {
        account: None,
        arrival: None,
        pace: None,
    };

    async fn take(&self, size: Size, bytes: usize) -> Result<(), NoRoom> {
        match self.account {
            Some(account) if bytes > 0 => account.take(size, bytes).await,
            _ => {
                if let Some(arrival) = self.arrival {
                    arrival.take(bytes).await;
                }
                Ok(())
            }
        }
    }

    /// Returns the size of the first part of a body with a length. What is not charged is read in one
    /// piece, as its user needs it.
    fn first_part_bytes(&self, length: usize) -> usize {
        self.account.map_or(length, |_| FIRST_PART_BYTES)
    }

    fn record_progress(&self) {
        if let Some(account) = self.account {
            account.record_progress();
        }
    }
}

/// Reads messages from a connection, one after the other.
pub(crate) struct MessageReader<R> {
    io: R,
    /// Bytes that were read and belong to no message yet.
    buf: Vec<u8>,
}

impl<R: AsyncReadRent> MessageReader<R> {
    pub(crate) fn new(io: R) -> Self {
        Self {
            io,
            buf: Vec::new(),
        }
    }

    /// Whether bytes were read that belong to no message yet.
    pub(crate) fn has_bytes(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Reads into a buffer that is lost if the future is dropped. Returns the number of bytes.
    pub(crate) async fn read_unexpected(&mut self) -> io::Result<usize> {
        self.io.read(Vec::with_capacity(1)).await.0
    }

    /// Waits for the first bytes of a message; `false` at the end of the connection. The idle timeout is looked up
    /// again when it is over, since it may have been raised meanwhile.
    pub(crate) async fn wait_for_message(
        &mut self,
        idle_timeout: impl Fn() -> Duration,
    ) -> Result<bool, ReadError> {
        let began = Instant::now();
        while !self.has_bytes() {
            let left = idle_timeout().saturating_sub(began.elapsed());
            if left.is_zero() {
                return Err(ReadError::Idle);
            }
            let buf = Vec::with_capacity(INITIAL_HEAD_BYTES);
            match self.read_into(buf, Some(left)).await {
                Ok((0, _)) => return Ok(false),
                Ok((_, buf)) => self.buf = buf,
                Err(ReadError::Idle) => {}
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    /// Reads a head of at most `max_bytes`; `None` at the end of the connection. `began` is called
    /// when its first byte has come.
    pub(crate) async fn read_head(
        &mut self,
        max_bytes: usize,
        terms: Terms<'_>,
        mut began: impl FnMut(),
    ) -> Result<Option<Bytes>, ReadError> {
        let mut search = EndSearch::default();
        let mut charged = 0;
        let mut deadline = None;
        loop {
            if self.has_bytes() {
                began();
                let head_time = terms.pace.map(|pace| pace.head);
                deadline = deadline.or_else(|| Some(Instant::now() + head_time?));
                let capacity = self.buf.capacity();
                terms.take(Size::Small, capacity - charged).await?;
                charged = capacity;
            }
            if let Some(end) = search.find(&self.buf) {
                return self.split_head(end, max_bytes).map(Some);
            }
            if self.buf.len() >= max_bytes {
                return Err(ReadError::TooLarge);
            }
            if self.buf.len() == self.buf.capacity() {
                let grown = (self.buf.len() * 2).max(INITIAL_HEAD_BYTES).min(max_bytes);
                if self.has_bytes() {
                    terms.take(Size::Small, grown - charged).await?;
                    charged = grown;
                }
                self.buf.reserve_exact(grown - self.buf.len());
            }
            let wait = match (deadline, terms.pace) {
                (Some(deadline), _) => Some(deadline.saturating_duration_since(Instant::now())),
                (None, pace) => pace.map(|pace| pace.idle),
            };
            let buf = mem::take(&mut self.buf);
            let (n, buf) = self.read_into(buf, wait).await?;
            self.buf = buf;
            terms.record_progress();
            match n {
                0 if self.has_bytes() => {
                    return Err(ReadError::Cut(io::ErrorKind::UnexpectedEof.into()));
                }
                0 => return Ok(None),
                _ => {}
            }
        }
    }

    fn split_head(&mut self, end: usize, max_bytes: usize) -> Result<Bytes, ReadError> {
        if end > max_bytes {
            return Err(ReadError::TooLarge);
        }
        let rest = if end < self.buf.len() {
            self.buf.split_off(end)
        } else {
            Vec::new()
        };
        Ok(mem::replace(&mut self.buf, rest).into())
    }

    /// Reads a body of at most `max_bytes`, in parts.
    pub(crate) async fn read_body(
        &mut self,
        framing: Framing,
        max_bytes: usize,
        terms: Terms<'_>,
    ) -> Result<Vec<Bytes>, ReadError> {
        match framing {
            Framing::Empty => Ok(Vec::new()),
            Framing::Length(length) if length > max_bytes => Err(ReadError::TooLarge),
            Framing::Length(length) => self.read_length(length, terms).await,
            Framing::Chunked => self.read_chunks(max_bytes, terms).await,
        }
    }

    async fn read_length(
        &mut self,
        length: usize,
        terms: Terms<'_>,
    ) -> Result<Vec<Bytes>, ReadError> {
        let size = Size::of_body(length);
        let mut parts = Vec::new();
        let mut part_bytes = terms.first_part_bytes(length);
        let mut missing = length;
        while missing > 0 {
            let bytes = part_bytes.min(missing);
            terms.take(size, bytes).await?;
            let mut part = Vec::with_capacity(bytes);
            self.move_bytes(&mut part, bytes);
            while part.len() < bytes {
                part = self.read_more(part, terms).await?;
            }
            parts.push(part.into());
            missing -= bytes;
            part_bytes = (part_bytes * 2).min(MAX_PART_BYTES);
        }
        Ok(parts)
    }

    async fn read_chunks(
        &mut self,
        max_bytes: usize,
        terms: Terms<'_>,
    ) -> Result<Vec<Bytes>, ReadError> {
        let mut decoder = ChunkDecoder::new(max_bytes);
        let mut parts = Vec::new();
        let mut taken = 0;
        let mut part_bytes = FIRST_PART_BYTES;
        loop {
            taken += part_bytes;
            terms.take(Size::of_body(taken), part_bytes).await?;
            let mut part = Vec::with_capacity(part_bytes);
            while part.len() < part_bytes {
                let decoded_bytes = part.len();
                if self.has_bytes() {
                    self.move_bytes(&mut part, part_bytes);
                } else {
                    part = self.read_more(part, terms).await?;
                }
                let step = decoder.decode(&mut part[decoded_bytes..])?;
                if step.is_done {
                    let mut rest = part.split_off(decoded_bytes + step.used);
                    rest.append(&mut self.buf);
                    self.buf = rest;
                    part.truncate(decoded_bytes + step.body);
                    parts.push(part.into());
                    return Ok(parts);
                }
                part.truncate(decoded_bytes + step.body);
            }
            parts.push(part.into());
            part_bytes = (part_bytes * 2).min(MAX_PART_BYTES);
        }
    }

    /// Moves bytes that were read already to a part of a body, until that has `max_len` bytes.
    fn move_bytes(&mut self, part: &mut Vec<u8>, max_len: usize) {
        let count = self.buf.len().min(max_len - part.len());
        part.extend(self.buf.drain(..count));
        if self.buf.is_empty() {
            self.buf = Vec::new();
        }
    }

    /// Reads more of a body.
    async fn read_more(&mut self, part: Vec<u8>, terms: Terms<'_>) -> Result<Vec<u8>, ReadError> {
        let wait = terms.pace.map(|pace| pace.idle);
        match self.read_into(part, wait).await {
            Ok((0, _)) => Err(ReadError::Cut(io::ErrorKind::UnexpectedEof.into())),
            Ok((_, part)) => {
                terms.record_progress();
                Ok(part)
            }
            Err(ReadError::Idle) => Err(ReadError::Stalled),
            Err(e) => Err(e),
        }
    }

    /// Reads into the free capacity of a buffer. Returns the number of bytes.
    async fn read_into(
        &mut self,
        buf: Vec<u8>,
        wait: Option<Duration>,
    ) -> Result<(usize, Vec<u8>), ReadError> {
        let is_begun = !buf.is_empty();
        let free = buf.len()..buf.capacity();
        let read = self.io.read(buf.slice_mut(free));
        let (n, buf) = match wait {
            None => read.await,
            Some(wait) => match monoio::time::timeout(wait, read).await {
                Ok(read) => read,
                Err(_) if is_begun => return Err(ReadError::Stalled),
                Err(_) => return Err(ReadError::Idle),
            },
        };
        let n = n.map_err(ReadError::Cut)?;
        Ok((n, buf.into_inner()))
    }

    /// Number of bytes that were read and belong to no message yet.
    pub(crate) fn waiting_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Reads bytes of later messages until `max_bytes` wait, and returns when the connection has ended or
    /// failed. No byte is lost if the future is dropped.
    pub(crate) async fn read_ahead(&mut self, max_bytes: usize) {
        loop {
            let free = max_bytes.saturating_sub(self.buf.len());
            if free == 0 {
                return future::pending().await;
            }
            let (n, bytes) = self.io.read(Vec::with_capacity(free)).await;
            match n {
                Ok(n) if n > 0 => self.buf.extend(bytes),
                _ => return,
            }
        }
    }

    /// Drops input, until the connection ends or `max_bytes` have come.
    pub(crate) async fn drop_input(&mut self, max_bytes: usize) -> InputEnd {
        self.buf = Vec::new();
        let mut dropped = 0;
        let mut buf = Vec::with_capacity(DROP_BUFFER_BYTES);
        while dropped < max_bytes {
            let (n, returned) = self.io.read(buf).await;
            buf = returned;
            match n {
                Ok(n) if n > 0 => dropped += n,
                _ => return InputEnd::Disconnected,
            }
        }
        InputEnd::Limit
    }
}
