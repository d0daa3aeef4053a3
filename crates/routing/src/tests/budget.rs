//! Tests of the retry budget and the hedge delay.

use std::time::Duration;
use std::time::Instant;

use super::ms;
use crate::budget::BudgetDecision;
use crate::budget::HedgePolicy;
use crate::budget::RetryBudget;
use crate::budget::RetryBudgetConfig;

#[test]
fn extra_attempts_stay_within_ratio_and_floor() {
    let start = Instant::now();
    let check = |calls: u64, seconds: u64, want: u64| {
        let cfg = RetryBudgetConfig {
            per_thousand: 100,
            floor_per_second: 2,
            burst: 50,
        };
        let mut budget = RetryBudget::new(cfg, start);
        for _ in 0..50 {
            assert_eq!(budget.try_spend(start), BudgetDecision::Granted);
        }
        for _ in 0..calls {
            budget.record_call();
        }
        let now = start + Duration::from_secs(seconds);
        let granted = std::iter::repeat_with(|| budget.try_spend(now))
            .take(100)
            .take_while(|spend| *spend == BudgetDecision::Granted)
            .count();
        assert_eq!(granted as u64, want, "{calls} calls, {seconds} s");
    };
    check(0, 0, 0);
    check(9, 0, 0);
    check(10, 0, 1);
    check(200, 0, 20);
    check(0, 3, 6);
    check(10_000, 0, 50);
}

/// Attempts that are sent whatever the budget holds make later ones wait, for a full budget at most.
#[test]
fn attempts_beyond_the_budget_are_a_debt() {
    let start = Instant::now();
    let check = |extras: u32, permille: u16, calls: u32, want: BudgetDecision| {
        let cfg = RetryBudgetConfig {
            per_thousand: 100,
            floor_per_second: 0,
            burst: 3,
        };
        let mut budget = RetryBudget::empty(cfg, start);
        for _ in 0..extras {
            budget.record_extra(permille);
        }
        for _ in 0..calls {
            budget.record_call();
        }
        assert_eq!(budget.has_attempt(start), want == BudgetDecision::Granted);
        assert_eq!(
            budget.try_spend(start),
            want,
            "{extras} at {permille}, {calls} calls"
        );
    };
    check(1, 1000, 19, BudgetDecision::Exhausted);
    check(1, 1000, 20, BudgetDecision::Granted);
    check(4, 250, 19, BudgetDecision::Exhausted);
    check(4, 250, 20, BudgetDecision::Granted);
    check(50, 1000, 39, BudgetDecision::Exhausted);
    check(50, 1000, 40, BudgetDecision::Granted);
}

/// Asked every 1.9 ms, the budget still earns its floor of ten attempts a second.
#[test]
fn parts_of_a_millisecond_add_up() {
    let start = Instant::now();
    let cfg = RetryBudgetConfig {
        per_thousand: 0,
        floor_per_second: 10,
        burst: 1,
    };
    let mut budget = RetryBudget::empty(cfg, start);
    let asks = 0..1053_u32;
    let times = asks.map(|ask| start + Duration::from_micros(1900) * ask);
    let granted = times
        .filter(|now| budget.try_spend(*now) == BudgetDecision::Granted)
        .count();
    assert!((19..=20).contains(&granted), "{granted}");
}

#[test]
fn hedge_delay_follows_the_latency_quantile() {
    let mut policy = HedgePolicy::new(0.95);
    assert_eq!(policy.delay(), None);
    for call in 0..1000 {
        policy.observe(if call % 100 < 96 { ms(5) } else { ms(500) });
    }
    let delay = policy.delay().unwrap();
    assert!(delay >= ms(5) && delay < ms(7), "{delay:?}");
    // Old latencies lose weight.
    for _ in 0..10_000 {
        policy.observe(ms(50));
    }
    let delay = policy.delay().unwrap();
    assert!(delay >= ms(50) && delay < ms(60), "{delay:?}");
}
