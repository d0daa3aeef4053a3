//! A daemon's part of the fleet's budget of repeats, by service.
//!
//! The platform bounds the repeats of all daemons together in any window. Each daemon spends a
//! ratio of its own requests, and an equal part of what is allowed on top, so the sum keeps the
//! bound without a message between daemons.

use std::time::Instant;

use base::FastMap;
use base::ServiceName;
use routing::RetryBudget;
use routing::budget::BudgetDecision;
use routing::budget::RetryBudgetConfig;

/// Part of the allowed ratio that is used, in thousandths: calls of a repeated run count as
/// repeats at the services that it calls, and requests that never arrived earn nothing.
const USED_RATIO: f64 = 500.0;

/// Part of the allowance on top that is used, for the same reasons.
const USED_SLACK: f64 = 0.5;

/// Budgets of repeats by service.
#[derive(Debug)]
pub struct RetryBudgets {
    cfg: RetryBudgetConfig,
    budgets: FastMap<ServiceName, RetryBudget>,
}

impl RetryBudgets {
    /// Takes the fleet's bounds: repeats as a share of the requests, and how many more in a
    /// window; `members` is the number of daemons that share them.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, members: usize) -> Self {
        Self {
            cfg: config(ratio, slack, members),
            budgets: FastMap::default(),
        }
    }

    /// Shares the fleet's bounds among another number of daemons.
    pub fn resize(&mut self, ratio: f64, slack: f64, members: usize) {
        let cfg = config(ratio, slack, members);
        if cfg != self.cfg {
            self.cfg = cfg;
            self.budgets.clear();
        }
    }

    /// Counts a request for a service.
    pub fn request_started(&mut self, service: &ServiceName, now: Instant) {
        self.budget(service, now).record_call();
    }

    /// Asks for one repeat.
    pub fn try_spend(&mut self, service: &ServiceName, now: Instant) -> BudgetDecision {
        self.budget(service, now).try_spend(now)
    }

    fn budget(&mut self, service: &ServiceName, now: Instant) -> &mut RetryBudget {
        let cfg = self.cfg;
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(cfg, now))
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
fn config(ratio: f64, slack: f64, members: usize) -> RetryBudgetConfig {
    RetryBudgetConfig {
        per_thousand: (ratio * USED_RATIO).max(0.0) as u64,
        floor_per_second: 0,
        burst: (slack * USED_SLACK / members.max(1) as f64).max(1.0) as u64,
    }
}
