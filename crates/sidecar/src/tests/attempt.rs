//! Whether a request that did not run goes to another instance.

use std::time::Duration;

use ledger::Idempotency;

use crate::attempt::NotRunBy;
use crate::attempt::may_try_another;

/// Timeout for connecting to the daemon of a machine that went dark.
const CONNECT_TIMEOUT_MS: u64 = 200;

fn check(by: NotRunBy, tried: usize, elapsed_ms: u64, full_value_ms: u64, expected: bool) {
    check_kind(
        by,
        Idempotency::Idempotent,
        tried,
        elapsed_ms,
        full_value_ms,
        expected,
    );
}

fn check_kind(
    by: NotRunBy,
    repeat: Idempotency,
    tried: usize,
    elapsed_ms: u64,
    full_value_ms: u64,
    expected: bool,
) {
    let ms = Duration::from_millis;
    let actual = may_try_another(by, repeat, tried, ms(elapsed_ms), ms(full_value_ms));
    assert_eq!(
        actual, expected,
        "{by:?} {tried} {elapsed_ms} {full_value_ms}"
    );
}

/// A call with 600 ms whose first choice went dark, as a third of a fleet did at once.
#[test]
fn a_request_that_reached_nobody_goes_to_another_instance() {
    check(NotRunBy::Nobody, 1, CONNECT_TIMEOUT_MS, 600, true);
    check(NotRunBy::Nobody, 2, 2 * CONNECT_TIMEOUT_MS, 600, false);
    check(NotRunBy::Nobody, 2, 2 * CONNECT_TIMEOUT_MS, 1500, true);
    check(NotRunBy::Nobody, 3, 3 * CONNECT_TIMEOUT_MS, 6000, false);
}

/// At another machine of the same cut a request that may run only once could be lost.
#[test]
fn a_request_that_may_run_once_returns_to_its_client_instead() {
    let check = |elapsed_ms, expected| {
        let once = Idempotency::AtMostOnce;
        check_kind(NotRunBy::Nobody, once, 1, elapsed_ms, 600, expected);
    };
    check(1, true);
    check(CONNECT_TIMEOUT_MS, false);
}

#[test]
fn a_request_that_was_refused_late_returns_to_its_client() {
    check(NotRunBy::Refusal, 1, 20, 600, true);
    check(NotRunBy::Refusal, 1, 200, 600, false);
    check(NotRunBy::Refusal, 3, 20, 600, false);
}
