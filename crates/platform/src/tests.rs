//! Tests of the pure parts: backoff and the reader's decisions.

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
fn pauses_grow_to_the_cap_and_start_anew_after_a_success() {
    let mut backoff = Backoff::new(CFG, 7);
    for ceiling in [100, 200, 400, 800, 1000, 1000] {
        let pause = backoff.next_delay();
        let ceiling = Duration::from_millis(ceiling);
        assert!(pause <= ceiling && pause >= ceiling / 2, "{pause:?}");
    }
    backoff.reset();
    assert!(backoff.next_delay() <= CFG.initial_delay);
}

#[test]
fn processes_that_fail_together_pause_differently() {
    let pauses: Vec<Duration> = (0..100)
        .map(|seed| Backoff::new(CFG, seed).next_delay())
        .collect();
    let early = pauses
        .iter()
        .filter(|p| **p < CFG.initial_delay * 3 / 4)
        .count();
    assert!(
        (25..=75).contains(&early),
        "{early} of 100 in the first half"
    );
}

/// What happens to a reader.
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

fn feed(reader: &mut LogReader, event: Event) {
    match event {
        Event::Records(next) => reader.on_records(next),
        Event::Snapshot(next) => reader.on_snapshot(next),
        Event::Error(error) => reader.on_error(&error),
    }
}

fn steps(reader: &mut LogReader) -> String {
    match reader.next_step() {
        ReadStep::Read { from } => format!("read {from}"),
        ReadStep::LoadSnapshot => "snapshot".to_owned(),
        ReadStep::Wait(_) => format!("wait, {}", steps(reader)),
    }
}

#[test]
fn a_reader_decides_between_log_snapshot_and_pause() {
    let check = |mut reader: LogReader, events: &[(Event, &str)]| {
        for (i, (event, want)) in events.iter().enumerate() {
            feed(&mut reader, event.clone());
            assert_eq!(steps(&mut reader), *want, "event {i}");
        }
    };
    let cold = LogReader::cold_start(Backoff::new(CFG, 1));
    let warm = LogReader::resume(10, Backoff::new(CFG, 1));
    let down = Event::Error(LogError::Unavailable("refused".to_owned()));
    let slow = Event::Error(LogError::Timeout);
    let throttled = Event::Error(LogError::Throttled(Duration::from_secs(1)));
    let rewound = Event::Error(LogError::RecordsLost { next: 3 });
    let bad = Event::Error(LogError::InvalidResponse("html".to_owned()));

    assert_eq!(steps(&mut cold.clone()), "snapshot");
    assert_eq!(steps(&mut warm.clone()), "read 10");
    check(cold.clone(), &[(Event::Snapshot(Some(60)), "read 60")]);
    check(cold.clone(), &[(Event::Snapshot(None), "read 0")]);
    check(cold.clone(), &[(down.clone(), "wait, snapshot")]);
    check(warm.clone(), &[(Event::Records(12), "read 12")]);
    for error in [down.clone(), slow, throttled, rewound, bad] {
        check(warm.clone(), &[(error, "wait, read 10")]);
    }
    // Records expired: snapshot and tail.
    check(
        warm.clone(),
        &[
            (expired(), "snapshot"),
            (Event::Snapshot(Some(60)), "read 60"),
            (Event::Records(80), "read 80"),
        ],
    );
    // No snapshot, or one that is older than what the reader has, does not help yet.
    check(
        warm.clone(),
        &[
            (expired(), "snapshot"),
            (Event::Snapshot(None), "wait, snapshot"),
            (Event::Snapshot(Some(9)), "wait, snapshot"),
            (down, "wait, snapshot"),
            (Event::Snapshot(Some(70)), "read 70"),
        ],
    );
    // A cold reader whose snapshot has expired records behind it.
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
fn snapshots_stay_well_inside_the_retention_of_the_log() {
    let cfg = ScheduleCfg {
        max_records_behind: 100,
        max_age: Duration::from_mins(10),
    };
    let start = Instant::now();
    // A snapshot at 1000; the state's next offset, the oldest record, minutes since.
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
    let unknown = SnapshotSchedule::new(cfg);
    assert!(!unknown.is_due(0, 0, start));
    assert!(unknown.is_due(1, 0, start));
}

quickcheck! {
    fn a_reader_never_goes_back(events: Vec<(u8, u64)>) -> bool {
        let mut reader = LogReader::cold_start(Backoff::new(CFG, 1));
        events.into_iter().all(|(kind, n)| {
            let before = reader.next_offset();
            feed(&mut reader, match kind % 5 {
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
