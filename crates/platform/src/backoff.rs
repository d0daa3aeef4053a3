//! Pauses between attempts: capped, growing, with jitter.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Bounds of the pauses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffCfg {
    /// Longest first pause.
    pub initial_delay: Duration,
    /// Longest pause of all.
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

/// Pauses after failures in a row. The ceiling doubles up to the cap; the pause lies between half
/// of the ceiling and the ceiling, so that a herd that failed together spreads out.
#[derive(Debug, Clone)]
pub struct Backoff {
    cfg: BackoffCfg,
    failures: u32,
    rng: SmallRng,
}

impl Backoff {
    /// Starts with no failures. Processes take different seeds.
    #[must_use]
    pub fn new(cfg: BackoffCfg, seed: u64) -> Self {
        Self {
            cfg,
            failures: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// One without failures whose pauses differ from those of this one.
    #[must_use]
    pub fn fork(&mut self) -> Self {
        Self {
            cfg: self.cfg,
            failures: 0,
            rng: SmallRng::from_rng(&mut self.rng),
        }
    }

    /// Pause after one more failure.
    pub fn next_delay(&mut self) -> Duration {
        let ceiling = self.ceiling();
        self.failures = self.failures.saturating_add(1);
        ceiling.mul_f64(self.rng.random_range(0.5..=1.0))
    }

    /// Forgets the failures after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    fn ceiling(&self) -> Duration {
        let factor = 2_u32.saturating_pow(self.failures);
        self.cfg
            .initial_delay
            .saturating_mul(factor)
            .min(self.cfg.max_delay)
    }
}
