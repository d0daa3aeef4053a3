//! The time since an order, as seen by daemons that learn of it in different ways.

use std::time::Duration;
use std::time::Instant;

use crate::moves::MoveRecord;
use crate::moves::Stage;
use crate::order_clock::OrderClocks;
use crate::order_clock::RecordSource;
use crate::tests::moves::record;

const WALL_MS: u64 = 1_790_000_000_000;

fn begun(began: u64) -> MoveRecord {
    MoveRecord {
        began,
        ..record(1, Stage::Sharing(30))
    }
}

/// Fault seen in logs: the time of a move went from 23 to 2 seconds as another daemon took over, and its steps
/// began anew.
#[test]
fn the_time_of_a_late_move_goes_on_with_another_controller() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let wall = |seconds: u64| WALL_MS + seconds * 1000;
    let order = begun(WALL_MS);
    let (mut first, mut second) = (OrderClocks::new(start), OrderClocks::new(at(24)));
    first.learn(&order, RecordSource::Live, wall(0), at(0));
    second.learn(&order, RecordSource::Store, wall(25), at(25));
    let sent = first.stamp(&order, at(25));
    second.learn(&sent, RecordSource::Live, wall(25), at(25));
    let (elapsed, _) = second.elapsed(&order, at(26));
    assert_eq!(elapsed, Duration::from_secs(26));
}

/// After a loss of power of all machines nobody has counted, and the store holds what the last controller had.
#[test]
fn after_a_loss_of_power_the_time_of_a_late_move_is_over() {
    let start = Instant::now();
    let mut clocks = OrderClocks::new(start);
    let order = begun(WALL_MS);
    // The order is read before the record of its move.
    let wall = WALL_MS + 25_000;
    clocks.learn(&begun(wall), RecordSource::Live, wall, start);
    clocks.learn(&order, RecordSource::Store, wall, start);
    let (elapsed, _) = clocks.elapsed(&order, start);
    assert!(elapsed >= order.order.within, "{elapsed:?}");
}

/// The wall clock of the daemon that saw the order first was twelve seconds behind.
#[test]
fn a_wall_clock_that_was_set_back_does_not_make_all_steps_due() {
    let started_at = Instant::now();
    let start = started_at + Duration::from_mins(1);
    let mut clocks = OrderClocks::new(started_at);
    let order = begun(WALL_MS - 12_000);
    clocks.learn(&order, RecordSource::Live, WALL_MS, start);
    let now = start + Duration::from_secs(1);
    clocks.learn(&order, RecordSource::Store, WALL_MS + 1000, now);
    let (elapsed, _) = clocks.elapsed(&order, now);
    assert_eq!(elapsed, Duration::from_secs(1));
}

/// What a daemon is told of an earlier order does not change the clock of the later one.
#[test]
fn a_later_order_has_a_clock_of_its_own() {
    let start = Instant::now();
    let mut clocks = OrderClocks::new(start);
    let earlier = MoveRecord {
        elapsed: Duration::from_secs(40),
        ..begun(WALL_MS)
    };
    let later = record(2, Stage::Sharing(0));
    clocks.learn(&earlier, RecordSource::Live, WALL_MS, start);
    clocks.learn(&later, RecordSource::Live, WALL_MS, start);
    clocks.learn(&earlier, RecordSource::Live, WALL_MS, start);
    let now = start + Duration::from_secs(3);
    assert_eq!(clocks.elapsed(&later, now).0, Duration::from_secs(3));
    assert_eq!(clocks.stamp(&later, now).elapsed, Duration::from_secs(3));
}
