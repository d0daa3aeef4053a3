//! History of good and bad calls, kept in memory by each daemon and merged by the burn report.
//!
//! Each window is a ring of slots aligned to the wall clock, so that the slots of different
//! daemons cover the same intervals and can be added up. Memory is bounded by the number of
//! windows, slots and services. A restart loses all counts; [`HistoryView::since`] tells when
//! counting started.

use std::collections::BTreeMap;
use std::time::Duration;

use base::ServiceName;
use base::UnixMillis;
use serde::Deserialize;
use serde::Serialize;

use crate::objectives::DEFAULT_WINDOWS;

/// Path on the daemon's local address that serves the [`HistoryView`] as JSON.
pub const HISTORY_PATH: &str = "/history";

/// Number of slots that a window is divided into.
pub const SLOTS_PER_WINDOW: u64 = 30;

/// Whether a call counts as good or bad against the objective of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// Answered in time, without a failure.
    Good,
    /// Failed, refused, timed out, or with an unknown outcome.
    Bad,
}

/// Numbers of good and bad calls, of a slot or a sum of slots.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Number of calls with [`CallResult::Good`].
    pub good: u64,
    /// Number of calls with [`CallResult::Bad`].
    pub bad: u64,
}

impl CallCounts {
    /// Returns the number of good and bad calls together.
    #[must_use]
    pub fn total(self) -> u64 {
        self.good + self.bad
    }

    /// Adds good and bad calls of both counts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            good: self.good + other.good,
            bad: self.bad + other.bad,
        }
    }
}

/// Counts by slot number: milliseconds since the Unix epoch divided by [`Ring::slot_millis`].
pub type Slots = BTreeMap<u64, CallCounts>;

/// Counts of all services over one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ring {
    /// Length of the window, in milliseconds.
    pub window: u64,
    /// Counts by service and slot.
    pub services: BTreeMap<ServiceName, Slots>,
}

/// Serialised form of the history, as daemons serve it and the burn report merges it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryView {
    /// Time at which the earliest merged daemon started to count.
    pub since: UnixMillis,
    /// One ring per window, in the order of the daemon's windows.
    pub rings: Vec<Ring>,
}

impl Ring {
    /// Returns the length of a slot, in milliseconds, at least 1.
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

/// History of the calls that one daemon received, in memory.
#[derive(Debug, Clone)]
pub struct History {
    view: HistoryView,
}

impl History {
    /// Creates an empty history over [`DEFAULT_WINDOWS`] that starts at `now`.
    #[must_use]
    pub fn new(now: UnixMillis) -> Self {
        Self::with_windows(now, &DEFAULT_WINDOWS)
    }

    /// Creates an empty history over `windows` that starts at `now`.
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

    /// Counts a call of `service` that ended at `now`, in every window.
    pub fn record(&mut self, service: &ServiceName, result: CallResult, now: UnixMillis) {
        for ring in &mut self.view.rings {
            ring.record(service, result, now);
        }
    }

    /// Returns the counts in their serialised form.
    #[must_use]
    pub fn view(&self) -> &HistoryView {
        &self.view
    }
}

impl HistoryView {
    /// Adds the counts of another daemon; windows that only one side has are kept.
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

    /// Returns the ring of the window with this length, if the history has one.
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

/// Converts a duration to whole milliseconds, saturating at `u64::MAX`.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
