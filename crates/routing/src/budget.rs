//! Limits on extra attempts: the retry budget and the delay before a hedge.

use std::time::Duration;
use std::time::Instant;

/// Tokens of one extra attempt, so that a ratio can be kept in whole numbers.
const TOKENS_PER_ATTEMPT: u64 = 1000;

/// How many extra attempts are allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudgetConfig {
    /// Extra attempts per thousand calls.
    pub per_thousand: u64,
    /// Extra attempts per second that are allowed with few calls too.
    pub floor_per_second: u64,
    /// Extra attempts that can be saved up.
    pub burst: u64,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self {
            per_thousand: 100,
            floor_per_second: 2,
            burst: 20,
        }
    }
}

/// Bounds extra attempts to a ratio of the calls, so that retries never multiply an overload.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    tokens: u64,
    refilled: Instant,
}

/// Answer to the wish for an extra attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetDecision {
    /// The attempt may go out and is paid for.
    Granted,
    /// The budget is spent.
    Exhausted,
}

impl RetryBudget {
    /// Starts with a full budget.
    #[must_use]
    pub fn new(cfg: RetryBudgetConfig, now: Instant) -> Self {
        Self {
            cfg,
            tokens: cfg.burst * TOKENS_PER_ATTEMPT,
            refilled: now,
        }
    }

    /// Counts a new call, which earns a part of an extra attempt.
    pub fn record_call(&mut self) {
        self.earn(self.cfg.per_thousand);
    }

    /// Asks for one extra attempt.
    pub fn try_spend(&mut self, now: Instant) -> BudgetDecision {
        self.refill(now);
        if self.tokens < TOKENS_PER_ATTEMPT {
            return BudgetDecision::Exhausted;
        }
        self.tokens -= TOKENS_PER_ATTEMPT;
        BudgetDecision::Granted
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled);
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        // One attempt a second is one token a millisecond.
        let earned = millis.saturating_mul(self.cfg.floor_per_second);
        if earned > 0 {
            self.refilled = now;
            self.earn(earned);
        }
    }

    fn earn(&mut self, tokens: u64) {
        let cap = self.cfg.burst * TOKENS_PER_ATTEMPT;
        self.tokens = self.tokens.saturating_add(tokens).min(cap);
    }
}

/// Latencies below 1 us share the first bucket; each bucket is a quarter of a doubling wide.
const BUCKETS: usize = 128;
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Counts are halved at this sum, so that old latencies fade.
const DECAY_AT: u32 = 2048;
/// Calls before a quantile means something.
const MIN_SAMPLES: u32 = 64;

/// Learns after what time a call counts as slow, and so may be hedged.
#[derive(Debug, Clone)]
pub struct HedgePolicy {
    quantile: f64,
    buckets: Vec<u32>,
    count: u32,
}

impl HedgePolicy {
    /// Hedges calls that took longer than the given quantile, between 0 and 1, of the latest ones.
    #[must_use]
    pub fn new(quantile: f64) -> Self {
        Self {
            quantile: quantile.clamp(0.0, 1.0),
            buckets: vec![0; BUCKETS],
            count: 0,
        }
    }

    /// Counts the latency of an answered call.
    pub fn observe(&mut self, latency: Duration) {
        self.buckets[bucket(latency)] += 1;
        self.count += 1;
        if self.count >= DECAY_AT {
            self.decay();
        }
    }

    /// Time after which a hedge may go out; `None` while too few calls were seen.
    #[must_use]
    pub fn delay(&self) -> Option<Duration> {
        if self.count < MIN_SAMPLES {
            return None;
        }
        let wanted = f64::from(self.count) * self.quantile;
        let mut seen = 0;
        for (index, count) in self.buckets.iter().enumerate() {
            seen += count;
            if f64::from(seen) >= wanted {
                return Some(upper_bound(index));
            }
        }
        None
    }

    fn decay(&mut self) {
        for count in &mut self.buckets {
            *count /= 2;
        }
        self.count = self.buckets.iter().sum();
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn bucket(latency: Duration) -> usize {
    let micros = latency.as_secs_f64() * 1e6;
    if micros <= 1.0 {
        return 0;
    }
    let index = (micros.log2() * BUCKETS_PER_DOUBLING).ceil() as usize;
    index.min(BUCKETS - 1)
}

#[allow(clippy::cast_precision_loss)]
fn upper_bound(index: usize) -> Duration {
    let micros = (index as f64 / BUCKETS_PER_DOUBLING).exp2();
    Duration::from_secs_f64(micros / 1e6)
}
