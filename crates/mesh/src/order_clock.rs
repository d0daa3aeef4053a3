//! The time since the order of each move, which decides on its steps whichever daemon controls it.
//!
//! Each daemon counts from when it learned of an order and takes over what others have counted. Wall clocks of
//! two daemons may differ by seconds, so they are only compared where nobody may have counted: by a daemon that
//! has just started and finds a record in the store, as all do after a loss of power.

use std::time::Duration;
use std::time::Instant;

use base::FastMap;
use base::Offset;
use base::ServiceName;
use base::UnixMillis;

use crate::moves::MoveRecord;

/// How a daemon learned of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordSource {
    /// From the order, from another daemon or by a decision of its own.
    Live,
    /// From a record that the store has held for an unknown time.
    Store,
}

/// Clock by which the time since an order is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ElapsedClock {
    /// Monotonic clocks, of this daemon and of those that it has heard from.
    Monotonic,
    /// Wall clocks, of the daemon that first saw the order and of this one.
    Wall,
}

/// A time that was known at an instant and has grown since.
#[derive(Debug, Clone, Copy)]
struct Known {
    elapsed: Duration,
    at: Instant,
}

impl Known {
    fn now(self, now: Instant) -> Duration {
        self.elapsed
            .saturating_add(now.saturating_duration_since(self.at))
    }

    fn raise(&mut self, elapsed: Duration, now: Instant) {
        if elapsed > self.now(now) {
            *self = Self { elapsed, at: now };
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct OrderClock {
    order: Offset,
    counted: Known,
    /// Estimated from the wall clocks.
    estimated: Known,
    /// Whether the order may be older than this process.
    may_be_older: bool,
}

/// Time in which a daemon that starts reads the orders from before its start.
const STARTUP_TIME: Duration = Duration::from_secs(5);

/// Clocks of the latest orders, by service.
#[derive(Debug)]
pub struct OrderClocks {
    started_at: Instant,
    clocks: FastMap<ServiceName, OrderClock>,
}

impl OrderClocks {
    /// Returns the clocks of a process that started at this time.
    #[must_use]
    pub fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            clocks: FastMap::default(),
        }
    }

    /// Records that a move was learned of; `wall` is the time by this daemon's wall clock.
    pub fn learn(
        &mut self,
        record: &MoveRecord,
        source: RecordSource,
        wall: UnixMillis,
        now: Instant,
    ) {
        let order = &record.order;
        let is_known = |clock: &OrderClock| clock.order >= order.offset;
        if !self.clocks.get(&order.service).is_some_and(is_known) {
            let zero = Known {
                elapsed: Duration::ZERO,
                at: now,
            };
            let clock = OrderClock {
                order: order.offset,
                counted: zero,
                estimated: zero,
                may_be_older: now.saturating_duration_since(self.started_at) < STARTUP_TIME,
            };
            self.clocks.insert(order.service.clone(), clock);
        }
        let clock = self.clocks.get_mut(&order.service);
        let Some(clock) = clock.filter(|clock| clock.order == order.offset) else {
            return;
        };
        clock.counted.raise(record.elapsed, now);
        if source == RecordSource::Store && clock.may_be_older {
            let by_wall = Duration::from_millis(wall.saturating_sub(record.began));
            clock.estimated.raise(by_wall.min(order.within), now);
        }
    }

    /// Returns the time since the order of a move, which never falls, and the clock that it is from.
    #[must_use]
    pub fn elapsed(&self, record: &MoveRecord, now: Instant) -> (Duration, ElapsedClock) {
        let clock = self.clocks.get(&record.order.service);
        let Some(clock) = clock.filter(|clock| clock.order == record.order.offset) else {
            return (record.elapsed, ElapsedClock::Monotonic);
        };
        let (counted, estimated) = (clock.counted.now(now), clock.estimated.now(now));
        if estimated > counted {
            (estimated, ElapsedClock::Wall)
        } else {
            (counted, ElapsedClock::Monotonic)
        }
    }

    /// Returns a record as it is sent and stored, with the time that monotonic clocks have counted.
    #[must_use]
    pub fn stamp(&self, record: &MoveRecord, now: Instant) -> MoveRecord {
        let clock = self.clocks.get(&record.order.service);
        let counted = clock
            .filter(|clock| clock.order == record.order.offset)
            .map_or(record.elapsed, |clock| clock.counted.now(now));
        MoveRecord {
            elapsed: counted,
            ..record.clone()
        }
    }
}
