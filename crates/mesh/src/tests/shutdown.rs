//! Tests of which requests a stopping daemon still takes.

use std::time::Duration;
use std::time::Instant;

use crate::shutdown::Expectation;
use crate::shutdown::Shutdown;

const GRACE: Duration = Duration::from_millis(5400);

#[test]
fn what_cannot_be_answered_before_the_process_ends_is_not_taken() {
    // Time since the start of the stop, time to the deadline, time to the full value, whether the listeners
    // close, and whether the request is taken; times in milliseconds.
    let cases = [
        (0, 2000, 800, false, true),
        (3400, 2000, 800, true, true),
        (3401, 2000, 800, true, false),
        // A long deadline: most such requests end early.
        (1000, 8000, 2000, false, true),
        (1500, 8000, 2000, false, false),
        (1000, 8000, 2000, true, false),
        // It has already missed its full value.
        (1000, 8000, 0, false, false),
        (5399, 1, 1, true, true),
        (5400, 1, 1, true, false),
    ];
    let began = Instant::now();
    for (at, deadline, full_value, is_closing, expected) in cases {
        let mut shutdown = Shutdown::new(began + GRACE);
        if is_closing {
            shutdown.record_closing();
        }
        let now = began + Duration::from_millis(at);
        let expectation = Expectation {
            deadline: now + Duration::from_millis(deadline),
            full_value_until: now + Duration::from_millis(full_value),
        };
        let is_taken = shutdown.leaves_time_for(expectation, now);
        assert_eq!(
            is_taken, expected,
            "{at} {deadline} {full_value} {is_closing}"
        );
    }
}
