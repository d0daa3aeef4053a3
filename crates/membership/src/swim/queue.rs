//! News that waits to be piggybacked, least sent first.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;

use crate::message::Update;

/// Order of sending: least sent first, newest first among equals.
type Key = (u32, Reverse<u64>);

/// Updates with the number of their sends, and the byte budget that all sends share.
#[derive(Debug)]
pub struct Queue {
    items: BTreeMap<Key, Update>,
    keys: FastMap<DaemonId, Key>,
    pushed: u64,
    budget: Budget,
}

impl Queue {
    /// An empty queue that may send this many bytes a second.
    #[must_use]
    pub fn new(bytes_per_second: u32, now: Instant) -> Self {
        Self {
            items: BTreeMap::new(),
            keys: FastMap::default(),
            pushed: 0,
            budget: Budget::new(bytes_per_second, now),
        }
    }

    /// Whether there is no news.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Puts an update in the place of an earlier one about the same member.
    pub fn push(&mut self, update: Update) {
        self.pushed += 1;
        let key = (0, Reverse(self.pushed));
        if let Some(old) = self.keys.insert(update.daemon().clone(), key) {
            self.items.remove(&old);
        }
        self.items.insert(key, update);
    }

    /// Takes updates that fit into `room` bytes and the budget; drops those sent often enough.
    pub fn take(&mut self, room: usize, retransmits: u32, now: Instant) -> Vec<Update> {
        let room = room.min(self.budget.available(now));
        let mut left = room;
        let mut taken = Vec::new();
        for (key, update) in &self.items {
            let size = update.size();
            if size > left {
                break;
            }
            left -= size;
            taken.push(*key);
        }
        self.budget.spend(room - left);
        taken
            .into_iter()
            .filter_map(|key| self.sent(key, retransmits))
            .collect()
    }

    fn sent(&mut self, key: Key, retransmits: u32) -> Option<Update> {
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

/// Token bucket of bytes that holds one second's worth.
#[derive(Debug)]
struct Budget {
    per_second: u32,
    tokens: f64,
    filled: Instant,
}

impl Budget {
    fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_second,
            tokens: f64::from(per_second),
            filled: now,
        }
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn available(&mut self, now: Instant) -> usize {
        let since: Duration = now.saturating_duration_since(self.filled);
        let rate = f64::from(self.per_second);
        self.tokens = (self.tokens + since.as_secs_f64() * rate).min(rate);
        self.filled = now;
        self.tokens.max(0.0) as usize
    }

    #[allow(clippy::cast_precision_loss)]
    fn spend(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }
}
