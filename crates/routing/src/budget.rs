//! Limits on extra attempts: the retry budget and the hedge delay.

use std::time::Duration;
use std::time::Instant;

/// Cost of one extra attempt, in tokens; a call earns `per_thousand` of them, so that the ratio is
/// kept in whole numbers.
const TOKENS_PER_ATTEMPT: i64 = 1000;

/// Limits on extra attempts, which are retries and hedges.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudgetConfig {
    /// Extra attempts per thousand calls.
    pub per_thousand: u64,
    /// Extra attempts per second that are allowed regardless of the number of calls.
    pub floor_per_second: u64,
    /// Maximum number of unused extra attempts that accumulate.
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

/// Token bucket that limits extra attempts to a ratio of the calls, so that retries do not
/// amplify an overload.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    /// Below 0 while the budget is in debt.
    tokens: i64,
    last_refill: Instant,
}

/// Whether an extra attempt may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetDecision {
    /// The attempt may be sent; its tokens are taken from the budget.
    Granted,
    /// The budget has no tokens for another attempt.
    Exhausted,
}

impl RetryBudget {
    /// Creates a full budget: `cfg.burst` extra attempts are available at once.
    #[must_use]
    pub fn new(cfg: RetryBudgetConfig, now: Instant) -> Self {
        Self {
            cfg,
            tokens: cap(cfg),
            last_refill: now,
        }
    }

    /// Creates an empty budget, which calls and time fill.
    #[must_use]
    pub fn empty(cfg: RetryBudgetConfig, now: Instant) -> Self {
        Self {
            tokens: 0,
            ..Self::new(cfg, now)
        }
    }

    /// Records a new call, which adds `per_thousand` tokens to the budget.
    pub fn record_call(&mut self) {
        self.add_tokens(self.cfg.per_thousand);
    }

    /// Takes the tokens of an extra attempt that is sent whatever the budget holds and counts with a
    /// probability of `permille`. The debt grows up to the tokens of a full budget.
    pub fn record_extra(&mut self, permille: u16) {
        self.tokens = (self.tokens - i64::from(permille)).max(-cap(self.cfg));
    }

    /// Returns whether there are tokens for an extra attempt.
    pub fn has_attempt(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.tokens >= TOKENS_PER_ATTEMPT
    }

    /// Takes the tokens of one extra attempt from the budget.
    pub fn try_spend(&mut self, now: Instant) -> BudgetDecision {
        if !self.has_attempt(now) {
            return BudgetDecision::Exhausted;
        }
        self.tokens -= TOKENS_PER_ATTEMPT;
        BudgetDecision::Granted
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_refill);
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        // One attempt per second equals one token per millisecond.
        let earned = millis.saturating_mul(self.cfg.floor_per_second);
        if earned > 0 {
            // What is left of a millisecond counts at the next refill.
            self.last_refill += Duration::from_millis(millis);
            self.add_tokens(earned);
        }
    }

    fn add_tokens(&mut self, tokens: u64) {
        let tokens = i64::try_from(tokens).unwrap_or(i64::MAX);
        self.tokens = self.tokens.saturating_add(tokens).min(cap(self.cfg));
    }
}

/// Returns the tokens of a full budget.
fn cap(cfg: RetryBudgetConfig) -> i64 {
    let attempts = i64::try_from(cfg.burst).unwrap_or(i64::MAX);
    attempts.saturating_mul(TOKENS_PER_ATTEMPT)
}

/// Number of histogram buckets. Latencies up to 1 us share the first one; bucket bounds grow by a
/// factor of 2^(1/4).
const BUCKET_COUNT: usize = 128;
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Number of samples at which all bucket counts are halved, so that old latencies lose weight.
const DECAY_THRESHOLD: u32 = 2048;
/// Minimum number of samples for a meaningful quantile.
const MIN_SAMPLES: u32 = 64;

/// Derives the hedge delay of calls from a histogram of their latencies.
#[derive(Debug, Clone)]
pub struct HedgePolicy {
    quantile: f64,
    buckets: Vec<u32>,
    count: u32,
}

impl HedgePolicy {
    /// Creates a policy that hedges calls slower than `quantile` (0 to 1) of recent calls.
    #[must_use]
    pub fn new(quantile: f64) -> Self {
        Self {
            quantile: quantile.clamp(0.0, 1.0),
            buckets: vec![0; BUCKET_COUNT],
            count: 0,
        }
    }

    /// Records the latency of an answered call.
    pub fn observe(&mut self, latency: Duration) {
        self.buckets[bucket_index(latency)] += 1;
        self.count += 1;
        if self.count >= DECAY_THRESHOLD {
            self.decay();
        }
    }

    /// Returns the time after which a hedge may be sent, or `None` while there are too few samples.
    #[must_use]
    pub fn delay(&self) -> Option<Duration> {
        if self.count < MIN_SAMPLES {
            return None;
        }
        let target_rank = f64::from(self.count) * self.quantile;
        let mut cumulative = 0;
        for (index, count) in self.buckets.iter().enumerate() {
            cumulative += count;
            if f64::from(cumulative) >= target_rank {
                return Some(bucket_upper_bound(index));
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
fn bucket_index(latency: Duration) -> usize {
    let micros = latency.as_secs_f64() * 1e6;
    if micros <= 1.0 {
        return 0;
    }
    let index = (micros.log2() * BUCKETS_PER_DOUBLING).ceil() as usize;
    index.min(BUCKET_COUNT - 1)
}

#[allow(clippy::cast_precision_loss)]
fn bucket_upper_bound(index: usize) -> Duration {
    let micros = (index as f64 / BUCKETS_PER_DOUBLING).exp2();
    Duration::from_secs_f64(micros / 1e6)
}
