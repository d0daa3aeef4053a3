//! Queue of updates to piggyback or gossip, least sent first, within a byte budget.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;

use crate::message::Update;

/// Send order: least sent first, newest first among equals.
type Key = (u32, Reverse<u64>);

/// Updates with their send counts, and the byte budget that all sends share.
#[derive(Debug)]
pub struct UpdateQueue {
    items: BTreeMap<Key, Update>,
    keys: FastMap<DaemonId, Key>,
    push_count: u64,
    budget: ByteBudget,
}

impl UpdateQueue {
    /// Creates an empty queue that may send `bytes_per_second`.
    #[must_use]
    pub fn new(bytes_per_second: u32, now: Instant) -> Self {
        Self {
            items: BTreeMap::new(),
            keys: FastMap::default(),
            push_count: 0,
            budget: ByteBudget::new(bytes_per_second, now),
        }
    }

    /// Whether no updates are queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Adds an update; it replaces an earlier one about the same member.
    pub fn push(&mut self, update: Update) {
        self.push_count += 1;
        let key = (0, Reverse(self.push_count));
        if let Some(old) = self.keys.insert(update.daemon().clone(), key) {
            self.items.remove(&old);
        }
        self.items.insert(key, update);
    }

    /// Returns updates that fit into `room` bytes and the budget. Drops those that have now been
    /// sent `retransmits` times.
    pub fn take(&mut self, room: usize, retransmits: u32, now: Instant) -> Vec<Update> {
        let room = room.min(self.budget.available(now));
        let mut left = room;
        let mut selected = Vec::new();
        for (key, update) in &self.items {
            let size = update.size();
            if size > left {
                break;
            }
            left -= size;
            selected.push(*key);
        }
        self.budget.spend(room - left);
        selected
            .into_iter()
            .filter_map(|key| self.record_send(key, retransmits))
            .collect()
    }

    fn record_send(&mut self, key: Key, retransmits: u32) -> Option<Update> {
        let update = self.items.remove(&key)?;
        let next = (key.0 + 1, key.1);
        if next.0 >= retransmits {
            self.keys.remove(update.daemon());
        } else {
            self.keys.insert(update.daemon().clone(), next);
            self.items.insert(next, update.clone());
        }
        Some(update)
    }
}

/// Token bucket in bytes, with a capacity of one second.
#[derive(Debug)]
struct ByteBudget {
    per_second: u32,
    tokens: f64,
    refilled_at: Instant,
}

impl ByteBudget {
    fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_second,
            tokens: f64::from(per_second),
            refilled_at: now,
        }
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn available(&mut self, now: Instant) -> usize {
        let elapsed: Duration = now.saturating_duration_since(self.refilled_at);
        let rate = f64::from(self.per_second);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * rate).min(rate);
        self.refilled_at = now;
        self.tokens.max(0.0) as usize
    }

    #[allow(clippy::cast_precision_loss)]
    fn spend(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }
}
