//! Admission of large bodies to the network link of a machine.
//!
//! Handles uploads that arrive faster than a slow link carries them. Bodies are sent only after the
//! receiving daemon granted the transfer, a few at a time, so that a small request waits behind some
//! tens of milliseconds of upload at most. Others wait at their sender, the more urgent first, or are
//! refused before a byte is sent.

use std::time::Duration;
use std::time::Instant;

use crate::config::Rank;
use crate::link::capacity_bytes;

/// Link time of the bodies that are transferred at once.
const WINDOW: Duration = Duration::from_millis(50);

/// Link time from which on a body needs a grant.
const GRANT_THRESHOLD: Duration = Duration::from_millis(5);

/// Share of the link that transfers get in the expected wait; the rest is small requests.
const TRANSFER_SHARE: f64 = 0.85;

/// Time beyond the expected one after which a granted transfer counts as ended: its sender may have
/// failed.
const GRANT_SLACK: Duration = Duration::from_millis(400);

/// Whether a body of this size needs a grant from a machine with this link.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn needs_grant(body_bytes: usize, link_mbps: u32) -> bool {
    link_mbps > 0 && body_bytes as f64 > capacity_bytes(link_mbps, GRANT_THRESHOLD)
}

/// A body that a daemon wants to send here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer<K> {
    /// Identifies the transfer.
    pub key: K,
    /// Size of the body.
    pub bytes: u64,
    /// Priority; 0 is the most urgent.
    pub rank: Rank,
    /// Time by which the body must have arrived.
    pub arrive_by: Instant,
}

/// Decision on a new transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferDecision {
    /// The body may be sent now.
    Granted,
    /// The transfer waits for [`TransferLimiter::next`].
    Queued,
    /// The body would arrive too late; the link has room after this time.
    Refused(Duration),
}

/// What happens to a waiting transfer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransferStep<K> {
    /// The body may be sent now.
    Grant(K),
    /// The body would arrive too late; the link has room after this time.
    Refuse(K, Duration),
}

#[derive(Debug)]
struct Granted<K> {
    key: K,
    bytes: u64,
    expires_at: Instant,
}

/// Decides which bodies are sent to this machine.
#[derive(Debug)]
pub struct TransferLimiter<K> {
    link_mbps: u32,
    granted: Vec<Granted<K>>,
    /// Ordered by rank, then by arrival.
    queue: Vec<Transfer<K>>,
}

impl<K: PartialEq + Clone> TransferLimiter<K> {
    /// Starts without transfers.
    #[must_use]
    pub fn new(link_mbps: u32) -> Self {
        Self {
            link_mbps,
            granted: Vec::new(),
            queue: Vec::new(),
        }
    }

    /// Decides on a new transfer.
    pub fn offer(&mut self, transfer: Transfer<K>, now: Instant) -> TransferDecision {
        self.expire(now);
        if self.queue.is_empty() && self.has_room() {
            self.grant(&transfer, now);
            return TransferDecision::Granted;
        }
        let position = self
            .queue
            .partition_point(|queued| queued.rank <= transfer.rank);
        let ahead = self.granted_bytes() + sum_bytes(&self.queue[..position]);
        if now + self.link_time(ahead + transfer.bytes) > transfer.arrive_by {
            let all = self.granted_bytes() + sum_bytes(&self.queue);
            return TransferDecision::Refused(self.link_time(all));
        }
        self.queue.insert(position, transfer);
        TransferDecision::Queued
    }

    /// Records that a body arrived, or that its sender gave up. Call [`Self::next`] afterwards.
    pub fn end(&mut self, key: &K) {
        self.granted.retain(|granted| granted.key != *key);
        self.queue.retain(|queued| queued.key != *key);
    }

    /// Returns the next step; call it until it returns `None`.
    pub fn next(&mut self, now: Instant) -> Option<TransferStep<K>> {
        self.expire(now);
        let late = self
            .queue
            .iter()
            .position(|queued| now + self.link_time(queued.bytes) > queued.arrive_by);
        if let Some(position) = late {
            let queued = self.queue.remove(position);
            let all = self.granted_bytes() + sum_bytes(&self.queue);
            return Some(TransferStep::Refuse(queued.key, self.link_time(all)));
        }
        if self.queue.is_empty() || !self.has_room() {
            return None;
        }
        let transfer = self.queue.remove(0);
        self.grant(&transfer, now);
        Some(TransferStep::Grant(transfer.key))
    }

    fn grant(&mut self, transfer: &Transfer<K>, now: Instant) {
        let expected = self.link_time(self.granted_bytes() + transfer.bytes);
        self.granted.push(Granted {
            key: transfer.key.clone(),
            bytes: transfer.bytes,
            expires_at: now + expected * 2 + GRANT_SLACK,
        });
    }

    fn expire(&mut self, now: Instant) {
        self.granted.retain(|granted| granted.expires_at > now);
    }

    #[allow(clippy::cast_precision_loss)]
    fn has_room(&self) -> bool {
        (self.granted_bytes() as f64) < capacity_bytes(self.link_mbps, WINDOW)
    }

    fn granted_bytes(&self) -> u64 {
        self.granted.iter().map(|granted| granted.bytes).sum()
    }

    #[allow(clippy::cast_precision_loss)]
    fn link_time(&self, bytes: u64) -> Duration {
        let per_second = capacity_bytes(self.link_mbps, Duration::from_secs(1)) * TRANSFER_SHARE;
        Duration::from_secs_f64(bytes as f64 / per_second)
    }
}

fn sum_bytes<K>(transfers: &[Transfer<K>]) -> u64 {
    transfers.iter().map(|transfer| transfer.bytes).sum()
}
