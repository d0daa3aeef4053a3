//! History of calls, kept by each daemon in memory and merged by the report.
//!
//! Each window is kept as a ring of slots that are aligned to the clock, so that the slots of
//! several daemons fall together. Memory is bounded by windows, slots and services. A daemon that
//! restarts begins anew: what it counted before is lost, and the report says since when there
//! are counts.

use std::collections::BTreeMap;
use std::time::Duration;

use base::ServiceName;
use base::UnixMillis;
use serde::Deserialize;
use serde::Serialize;

use crate::objectives::DEFAULT_WINDOWS;

/// Path of the daemon's local address that gives the [`HistoryView`].
pub const HISTORY_PATH: &str = "/history";

/// Slots of each window.
pub const SLOTS_PER_WINDOW: u64 = 30;

/// Whether a call was answered well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// It was answered in time, without a failure.
    Good,
    /// It failed, was refused, came too late, or its outcome is unknown.
    Bad,
}

/// Calls of one slot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls that were answered well.
    pub good: u64,
    /// The others.
    pub bad: u64,
}

impl CallCounts {
    /// All calls.
    #[must_use]
    pub fn total(self) -> u64 {
        self.good + self.bad
    }

    /// The sum of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            good: self.good + other.good,
            bad: self.bad + other.bad,
        }
    }
}

/// Counts by slot number.
pub type Slots = BTreeMap<u64, CallCounts>;

/// One window of the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ring {
    /// Length of the window, in milliseconds.
    pub window: u64,
    /// Counts by service and slot.
    pub services: BTreeMap<ServiceName, Slots>,
}

/// History as daemons hand it out and the report merges it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryView {
    /// When the earliest of the daemons began to count.
    pub since: UnixMillis,
    /// Windows, shortest first.
    pub rings: Vec<Ring>,
}

impl Ring {
    /// Length of a slot, in milliseconds.
    #[must_use]
    pub fn slot_millis(&self) -> u64 {
        (self.window / SLOTS_PER_WINDOW).max(1)
    }

    fn record(&mut self, service: &ServiceName, result: CallResult, now: UnixMillis) {
        let slot = now / self.slot_millis();
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Slots::new());
        }
        let Some(slots) = self.services.get_mut(service) else {
            return;
        };
        let counts = slots.entry(slot).or_default();
        match result {
            CallResult::Good => counts.good += 1,
            CallResult::Bad => counts.bad += 1,
        }
        while slots.len() as u64 > SLOTS_PER_WINDOW + 1 {
            slots.pop_first();
        }
    }
}

/// History that one daemon keeps.
#[derive(Debug, Clone)]
pub struct History {
    view: HistoryView,
}

impl History {
    /// An empty history of the default windows that begins now.
    #[must_use]
    pub fn new(now: UnixMillis) -> Self {
        Self::with_windows(now, &DEFAULT_WINDOWS)
    }

    /// An empty history of these windows that begins now.
    #[must_use]
    pub fn with_windows(now: UnixMillis, windows: &[Duration]) -> Self {
        let ring = |window: &Duration| Ring {
            window: millis(*window),
            services: BTreeMap::new(),
        };
        Self {
            view: HistoryView {
                since: now,
                rings: windows.iter().map(ring).collect(),
            },
        }
    }

    /// Counts a call.
    pub fn record(&mut self, service: &ServiceName, result: CallResult, now: UnixMillis) {
        for ring in &mut self.view.rings {
            ring.record(service, result, now);
        }
    }

    /// What was counted.
    #[must_use]
    pub fn view(&self) -> &HistoryView {
        &self.view
    }
}

impl HistoryView {
    /// Adds the counts of another daemon; windows that only one has are kept.
    #[must_use]
    pub fn merge(mut self, other: &Self) -> Self {
        if self.rings.is_empty() {
            return other.clone();
        }
        self.since = self.since.min(other.since);
        for theirs in &other.rings {
            let own = self
                .rings
                .iter_mut()
                .find(|own| own.window == theirs.window);
            match own {
                Some(own) => merge_ring(own, theirs),
                None => self.rings.push(theirs.clone()),
            }
        }
        self
    }

    /// The window of this length.
    #[must_use]
    pub fn ring(&self, window: Duration) -> Option<&Ring> {
        self.rings.iter().find(|ring| ring.window == millis(window))
    }
}

fn merge_ring(own: &mut Ring, theirs: &Ring) {
    for (service, slots) in &theirs.services {
        let merged = own.services.entry(service.clone()).or_default();
        for (slot, counts) in slots {
            let sum = merged.entry(*slot).or_default();
            *sum = sum.plus(*counts);
        }
    }
}

/// A duration in whole milliseconds.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
