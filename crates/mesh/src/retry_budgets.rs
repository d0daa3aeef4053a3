//! This daemon's part of the fleet-wide retry budget, by service.
//!
//! Handles instances that reject or lose a large part of their requests. The platform limits the
//! retries of all daemons together in any window. Each daemon spends a ratio of its own requests and
//! an equal part of the additional allowance, so that the sum stays within the limit without
//! communication between daemons.
//!
//! While the budget is short, requests that may run only once go first: nothing else can save them,
//! since clients retry idempotent ones after any failure. A retry after a lost answer repeats the
//! calls of the first run, so those retries get a smaller part.
//!
//! The calls of any repeated run, also one after a rejection, count as repeats at the services called.
//! A request that may be such a call draws on the budget of its service without being asked, and
//! retries get what the calls leave.

use std::time::Duration;
use std::time::Instant;

use base::FastMap;
use base::ServiceName;
use ledger::Idempotency;
use routing::RetryBudget;
use routing::budget::BudgetDecision;
use routing::budget::RetryBudgetConfig;

use crate::run_origins::RepeatShare;

/// Retries per thousand requests at an allowed ratio of 1. The rest is left to the retries of the
/// services that retried runs call.
const USED_RATIO_PERMILLE: f64 = 750.0;

/// The same for retries together with calls of repeated runs. How many calls those are is an estimate.
const TOTAL_RATIO_PERMILLE: f64 = 900.0;

/// Retries per thousand requests that may repeat a run, at an allowed ratio of 1.
const REPEATED_RATIO_PERMILLE: f64 = 400.0;

/// Part of the additional allowance that is used; estimates may be off by the rest.
const USED_SLACK: f64 = 0.5;

/// Unused retries that a daemon keeps at least, which it has to earn by its requests. Fewer would be
/// lost while idempotent requests yield.
const MIN_BURST: u64 = 3;

/// Time for which idempotent requests get no retries after one that may run only once was denied.
const YIELD_TIME: Duration = Duration::from_secs(1);

/// What the last attempt of a request shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastAttempt {
    /// The instance said that it did not run the request.
    Rejected,
    /// The request may have run.
    Lost,
}

/// Retry budgets by service.
#[derive(Debug)]
pub struct RetryBudgets {
    limits: Limits,
    budgets: FastMap<ServiceName, ServiceBudget>,
}

/// The limits of one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Limits {
    /// Whether this daemon's part of the allowance covers a full budget.
    starts_full: bool,
    all: RetryBudgetConfig,
    repeated: RetryBudgetConfig,
    total: RetryBudgetConfig,
}

#[derive(Debug)]
struct ServiceBudget {
    all: RetryBudget,
    /// Further limit on retries that may repeat a run.
    repeated: RetryBudget,
    /// Limit on retries together with calls of repeated runs.
    total: RetryBudget,
    /// Until when idempotent requests get no retries.
    yields_until: Option<Instant>,
}

impl RetryBudgets {
    /// Splits the fleet's limits among `members` daemons: `ratio` is the allowed share of retries
    /// in the requests, `slack` the number of additional retries in a window.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, members: usize) -> Self {
        Self {
            limits: Limits::new(ratio, slack, members),
            budgets: FastMap::default(),
        }
    }

    /// Splits the fleet's limits anew; a change resets all budgets.
    pub fn resize(&mut self, ratio: f64, slack: f64, members: usize) {
        let limits = Limits::new(ratio, slack, members);
        if limits != self.limits {
            self.limits = limits;
            self.budgets.clear();
        }
    }

    /// Records a request to a service, which adds to its budget. `share` is the expected share of calls
    /// of repeated runs among such requests.
    pub fn request_started(&mut self, service: &ServiceName, share: RepeatShare, now: Instant) {
        let budget = self.budget(service, now);
        budget.all.record_call();
        budget.repeated.record_call();
        budget.total.record_call();
        budget.total.record_extra(share);
    }

    /// Spends one retry from the budget of a service, if there is one for such a request.
    pub fn try_spend(
        &mut self,
        service: &ServiceName,
        last: LastAttempt,
        repeat: Idempotency,
        now: Instant,
    ) -> BudgetDecision {
        let budget = self.budget(service, now);
        let is_idempotent = repeat == Idempotency::Idempotent;
        if is_idempotent && budget.yields_until.is_some_and(|until| until > now) {
            return BudgetDecision::Exhausted;
        }
        if last == LastAttempt::Lost && budget.repeated.try_spend(now) == BudgetDecision::Exhausted
        {
            return BudgetDecision::Exhausted;
        }
        let decision = budget.spend(now);
        if decision == BudgetDecision::Exhausted && !is_idempotent {
            budget.yields_until = Some(now + YIELD_TIME);
        }
        decision
    }

    fn budget(&mut self, service: &ServiceName, now: Instant) -> &mut ServiceBudget {
        let limits = self.limits;
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| ServiceBudget {
                all: limits.start(limits.all, now),
                repeated: limits.start(limits.repeated, now),
                total: limits.start(limits.total, now),
                yields_until: None,
            })
    }
}

impl ServiceBudget {
    fn spend(&mut self, now: Instant) -> BudgetDecision {
        if !self.total.has_attempt(now) {
            return BudgetDecision::Exhausted;
        }
        let decision = self.all.try_spend(now);
        if decision == BudgetDecision::Granted {
            self.total.try_spend(now);
        }
        decision
    }
}

impl Limits {
    fn start(self, cfg: RetryBudgetConfig, now: Instant) -> RetryBudget {
        if self.starts_full {
            RetryBudget::new(cfg, now)
        } else {
            RetryBudget::empty(cfg, now)
        }
    }

    fn new(ratio: f64, slack: f64, members: usize) -> Self {
        let burst = slack * USED_SLACK / count(members.max(1));
        let limit = |permille: f64| RetryBudgetConfig {
            per_thousand: whole(ratio * permille),
            floor_per_second: 0,
            burst: whole(burst).max(MIN_BURST),
        };
        Self {
            starts_full: whole(burst) >= MIN_BURST,
            all: limit(USED_RATIO_PERMILLE),
            repeated: limit(REPEATED_RATIO_PERMILLE),
            total: limit(TOTAL_RATIO_PERMILLE),
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn count(members: usize) -> f64 {
    members as f64
}

/// Truncates to an integer; a negative number becomes 0.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(number: f64) -> u64 {
    number.max(0.0) as u64
}
