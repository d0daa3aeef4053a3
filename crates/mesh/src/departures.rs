//! Incarnations of the local instance that said that they leave.
//!
//! A daemon that acknowledges a departure is bound by it for as long as the instance runs, also after
//! a restart of the daemon. It is therefore acknowledged only once the store holds it, and a process
//! that has not read the store yet does not know what earlier ones acknowledged.

use base::UnixMillis;

use crate::instance::InstanceKey;

/// Most departures that are kept. A machine runs one instance at a time, and a call of an earlier one
/// arrives seconds late at most.
const MAX_DEPARTURES: usize = 8;

/// What this process knows of the departures on its machine.
#[derive(Debug, Default)]
pub struct Departures {
    /// From the oldest to the newest.
    known: Vec<Departure>,
    /// Departures of this daemon that the store holds and that are no longer known.
    dropped: Vec<InstanceKey>,
    has_read_store: bool,
}

#[derive(Debug)]
struct Departure {
    /// All incarnations of this id that were born until then have left.
    key: InstanceKey,
    is_stored: bool,
}

impl Departures {
    /// Records a departure; the store lacks it until [`Self::record_stored`] is called.
    pub fn record(&mut self, key: InstanceKey) {
        self.insert(key, false);
    }

    /// Takes over a departure that an earlier process of this daemon stored.
    pub fn restore(&mut self, key: InstanceKey) {
        self.insert(key, true);
    }

    /// Records that the departures of earlier processes have been read from the store.
    pub fn record_read(&mut self) {
        self.has_read_store = true;
    }

    /// Whether the departures of earlier processes are known.
    #[must_use]
    pub fn has_read_store(&self) -> bool {
        self.has_read_store
    }

    /// Whether this incarnation has said that it leaves.
    #[must_use]
    pub fn contains(&self, key: &InstanceKey) -> bool {
        self.known.iter().any(|known| known.covers(key))
    }

    /// Whether the store holds that this incarnation leaves.
    #[must_use]
    pub fn is_stored(&self, key: &InstanceKey) -> bool {
        let mut known = self.known.iter();
        known.any(|known| known.is_stored && known.covers(key))
    }

    /// Returns the departures that the store lacks.
    #[must_use]
    pub fn unstored(&self) -> Vec<InstanceKey> {
        let unstored = self.known.iter().filter(|known| !known.is_stored);
        unstored.map(|known| known.key.clone()).collect()
    }

    /// Returns the departures that the store may drop.
    #[must_use]
    pub fn dropped(&self) -> &[InstanceKey] {
        &self.dropped
    }

    /// Records that the store holds these departures.
    pub fn record_stored(&mut self, keys: &[InstanceKey]) {
        for known in &mut self.known {
            known.is_stored |= keys.contains(&known.key);
        }
    }

    /// Records that the store has dropped these departures.
    pub fn record_dropped(&mut self, keys: &[InstanceKey]) {
        self.dropped.retain(|key| !keys.contains(key));
    }

    /// Records that the store may have lost all departures.
    pub fn forget_stored(&mut self) {
        for known in &mut self.known {
            known.is_stored = false;
        }
    }

    /// Returns the newest departure.
    #[must_use]
    pub fn newest(&self) -> Option<&InstanceKey> {
        self.known.last().map(|known| &known.key)
    }

    fn insert(&mut self, key: InstanceKey, is_stored: bool) {
        if let Some(known) = self.known.iter_mut().find(|known| known.key.id == key.id) {
            let until: UnixMillis = known.key.born;
            if key.born > until {
                known.key.born = key.born;
                known.is_stored = is_stored;
            } else if key.born == until {
                known.is_stored |= is_stored;
            }
            return;
        }
        self.known.push(Departure { key, is_stored });
        if self.known.len() > MAX_DEPARTURES {
            let oldest = self.known.remove(0);
            self.dropped.extend(oldest.is_stored.then_some(oldest.key));
        }
    }
}

impl Departure {
    fn covers(&self, key: &InstanceKey) -> bool {
        self.key.id == key.id && key.born <= self.key.born
    }
}
