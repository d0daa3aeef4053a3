//! Counts the messages of gossip and syncs.

use std::cell::Cell;
use std::rc::Rc;

use report::metrics::Direction;
use report::metrics::Purpose;

use crate::meter::Meter;

/// Numbers of messages and their encoded bytes, without transport headers.
#[derive(Default)]
pub struct Traffic {
    meter: Rc<Meter>,
    sent_messages: Cell<u64>,
    sent_bytes: Cell<u64>,
    received_messages: Cell<u64>,
    received_bytes: Cell<u64>,
}

impl Traffic {
    pub(crate) fn new(meter: &Rc<Meter>) -> Self {
        Self {
            meter: Rc::clone(meter),
            ..Self::default()
        }
    }

    /// Messages sent since the start, syncs included.
    #[must_use]
    pub fn sent_messages(&self) -> u64 {
        self.sent_messages.get()
    }

    /// Encoded bytes sent since the start.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.get()
    }

    /// Messages received since the start, unreadable ones included.
    #[must_use]
    pub fn received_messages(&self) -> u64 {
        self.received_messages.get()
    }

    /// Encoded bytes received since the start.
    #[must_use]
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.get()
    }

    pub(crate) fn record_sent(&self, bytes: usize) {
        add(&self.sent_messages, 1);
        add(&self.sent_bytes, bytes);
        self.meter
            .record_control_bytes(Purpose::Probe, Direction::Sent, bytes as u64);
    }

    pub(crate) fn record_received(&self, bytes: usize) {
        add(&self.received_messages, 1);
        add(&self.received_bytes, bytes);
        self.meter
            .record_control_bytes(Purpose::Probe, Direction::Received, bytes as u64);
    }
}

fn add(counter: &Cell<u64>, amount: usize) {
    counter.set(counter.get() + amount as u64);
}
