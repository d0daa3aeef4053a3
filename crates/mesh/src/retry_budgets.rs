//! This daemon's part of the fleet-wide retry budget, by service.
//!
//! The platform limits the retries of all daemons together in any window. Each daemon spends a
//! ratio of its own requests and an equal part of the additional allowance, so that the sum stays
//! within the limit without communication between daemons.

use std::time::Instant;

use base::FastMap;
use base::ServiceName;
use routing::RetryBudget;
use routing::budget::BudgetDecision;
use routing::budget::RetryBudgetConfig;

/// Retries per thousand requests at an allowed ratio of 1. Half of the allowed ratio is used, since
/// the calls of a repeated execution count as retries at the services that it calls, and requests
/// that never arrived add nothing to the budget.
const USED_RATIO_PERMILLE: f64 = 500.0;

/// Part of the additional allowance that is used, for the same reasons.
const USED_SLACK: f64 = 0.5;

/// Retry budgets by service.
#[derive(Debug)]
pub struct RetryBudgets {
    cfg: RetryBudgetConfig,
    budgets: FastMap<ServiceName, RetryBudget>,
}

impl RetryBudgets {
    /// Splits the fleet's limits among `members` daemons: `ratio` is the allowed share of retries
    /// in the requests, `slack` the number of additional retries in a window.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, members: usize) -> Self {
        Self {
            cfg: budget_config(ratio, slack, members),
            budgets: FastMap::default(),
        }
    }

    /// Splits the fleet's limits anew; a change resets all budgets.
    pub fn resize(&mut self, ratio: f64, slack: f64, members: usize) {
        let cfg = budget_config(ratio, slack, members);
        if cfg != self.cfg {
            self.cfg = cfg;
            self.budgets.clear();
        }
    }

    /// Records a request to a service, which adds to its budget.
    pub fn request_started(&mut self, service: &ServiceName, now: Instant) {
        self.budget(service, now).record_call();
    }

    /// Spends one retry from the budget of a service, if there is one.
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
fn budget_config(ratio: f64, slack: f64, members: usize) -> RetryBudgetConfig {
    RetryBudgetConfig {
        per_thousand: (ratio * USED_RATIO_PERMILLE).max(0.0) as u64,
        floor_per_second: 0,
        burst: (slack * USED_SLACK / members.max(1) as f64).max(1.0) as u64,
    }
}
