//! Retries while a service rejects a large part of its requests.

use std::time::Duration;
use std::time::Instant;

use base::ServiceName;
use ledger::Idempotency;
use routing::budget::BudgetDecision;

use crate::retry_budgets::LastAttempt;
use crate::retry_budgets::RetryBudgets;

const RATIO: f64 = 0.2;
const SLACK: f64 = 430.0;
const MEMBERS: usize = 200;
const REJECTED_PERCENT: u64 = 55;

#[derive(Debug, Default)]
struct Served {
    requests: u32,
    /// Requests of which an attempt ran.
    ran: u32,
    retries: u32,
}

/// Ten seconds of one daemon: of its ten requests a second to the service, two may run only once,
/// and the service rejects more than half of all attempts. Each request is retried once at most.
fn replay(budgets: &mut RetryBudgets, last: LastAttempt) -> [Served; 2] {
    let service: ServiceName = "bookings".into();
    let start = Instant::now();
    let mut served = [Served::default(), Served::default()];
    let mut random = 7_u64;
    let mut is_rejected = || {
        random = base::hash::stable(&[&random.to_be_bytes()]);
        random % 100 < REJECTED_PERCENT
    };
    for number in 0..1000_u32 {
        let now = start + Duration::from_millis(100) * number;
        let (repeat, served) = if number % 5 == 0 {
            (Idempotency::AtMostOnce, &mut served[0])
        } else {
            (Idempotency::Idempotent, &mut served[1])
        };
        served.requests += 1;
        budgets.request_started(&service, 0, now);
        if !is_rejected() {
            served.ran += 1;
            continue;
        }
        if budgets.try_spend(&service, last, repeat, now) == BudgetDecision::Granted {
            served.retries += 1;
            served.ran += u32::from(!is_rejected());
        }
    }
    served
}

#[test]
fn requests_that_may_run_once_get_the_scarce_retries() {
    let mut budgets = RetryBudgets::new(RATIO, SLACK, MEMBERS);
    let [once, idempotent] = replay(&mut budgets, LastAttempt::Rejected);
    // Without a preference both kinds would get the same part: 45% plus a quarter of the rest.
    assert!(once.ran * 100 > once.requests * 65, "{once:?}");
    assert!(
        idempotent.ran * 100 > idempotent.requests * 45,
        "{idempotent:?}"
    );
    let retries = once.retries + idempotent.retries;
    assert!(retries > 130, "{retries}");
}

/// The limit of the platform holds in each window for all daemons together.
#[test]
fn retries_stay_within_the_limit() {
    let check = |last, permille: u32| {
        let mut budgets = RetryBudgets::new(RATIO, SLACK, MEMBERS);
        let served = replay(&mut budgets, last);
        let retries: u32 = served.iter().map(|served| served.retries).sum();
        let requests: u32 = served.iter().map(|served| served.requests).sum();
        // One more than the ratio: the part of the allowance.
        assert!(retries * 1000 <= requests * permille + 1000, "{retries}");
    };
    check(LastAttempt::Rejected, 150);
    check(LastAttempt::Lost, 80);
}
