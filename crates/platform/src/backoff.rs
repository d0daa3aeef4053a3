//! Exponential backoff with jitter and a maximum delay.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Bounds of the delays between attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffCfg {
    /// Upper bound of the delay after the first failure.
    pub initial_delay: Duration,
    /// Upper bound of every delay.
    pub max_delay: Duration,
}

impl Default for BackoffCfg {
    fn default() -> Self {
        Self {
            initial_delay: Duration::from_millis(50),
            max_delay: Duration::from_secs(5),
        }
    }
}

/// Delays after consecutive failures. Their upper bound doubles with each failure, up to
/// [`BackoffCfg::max_delay`]; each delay is drawn from between half of the bound and the bound, so
/// that clients that fail together retry at different times.
#[derive(Debug, Clone)]
pub struct Backoff {
    cfg: BackoffCfg,
    failures: u32,
    rng: SmallRng,
}

impl Backoff {
    /// Creates a backoff without failures. Processes use different seeds, so that their delays
    /// differ.
    #[must_use]
    pub fn new(cfg: BackoffCfg, seed: u64) -> Self {
        Self {
            cfg,
            failures: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Creates a backoff without failures whose delays differ from those of `self`.
    #[must_use]
    pub fn fork(&mut self) -> Self {
        Self {
            cfg: self.cfg,
            failures: 0,
            rng: SmallRng::from_rng(&mut self.rng),
        }
    }

    /// Records a failure and returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let upper_bound = self.upper_bound();
        self.failures = self.failures.saturating_add(1);
        upper_bound.mul_f64(self.rng.random_range(0.5..=1.0))
    }

    /// Resets the count of failures, after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    fn upper_bound(&self) -> Duration {
        let factor = 2_u32.saturating_pow(self.failures);
        self.cfg
            .initial_delay
            .saturating_mul(factor)
            .min(self.cfg.max_delay)
    }
}
