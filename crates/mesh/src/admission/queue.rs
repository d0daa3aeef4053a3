//! Order of the waiting requests.
//!
//! The more urgent rank goes first and, within a rank, requests much shorter than the mean. Among the
//! requests of one rank and length, the customers that wait take turns by slot time (start-time fair
//! queueing): a request gets the virtual time at which its customer's previous one ends, and the lowest
//! virtual time goes first. Requests without a customer count as those of one customer. Only customers
//! with a waiting request, or with one that started lately, take memory.

use std::time::Duration;
use std::time::Instant;

use base::FastMap;
use base::FastSet;

use super::AdmissionRequest;
use super::service_times::Length;
use crate::config::Rank;
use crate::customers::CustomerName;

/// Least slot time that counts for a request.
const MIN_COST: Duration = Duration::from_millis(1);

/// Customer of a request; `None` for all requests without one.
type Owner = Option<CustomerName>;

/// Rank and length: classes are served strictly in this order.
type Class = (Rank, Length);

/// A waiting request.
#[derive(Debug)]
pub(super) struct Queued<K> {
    pub(super) request: AdmissionRequest<K>,
    pub(super) owner: Owner,
    pub(super) length: Length,
    pub(super) enqueued_at: Instant,
    pub(super) expected_wait: Duration,
    /// Slot time that it will use.
    pub(super) cost: Duration,
    /// Virtual time at which it starts.
    pub(super) turn: Duration,
}

impl<K> Queued<K> {
    fn class(&self) -> Class {
        (self.request.rank, self.length)
    }
}

/// Turns of the customers of one class.
#[derive(Debug, Default)]
struct Turns {
    /// Turn of the request that started last.
    current: Duration,
    /// When the next request of a customer has its turn, if that is later than `current`.
    next_of: FastMap<Owner, Duration>,
}

/// Place of a new request in the queue.
#[derive(Debug, Clone, Copy)]
pub(super) struct Place {
    pub(super) position: usize,
    pub(super) turn: Duration,
}

/// The waiting requests, in the order in which they start.
#[derive(Debug)]
pub(super) struct WaitQueue<K> {
    entries: Vec<Queued<K>>,
    turns: FastMap<Class, Turns>,
}

impl<K> Default for WaitQueue<K> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            turns: FastMap::default(),
        }
    }
}

impl<K: PartialEq> WaitQueue<K> {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn entries(&self) -> &[Queued<K>] {
        &self.entries
    }

    /// Returns the place of a new request: behind those of more urgent classes, and behind those of
    /// its class whose turn is not later.
    pub(super) fn place_for(&self, rank: Rank, length: Length, owner: &Owner) -> Place {
        let class = (rank, length);
        let turn = self.turns.get(&class).map_or(Duration::ZERO, |turns| {
            let next = turns.next_of.get(owner).copied().unwrap_or_default();
            next.max(turns.current)
        });
        let position = self
            .entries
            .partition_point(|queued| (queued.class(), queued.turn) <= (class, turn));
        Place { position, turn }
    }

    /// Inserts a request at its place.
    pub(super) fn insert(&mut self, position: usize, queued: Queued<K>) {
        let turns = self.turns.entry(queued.class()).or_default();
        let next = queued.turn + queued.cost.max(MIN_COST);
        turns.next_of.insert(queued.owner.clone(), next);
        self.entries.insert(position, queued);
    }

    /// Removes the request that starts now.
    pub(super) fn start_first(&mut self) -> Option<Queued<K>> {
        if self.entries.is_empty() {
            return None;
        }
        let waiting = self.waiting_customers(self.entries[0].class());
        let first = self.entries.remove(0);
        if let Some(turns) = self.turns.get_mut(&first.class()) {
            // Time also passes while only customers without an earlier turn come.
            let passed = turns.current + first.cost / waiting.max(1);
            let current = if waiting > 1 {
                passed.max(first.turn)
            } else {
                turns.current.max(first.turn)
            };
            turns.current = current;
            turns.next_of.retain(|_, next| *next > current);
        }
        self.drop_idle(first.class());
        Some(first)
    }

    /// Removes a request that does not start. Its customer gets its turn back.
    pub(super) fn remove(&mut self, position: usize) -> Queued<K> {
        let removed = self.entries.remove(position);
        let class = removed.class();
        let is_last = !self.entries.iter().any(|queued| {
            queued.class() == class && queued.owner == removed.owner && queued.turn > removed.turn
        });
        if is_last && let Some(turns) = self.turns.get_mut(&class) {
            if removed.turn > turns.current {
                turns.next_of.insert(removed.owner.clone(), removed.turn);
            } else {
                turns.next_of.remove(&removed.owner);
            }
        }
        self.drop_idle(class);
        removed
    }

    /// Number of customers with waiting requests of a class.
    fn waiting_customers(&self, class: Class) -> u32 {
        let owners: FastSet<&Owner> = self
            .entries
            .iter()
            .filter(|queued| queued.class() == class)
            .map(|queued| &queued.owner)
            .collect();
        u32::try_from(owners.len()).unwrap_or(u32::MAX)
    }

    /// Forgets the turns of a class without waiting requests.
    fn drop_idle(&mut self, class: Class) {
        if !self.entries.iter().any(|queued| queued.class() == class) {
            self.turns.remove(&class);
        }
    }

    /// Removes the request for which a full queue has no room: the last one of the customer with the
    /// most waiting requests in the least urgent class.
    pub(super) fn evict(&mut self) -> Option<Queued<K>> {
        let class = self.entries.last()?.class();
        let mut waiting: FastMap<&Owner, usize> = FastMap::default();
        let last_class = || self.entries.iter().filter(|queued| queued.class() == class);
        for queued in last_class() {
            *waiting.entry(&queued.owner).or_default() += 1;
        }
        let most = waiting.values().copied().max()?;
        let is_of_most = |queued: &Queued<K>| waiting.get(&queued.owner) == Some(&most);
        let position = self
            .entries
            .iter()
            .rposition(|queued| queued.class() == class && is_of_most(queued))?;
        Some(self.remove(position))
    }

    /// Removes a request that its client abandoned. Returns whether it was waiting.
    pub(super) fn withdraw(&mut self, key: &K) -> bool {
        let position = self
            .entries
            .iter()
            .position(|queued| queued.request.key == *key);
        position.map(|position| self.remove(position)).is_some()
    }

    /// Removes all requests.
    pub(super) fn take_all(&mut self) -> Vec<Queued<K>> {
        self.turns.clear();
        std::mem::take(&mut self.entries)
    }
}
