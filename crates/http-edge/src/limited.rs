//! A reader that gives up after a number of bytes.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use monoio::BufResult;
use monoio::buf::IoBufMut;
use monoio::buf::IoVecBufMut;
use monoio::io::AsyncReadRent;

/// Largest sizes of a message, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Request line or status line, and headers.
    pub max_head_bytes: usize,
    /// Body.
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
    /// Bytes that one message may take on the wire; chunk headers are counted with the body.
    pub(crate) fn budget(self) -> usize {
        self.max_head_bytes + self.max_body_bytes + self.max_body_bytes / 8
    }
}

/// Bytes that may still be read for the message under way.
#[derive(Debug, Clone)]
pub(crate) struct Budget {
    left: Rc<Cell<usize>>,
    refused: Rc<Cell<bool>>,
}

impl Budget {
    pub(crate) fn new(bytes: usize) -> Self {
        Self {
            left: Rc::new(Cell::new(bytes)),
            refused: Rc::default(),
        }
    }

    pub(crate) fn reset(&self, bytes: usize) {
        self.left.set(bytes);
    }

    /// Whether a read was refused since nothing was left.
    pub(crate) fn has_refused(&self) -> bool {
        self.refused.get()
    }

    /// Whether a read may begin; notes a refusal.
    fn allows(&self) -> bool {
        let allows = self.left.get() > 0;
        self.refused.set(!allows);
        allows
    }

    fn spend(&self, bytes: usize) {
        self.left.set(self.left.get().saturating_sub(bytes));
    }
}

/// Reads from `io` until the budget is spent.
pub(crate) struct Limited<IO> {
    io: IO,
    budget: Budget,
}

impl<IO> Limited<IO> {
    pub(crate) fn new(io: IO, budget: Budget) -> Self {
        Self { io, budget }
    }
}

impl<IO: AsyncReadRent> AsyncReadRent for Limited<IO> {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if !self.budget.allows() {
            return (Err(io::ErrorKind::FileTooLarge.into()), buf);
        }
        let (res, buf) = self.io.read(buf).await;
        if let Ok(n) = res {
            self.budget.spend(n);
        }
        (res, buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if !self.budget.allows() {
            return (Err(io::ErrorKind::FileTooLarge.into()), buf);
        }
        let (res, buf) = self.io.readv(buf).await;
        if let Ok(n) = res {
            self.budget.spend(n);
        }
        (res, buf)
    }
}
