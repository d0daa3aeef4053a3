//! A reader that fails once a message exceeds its byte limit.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use monoio::BufResult;
use monoio::buf::IoBufMut;
use monoio::buf::IoVecBufMut;
use monoio::io::AsyncReadRent;

/// Size limits of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request line or status line with headers, in bytes.
    pub max_head_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
        }
    }
}

impl Limits {
    /// Most bytes that one message may take on the wire. An eighth of the body limit is added for
    /// chunk headers.
    pub(crate) fn max_wire_bytes(self) -> usize {
        self.max_head_bytes + self.max_body_bytes + self.max_body_bytes / 8
    }
}

/// Bytes that may still be read for the current message.
#[derive(Debug, Clone)]
pub(crate) struct ReadBudget {
    remaining: Rc<Cell<usize>>,
    refused: Rc<Cell<bool>>,
    /// Whether reads end at once, as at the end of the connection.
    ends: Rc<Cell<bool>>,
    /// Whether bytes of the current message were read.
    has_begun: Rc<Cell<bool>>,
}

impl ReadBudget {
    pub(crate) fn new(bytes: usize) -> Self {
        Self {
            remaining: Rc::new(Cell::new(bytes)),
            refused: Rc::default(),
            ends: Rc::default(),
            has_begun: Rc::default(),
        }
    }

    /// Bytes that may still be read.
    pub(crate) fn remaining(&self) -> usize {
        self.remaining.get()
    }

    /// Makes reads end at once, or lets them reach the connection again. A decoder at the end of its input tells
    /// whether it holds the beginning of a message.
    pub(crate) fn set_ends(&self, ends: bool) {
        self.ends.set(ends);
    }

    /// Begins the next message, whose head may take that many bytes.
    pub(crate) fn begin_message(&self, bytes: usize) {
        self.has_begun.set(false);
        self.reset(bytes);
    }

    /// Whether bytes of the current message have been read from the connection.
    pub(crate) fn has_begun(&self) -> bool {
        self.has_begun.get()
    }

    pub(crate) fn reset(&self, bytes: usize) {
        self.remaining.set(bytes);
    }

    /// Whether the last read was refused because the budget was used up.
    pub(crate) fn has_refused_read(&self) -> bool {
        self.refused.get()
    }

    /// Returns whether a read may begin, and records a refusal.
    fn begin_read(&self) -> bool {
        let is_allowed = self.remaining.get() > 0;
        self.refused.set(!is_allowed);
        is_allowed
    }

    fn consume(&self, bytes: usize) {
        self.has_begun.set(bytes > 0 || self.has_begun.get());
        self.remaining
            .set(self.remaining.get().saturating_sub(bytes));
    }
}

/// Reads from `io` until the budget is used up, then fails with `FileTooLarge`.
pub(crate) struct LimitedReader<IO> {
    io: IO,
    budget: ReadBudget,
}

impl<IO> LimitedReader<IO> {
    pub(crate) fn new(io: IO, budget: ReadBudget) -> Self {
        Self { io, budget }
    }
}

impl<IO: AsyncReadRent> AsyncReadRent for LimitedReader<IO> {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if self.budget.ends.get() {
            return (Ok(0), buf);
        }
        if !self.budget.begin_read() {
            return (Err(io::ErrorKind::FileTooLarge.into()), buf);
        }
        let (res, buf) = self.io.read(buf).await;
        if let Ok(n) = res {
            self.budget.consume(n);
        }
        (res, buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if self.budget.ends.get() {
            return (Ok(0), buf);
        }
        if !self.budget.begin_read() {
            return (Err(io::ErrorKind::FileTooLarge.into()), buf);
        }
        let (res, buf) = self.io.readv(buf).await;
        if let Ok(n) = res {
            self.budget.consume(n);
        }
        (res, buf)
    }
}
