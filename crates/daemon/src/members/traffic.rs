//! Counts of control messages.

use std::cell::Cell;

/// Messages and their encoded bytes, without headers of the transport.
#[derive(Debug, Default)]
pub struct Traffic {
    sent_messages: Cell<u64>,
    sent_bytes: Cell<u64>,
    received_messages: Cell<u64>,
    received_bytes: Cell<u64>,
}

impl Traffic {
    /// Messages sent.
    #[must_use]
    pub fn sent_messages(&self) -> u64 {
        self.sent_messages.get()
    }

    /// Bytes sent.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.get()
    }

    /// Messages received.
    #[must_use]
    pub fn received_messages(&self) -> u64 {
        self.received_messages.get()
    }

    /// Bytes received.
    #[must_use]
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.get()
    }

    pub(crate) fn sent(&self, bytes: usize) {
        add(&self.sent_messages, 1);
        add(&self.sent_bytes, bytes);
    }

    pub(crate) fn received(&self, bytes: usize) {
        add(&self.received_messages, 1);
        add(&self.received_bytes, bytes);
    }
}

fn add(counter: &Cell<u64>, amount: usize) {
    counter.set(counter.get() + amount as u64);
}
