//! Tests of the parts without I/O: backoff, the decisions of the reader and the snapshot schedule.

use std::time::Duration;
use std::time::Instant;

use quickcheck::quickcheck;

use crate::Backoff;
use crate::BackoffCfg;
use crate::LogError;
use crate::LogReader;
use crate::ReadStep;
use crate::ScheduleCfg;
use crate::SnapshotSchedule;

const CFG: BackoffCfg = BackoffCfg {
    initial_delay: Duration::from_millis(100),
    max_delay: Duration::from_secs(1),
};

#[test]
fn delays_grow_to_the_maximum_and_reset_after_a_success() {
    let mut backoff = Backoff::new(CFG, 7);
    for upper_bound in [100, 200, 400, 800, 1000, 1000] {
        let delay = backoff.next_delay();
        let upper_bound = Duration::from_millis(upper_bound);
        assert!(
            delay <= upper_bound && delay >= upper_bound / 2,
            "{delay:?}"
        );
    }
    backoff.reset();
    assert!(backoff.next_delay() <= CFG.initial_delay);
}

#[test]
fn processes_that_fail_together_retry_at_different_times() {
    let delays: Vec<Duration> = (0..100)
        .map(|seed| Backoff::new(CFG, seed).next_delay())
        .collect();
    let early = delays
        .iter()
        .filter(|d| **d < CFG.initial_delay * 3 / 4)
        .count();
    assert!(
        (25..=75).contains(&early),
        "{early} of 100 delays in the lower half"
    );
}

/// Result of a step that a reader is told.
#[derive(Clone)]
enum Event {
    Records(u64),
    Snapshot(Option<u64>),
    Error(LogError),
}

fn expired() -> Event {
    Event::Error(LogError::Expired {
        oldest: 50,
        next: 80,
    })
}

fn handle_event(reader: &mut LogReader, event: Event) {
    match event {
        Event::Records(next) => reader.on_records(next),
        Event::Snapshot(next) => reader.on_snapshot(next),
        Event::Error(error) => reader.on_error(&error),
    }
}

fn steps_until_io(reader: &mut LogReader) -> String {
    match reader.next_step() {
        ReadStep::Read { from } => format!("read {from}"),
        ReadStep::LoadSnapshot => "snapshot".to_owned(),
        ReadStep::Wait(_) => format!("wait, {}", steps_until_io(reader)),
    }
}

#[test]
fn a_reader_reads_the_log_loads_a_snapshot_or_waits() {
    let check = |mut reader: LogReader, events: &[(Event, &str)]| {
        for (i, (event, want)) in events.iter().enumerate() {
            handle_event(&mut reader, event.clone());
            assert_eq!(steps_until_io(&mut reader), *want, "event {i}");
        }
    };
    let cold = LogReader::cold_start(Backoff::new(CFG, 1));
    let resumed = LogReader::resume(10, Backoff::new(CFG, 1));
    let unavailable = Event::Error(LogError::Unavailable("refused".to_owned()));
    let timed_out = Event::Error(LogError::Timeout);
    let throttled = Event::Error(LogError::Throttled(Duration::from_secs(1)));
    let records_lost = Event::Error(LogError::RecordsLost { next: 3 });
    let invalid = Event::Error(LogError::InvalidResponse("html".to_owned()));

    assert_eq!(steps_until_io(&mut cold.clone()), "snapshot");
    assert_eq!(steps_until_io(&mut resumed.clone()), "read 10");
    check(cold.clone(), &[(Event::Snapshot(Some(60)), "read 60")]);
    check(cold.clone(), &[(Event::Snapshot(None), "read 0")]);
    check(cold.clone(), &[(unavailable.clone(), "wait, snapshot")]);
    check(resumed.clone(), &[(Event::Records(12), "read 12")]);
    for error in [
        unavailable.clone(),
        timed_out,
        throttled,
        records_lost,
        invalid,
    ] {
        check(resumed.clone(), &[(error, "wait, read 10")]);
    }
    // Expired records: loads a snapshot and reads the records after it.
    check(
        resumed.clone(),
        &[
            (expired(), "snapshot"),
            (Event::Snapshot(Some(60)), "read 60"),
            (Event::Records(80), "read 80"),
        ],
    );
    // Without a snapshot that is later than its own offset, the reader waits and tries again.
    check(
        resumed.clone(),
        &[
            (expired(), "snapshot"),
            (Event::Snapshot(None), "wait, snapshot"),
            (Event::Snapshot(Some(9)), "wait, snapshot"),
            (unavailable, "wait, snapshot"),
            (Event::Snapshot(Some(70)), "read 70"),
        ],
    );
    // Cold start from a snapshot whose following records have expired.
    check(
        cold,
        &[
            (Event::Snapshot(Some(40)), "read 40"),
            (expired(), "snapshot"),
            (Event::Snapshot(Some(40)), "wait, snapshot"),
        ],
    );
}

#[test]
fn a_snapshot_is_due_by_record_count_age_and_log_retention() {
    let cfg = ScheduleCfg {
        max_records_behind: 100,
        max_age: Duration::from_mins(10),
    };
    let start = Instant::now();
    // For a latest snapshot at 1000: next offset of the state, offset of the oldest record, minutes
    // since the snapshot.
    let check = |next: u64, oldest: u64, minutes: u64, want: bool| {
        let mut schedule = SnapshotSchedule::new(cfg);
        schedule.on_snapshot(1000, start);
        schedule.on_snapshot(900, start);
        let now = start + Duration::from_mins(minutes);
        let is_due = schedule.is_due(next, oldest, now);
        assert_eq!(is_due, want, "{next} {oldest} {minutes}");
    };
    check(1000, 0, 9, false);
    check(1000, 0, 10, true);
    check(1099, 0, 1, false);
    check(1100, 0, 1, true);
    check(1020, 980, 1, false);
    check(1021, 981, 1, true);
    check(1050, 1040, 1, true);
    let without_snapshot = SnapshotSchedule::new(cfg);
    assert!(!without_snapshot.is_due(0, 0, start));
    assert!(without_snapshot.is_due(1, 0, start));
}

quickcheck! {
    fn the_offset_of_a_reader_never_decreases(events: Vec<(u8, u64)>) -> bool {
        let mut reader = LogReader::cold_start(Backoff::new(CFG, 1));
        events.into_iter().all(|(kind, n)| {
            let before = reader.next_offset();
            handle_event(&mut reader, match kind % 5 {
                0 => Event::Records(n),
                1 => Event::Snapshot(Some(n)),
                2 => Event::Snapshot(None),
                3 => expired(),
                _ => Event::Error(LogError::RecordsLost { next: n }),
            });
            reader.next_offset() >= before
        })
    }
}
