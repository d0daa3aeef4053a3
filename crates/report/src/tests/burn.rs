//! Tests of the burn report, its renderings and the parsing of objectives.

use std::time::Duration;

use base::UnixMillis;
use ledger::RolloutEnd;
use ledger::RolloutOutcome;
use ledger::State;

use crate::burn::BurnReport;
use crate::burn::BurnState;
use crate::history::CallResult;
use crate::history::History;
use crate::objectives::Objectives;

const DAY: UnixMillis = 24 * 60 * 60 * 1000;
const NOW: UnixMillis = 1000 * DAY;
const MINUTE: UnixMillis = 60 * 1000;

fn objectives() -> Objectives {
    Objectives::parse("services: { bookings: 99%, catalogue: 90% }\n").unwrap()
}

fn state() -> State {
    let end = |ticket, at, end| RolloutEnd {
        ticket,
        service: "bookings".into(),
        from: "v1".into(),
        to: "v2".into(),
        end,
        at,
    };
    let rolled_back = RolloutOutcome::RolledBack {
        reason: "errors".into(),
    };
    State {
        ends: [
            end(1, NOW - 30 * DAY, RolloutOutcome::Done),
            end(2, NOW - 2 * DAY, RolloutOutcome::Done),
            end(3, NOW - 2 * MINUTE, rolled_back),
        ]
        .into(),
        ..State::default()
    }
}

/// Returns the report after calls of bookings, each entry as `(ago, good, bad)` with `ago` in
/// milliseconds before now.
fn report(calls: &[(UnixMillis, u32, u32)]) -> BurnReport {
    let mut history = History::new(NOW - 3 * DAY);
    for (ago, good, bad) in calls {
        let mut add = |result, count| {
            (0..count).for_each(|_| history.record(&"bookings".into(), result, NOW - ago));
        };
        add(CallResult::Good, *good);
        add(CallResult::Bad, *bad);
    }
    BurnReport::new(&objectives(), history.view(), &state(), NOW)
}

/// Checks the state, the remaining budget and the burn rate of each window of bookings.
#[track_caller]
fn check(calls: &[(UnixMillis, u32, u32)], state: BurnState, left: f64, rates: [Option<f64>; 4]) {
    let report = report(calls);
    let bookings = &report.services[0];
    assert_eq!(bookings.state, state);
    assert!(
        (bookings.budget_left.unwrap() - left).abs() < 1e-9,
        "{bookings:?}"
    );
    for (window, rate) in bookings.windows.iter().zip(rates) {
        match (window.rate, rate) {
            (Some(got), Some(want)) => assert!((got - want).abs() < 1e-9, "{window:?}"),
            (got, want) => assert_eq!(got, want, "{window:?}"),
        }
    }
}

#[test]
fn burn_rate_is_the_bad_share_over_the_allowed_share() {
    let half = Some(0.5);
    check(&[(0, 995, 5)], BurnState::Ok, 0.5, [half; 4]);
    let double = Some(2.0);
    check(&[(0, 980, 20)], BurnState::Slow, -1.0, [double; 4]);
    let twenty = Some(20.0);
    check(&[(0, 800, 200)], BurnState::Fast, -19.0, [twenty; 4]);
}

#[test]
fn fast_burn_requires_the_shortest_window_to_burn() {
    let calls = [(0, 500, 0), (10 * MINUTE, 350, 150)];
    let [five_minutes, hour] = [Some(0.0), Some(15.0)];
    check(
        &calls,
        BurnState::Slow,
        -14.0,
        [five_minutes, hour, hour, hour],
    );
}

#[test]
fn calls_older_than_a_window_are_not_counted_in_it() {
    let calls = [(20 * MINUTE, 90, 10)];
    let ten = Some(10.0);
    check(&calls, BurnState::Slow, -9.0, [None, ten, ten, ten]);
    let calls = [(2 * DAY, 99, 1)];
    check(&calls, BurnState::Ok, 0.0, [None, None, None, Some(1.0)]);
}

#[test]
fn rollouts_are_counted_in_the_windows_that_they_ended_in() {
    let report = report(&[(0, 1, 0)]);
    let bookings = &report.services[0];
    let tickets: Vec<u64> = bookings.rollouts.iter().map(|event| event.ticket).collect();
    assert_eq!(tickets, [2, 3]);
    let rollout_counts: Vec<usize> = bookings
        .windows
        .iter()
        .map(|window| window.rollout_count)
        .collect();
    assert_eq!(rollout_counts, [1, 1, 1, 2]);
    assert_eq!(report.services[1].state, BurnState::NoCalls);
    assert!(report.services[1].rollouts.is_empty());
}

#[test]
fn table_lists_each_service_and_rollout() {
    let table = report(&[(0, 995, 5)]).to_table();
    let lines: Vec<&str> = table.lines().collect();
    assert_eq!(
        lines[0],
        "service    objective  budget left  state     burn 5m         burn 1h         \
         burn 6h         burn 3d         calls"
    );
    assert!(lines[1].starts_with("bookings   99%        50%          ok        0.50 (1 moved)"));
    assert!(lines[2].starts_with("catalogue  90%        -            no calls  -"));
    assert!(table.contains("bookings to v2, ticket 3: taken-back"));
}

#[test]
fn html_page_is_self_contained_and_escapes_names() {
    let mut report = report(&[(0, 995, 5)]);
    report.services[0].service = "<b>&".into();
    let page = report.to_html();
    assert!(page.contains("<h2>&lt;b&gt;&amp;</h2>"));
    assert_eq!(page.matches("<svg").count(), 8);
    assert!(!page.contains("http"));
    assert!(!page.contains("<script"));
}

/// Checks that parsing `text` fails with a message that contains `expected`.
#[track_caller]
fn assert_refused(text: &str, expected: &str) {
    let error = Objectives::parse(text).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

#[test]
fn objectives_require_percentages_and_ascending_windows() {
    assert_refused(
        "services: { a: 99.9 }",
        "`99.9`: expected a share between 0% and 100%",
    );
    assert_refused(
        "services: { a: 100% }",
        "`100%`: expected a share between 0% and 100%",
    );
    assert_refused("service: { a: 99% }", "unknown field `service`");
    assert_refused("windows: [1h, 5m]\nservices: {}", "shortest first");
    assert_refused("windows: [5]\nservices: {}", "expected a unit");
    let objectives = Objectives::parse("windows: [2s, 10s]\nservices: { a: 99.9% }").unwrap();
    assert_eq!(objectives.windows[0], Duration::from_secs(2));
    assert!((objectives.services["a"] - 0.999).abs() < 1e-12);
}
