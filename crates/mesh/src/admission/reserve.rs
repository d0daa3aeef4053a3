//! Slots kept free for more urgent requests.
//!
//! A running request cannot be taken back, so long work that fills all slots delays urgent requests that
//! arrive after it. The slots that the more urgent ranks will use at the same time are estimated from
//! their arrivals of the last second at this instance and the spread of these; slots that the running
//! work frees while an urgent request can still wait are subtracted. Without urgent arrivals no slot is
//! kept, and a second after the last one none is.

use std::time::Duration;
use std::time::Instant;

use crate::config::Rank;

/// Span of one count of arrivals.
const BUCKET: Duration = Duration::from_millis(100);

/// Counts per rank: the estimate covers the last second.
const BUCKETS: u8 = 10;

/// Standard deviations of the slots in use that are kept above their mean.
const DEVIATIONS: f64 = 1.0;

/// Largest part of the slots that is kept free, as a divisor.
const MAX_KEPT_DIVISOR: u32 = 4;

/// Weight of the latest request in the mean service time and the mean slack of a rank.
const SMOOTHING: f64 = 0.1;

/// Part of the slack of an urgent request that may be spent waiting for a slot; the rest covers its way
/// and the spread of the service times.
const USABLE_SLACK: f64 = 0.5;

/// Least service time that is assumed of running requests, in seconds.
const MIN_SERVICE_SECS: f64 = 1e-3;

/// What a rank asks for.
#[derive(Debug, Clone)]
struct Demand {
    rank: Rank,
    running: u32,
    arrivals: [u16; BUCKETS as usize],
    /// Number of the bucket that was counted last, since the start of the clock.
    latest: u64,
    service_secs: f64,
    slack_secs: f64,
}

/// An arrival of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrival {
    pub(super) rank: Rank,
    pub(super) service_time: Duration,
    /// Time by which its start may be delayed at full value.
    pub(super) slack: Duration,
}

/// Arrivals and running requests by rank.
#[derive(Debug, Default)]
pub(super) struct Reserve {
    /// Ordered by rank.
    demands: Vec<Demand>,
    /// Time of the first arrival.
    clock_start: Option<Instant>,
}

impl Demand {
    fn new(rank: Rank) -> Self {
        Self {
            rank,
            running: 0,
            arrivals: [0; BUCKETS as usize],
            latest: 0,
            service_secs: 0.0,
            slack_secs: 0.0,
        }
    }

    fn advance(&mut self, bucket: u64) {
        let passed = bucket.saturating_sub(self.latest).min(u64::from(BUCKETS));
        for step in 1..=passed {
            self.arrivals[index_of(self.latest + step)] = 0;
        }
        if passed == u64::from(BUCKETS) {
            self.arrivals = [0; BUCKETS as usize];
        }
        self.latest = self.latest.max(bucket);
    }

    /// Returns the mean number of slots in use by the arrivals of the last second, and its variance.
    fn slots_in_use(&self, bucket: u64) -> (f64, f64) {
        let mut current = self.clone();
        current.advance(bucket);
        // The bucket in progress counts once it has more arrivals than the mean of the others.
        let in_progress = f64::from(current.arrivals[index_of(bucket)]);
        let sum: f64 = current.arrivals.iter().map(|n| f64::from(*n)).sum();
        let full = f64::from(BUCKETS - 1);
        let mean = ((sum - in_progress) / full).max(sum / (full + 1.0));
        if mean <= 0.0 {
            return (0.0, 0.0);
        }
        let square_sum: f64 = current
            .arrivals
            .iter()
            .map(|n| (f64::from(*n) - mean).powi(2))
            .sum();
        let dispersion = (square_sum / full / mean).max(1.0);
        let in_use = mean * self.service_secs / BUCKET.as_secs_f64();
        (in_use, in_use * dispersion)
    }

    /// Returns the number of slots that the running requests free within a time.
    fn freed_in(&self, secs: f64) -> f64 {
        f64::from(self.running) * (secs / self.service_secs.max(MIN_SERVICE_SECS)).min(1.0)
    }
}

fn index_of(bucket: u64) -> usize {
    usize::try_from(bucket % u64::from(BUCKETS)).unwrap_or(0)
}

impl Reserve {
    /// Records the arrival of a request, whether or not it will run.
    pub(super) fn record_arrival(&mut self, arrival: Arrival, now: Instant) {
        let bucket = self.bucket_at(now);
        let demand = self.demand_mut(arrival.rank);
        demand.advance(bucket);
        let count = &mut demand.arrivals[index_of(bucket)];
        *count = count.saturating_add(1);
        let average = |mean: &mut f64, latest: Duration| {
            let latest = latest.as_secs_f64();
            *mean += (latest - *mean) * if *mean > 0.0 { SMOOTHING } else { 1.0 };
        };
        average(&mut demand.service_secs, arrival.service_time);
        average(&mut demand.slack_secs, arrival.slack);
    }

    pub(super) fn started(&mut self, rank: Rank) {
        self.demand_mut(rank).running += 1;
    }

    pub(super) fn ended(&mut self, rank: Rank) {
        let demand = self.demand_mut(rank);
        demand.running = demand.running.saturating_sub(1);
    }

    /// Records the end of a running request of unknown rank.
    pub(super) fn ended_least_urgent(&mut self) {
        let is_running = |demand: &&mut Demand| demand.running > 0;
        if let Some(demand) = self.demands.iter_mut().rev().find(is_running) {
            demand.running -= 1;
        }
    }

    /// Returns the number of `slots` that a request of this rank leaves free.
    pub(super) fn kept_from(&self, rank: Rank, slots: u32, now: Instant) -> u32 {
        let Some(clock_start) = self.clock_start else {
            return 0;
        };
        let bucket = bucket_since(clock_start, now);
        let split = self.demands.partition_point(|demand| demand.rank < rank);
        let (urgent, others) = self.demands.split_at(split);
        let (mut mean, mut variance, mut running) = (0.0, 0.0, 0.0);
        let mut slack_secs = f64::MAX;
        for demand in urgent {
            let (demand_mean, demand_variance) = demand.slots_in_use(bucket);
            mean += demand_mean;
            variance += demand_variance;
            running += f64::from(demand.running);
            if demand_mean > 0.0 {
                slack_secs = slack_secs.min(demand.slack_secs);
            }
        }
        if mean <= 0.0 {
            return 0;
        }
        let wait = slack_secs * USABLE_SLACK;
        let freed: f64 = others.iter().map(|demand| demand.freed_in(wait)).sum();
        let needed = mean + DEVIATIONS * variance.sqrt() - running - freed;
        let most = f64::from(slots / MAX_KEPT_DIVISOR);
        // Bounded by the number of slots.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let kept = needed.clamp(0.0, most) as u32;
        kept
    }

    fn bucket_at(&mut self, now: Instant) -> u64 {
        bucket_since(*self.clock_start.get_or_insert(now), now)
    }

    fn demand_mut(&mut self, rank: Rank) -> &mut Demand {
        let index = match self
            .demands
            .binary_search_by_key(&rank, |demand| demand.rank)
        {
            Ok(index) => index,
            Err(index) => {
                self.demands.insert(index, Demand::new(rank));
                index
            }
        };
        &mut self.demands[index]
    }
}

fn bucket_since(start: Instant, now: Instant) -> u64 {
    let elapsed = now.saturating_duration_since(start);
    u64::try_from(elapsed.as_millis() / BUCKET.as_millis()).unwrap_or(u64::MAX)
}
