//! Tests of the history of calls and of merging histories.

use std::time::Duration;

use quickcheck::quickcheck;

use crate::history::CallCounts;
use crate::history::CallResult;
use crate::history::History;
use crate::history::HistoryView;
use crate::history::SLOTS_PER_WINDOW;

const WINDOW: Duration = Duration::from_secs(30);

/// Returns a history of calls of bookings, each entry as `(milliseconds, good)`.
fn history(calls: &[(u32, bool)]) -> HistoryView {
    let mut history = History::with_windows(0, &[WINDOW]);
    for (at, good) in calls {
        let result = if *good {
            CallResult::Good
        } else {
            CallResult::Bad
        };
        history.record(&"bookings".into(), result, u64::from(*at % 30_000));
    }
    history.view().clone()
}

/// Sums the counts of all services and slots of the first window.
fn total(view: &HistoryView) -> CallCounts {
    let slots = view.rings[0]
        .services
        .values()
        .flat_map(|slots| slots.values());
    slots.copied().fold(CallCounts::default(), CallCounts::plus)
}

#[test]
fn slots_per_service_are_bounded() {
    let mut history = History::with_windows(0, &[WINDOW]);
    for now in 0..100_000 {
        history.record(&"bookings".into(), CallResult::Good, now);
    }
    let slots = &history.view().rings[0].services["bookings"];
    assert_eq!(slots.len() as u64, SLOTS_PER_WINDOW + 1);
    assert_eq!(
        slots.values().map(|counts| counts.good).sum::<u64>(),
        31_000
    );
}

quickcheck! {
    fn merge_counts_each_call_once(left: Vec<(u32, bool)>, right: Vec<(u32, bool)>) -> bool {
        let (left, right) = (history(&left), history(&right));
        total(&left.clone().merge(&right)) == total(&left).plus(total(&right))
    }

    fn merge_does_not_depend_on_the_order(left: Vec<(u32, bool)>, right: Vec<(u32, bool)>) -> bool {
        let (left, right) = (history(&left), history(&right));
        left.clone().merge(&right) == right.merge(&left)
    }
}

#[test]
fn merge_into_an_empty_view_returns_the_other() {
    let view = history(&[(5, true)]);
    assert_eq!(HistoryView::default().merge(&view), view);
}
