//! Tests that a whole fleet recovers from a cold start while the log has faults.

mod fleet;

use std::time::Duration;

use http_edge::block_on;
use platform::RECORD_STREAM;
use standin_log::Cfg;
use standin_log::Faults;
use standin_log::Outage;
use standin_log::Retention;

use crate::fleet::Fleet;
use crate::fleet::poll_until;

/// Records that the log retains in cases where older ones expire.
const RETAINED_RECORDS: usize = 20;

/// Tickets published between two waits for a snapshot; fewer than the log retains.
const BATCH: u64 = 12;

/// Time in which the writer repeats an append whose answer was lost.
const REPEAT_TIME: Duration = Duration::from_secs(4);

/// Records that the log still has when the fleet starts again.
#[derive(Clone, Copy, PartialEq, Eq)]
enum History {
    /// Every record.
    Whole,
    /// Only the newest records.
    Expired,
}

/// Kills a fleet of `count` daemons and starts it cold while the log has `faults`. Repairs the log
/// after some failures; every daemon must recover the same configuration.
fn check(name: &str, count: usize, history: History, faults: &Faults) {
    block_on(async {
        let mut fleet = start_settled(name, count, history).await;
        let before = fleet.wait_until_in_force(name).await;
        fleet.kill();
        fleet.log.set_faults(faults);
        let failed = fleet.log.counters().failed;
        fleet.start(count);
        if faults.outage.is_some() {
            let wanted = failed + 2 * count as u64;
            let has_failed = async || (fleet.log.counters().failed >= wanted).then_some(());
            poll_until(
                &format!("{name}: requests fail during the outage"),
                has_failed,
            )
            .await;
            let states = fleet.states().await;
            assert!(states.iter().all(|state| state.ticket == 0), "{name}: cold");
        }
        fleet.log.set_faults(&Faults {
            outage: Some(Outage::None),
            ..Faults::default()
        });
        let after = fleet.wait_until_in_force(name).await;
        for state in after {
            assert_eq!(state.services, before[0].services, "{name}");
            assert_eq!(state.ticket, before[0].ticket, "{name}");
        }
        fleet.kill();
    });
}

/// Starts a fleet and waits until tickets are in force and the log has a snapshot.
async fn start_settled(name: &str, count: usize, history: History) -> Fleet {
    let records = match history {
        History::Whole => Retention::default().records,
        History::Expired => RETAINED_RECORDS,
    };
    let mut fleet = Fleet::new(Cfg {
        retention: Retention {
            records,
            ..Retention::default()
        },
        ..Cfg::default()
    });
    fleet.start(count);
    for _ in 0..3 {
        fleet.publish(BATCH).await;
        fleet.wait_for_snapshot(name).await;
    }
    if history == History::Expired {
        assert!(fleet.oldest().await > BATCH, "{name}: records have expired");
    }
    fleet
}

#[test]
fn cold_fleet_comes_back_after_old_records_have_expired() {
    check("expired", 3, History::Expired, &Faults::default());
}

#[test]
fn cold_fleet_waits_for_a_log_that_refuses() {
    check("refuses", 3, History::Whole, &outage(Outage::Refuse));
}

#[test]
fn cold_fleet_waits_for_a_log_that_hangs() {
    check("hangs", 3, History::Whole, &outage(Outage::Hang));
}

#[test]
fn cold_fleet_comes_back_after_expiry_and_outage() {
    let name = "expired, then refuses";
    check(name, 3, History::Expired, &outage(Outage::Refuse));
}

#[test]
fn herd_comes_back_from_a_slow_log_that_loses_answers() {
    let faults = Faults {
        latency: Some(Duration::from_millis(300)),
        lose_answers: Some(3),
        ..Faults::default()
    };
    check("slow, loses answers", 8, History::Expired, &faults);
}

#[test]
fn herd_reads_no_record_twice_from_a_slow_log() {
    block_on(async {
        const COUNT: usize = 8;
        let mut fleet = start_settled("herd", COUNT, History::Whole).await;
        fleet.wait_until_in_force("herd").await;
        fleet.kill();
        fleet.log.set_faults(&Faults {
            latency: Some(Duration::from_millis(300)),
            ..Faults::default()
        });
        let before = fleet.log.counters().streams[RECORD_STREAM];
        fleet.start(COUNT);
        fleet.wait_until_in_force("herd").await;
        let after = fleet.log.counters().streams[RECORD_STREAM];
        let read = after.bytes_out - before.bytes_out;
        let once = after.bytes_in * COUNT as u64;
        assert!(
            read <= once,
            "{read} bytes read, {once} for each daemon once"
        );
        fleet.kill();
    });
}

#[test]
fn snapshot_whose_answer_is_lost_is_written_again() {
    block_on(async {
        let name = "answer lost";
        let mut fleet = start_settled(name, 3, History::Expired).await;
        let mut copies = 0;
        // A snapshot that was written before the fault began has no copies; try again then.
        for _ in 0..5 {
            let before = fleet.snapshots();
            fleet.publish(BATCH).await;
            fleet.log.set_faults(&Faults {
                lose_answers: Some(2),
                ..Faults::default()
            });
            fleet.wait_for_snapshot(name).await;
            monoio::time::sleep(REPEAT_TIME).await;
            copies = fleet.snapshots() - before;
            if copies > 2 {
                break;
            }
        }
        assert!(copies > 2, "{copies} copies, two lost their answers");
        let before = fleet.wait_until_in_force(name).await;
        fleet.kill();
        fleet.start(3);
        for state in fleet.wait_until_in_force(name).await {
            assert_eq!(state.services, before[0].services);
        }
        fleet.kill();
    });
}

fn outage(outage: Outage) -> Faults {
    Faults {
        outage: Some(outage),
        ..Faults::default()
    }
}
