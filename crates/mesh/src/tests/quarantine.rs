//! Requests that end the instances which run them, and those that run beside them.

use std::time::Duration;
use std::time::Instant;

use base::UnixMillis;

use crate::quarantine::CrashReport;
use crate::quarantine::MAX_RECORDS;
use crate::quarantine::Quarantine;
use crate::quarantine::Record;
use crate::quarantine::Stage;
use crate::quarantine::Standing;
use crate::quarantine::trial_daemon;

const CRASHING: u64 = 1;
const START: UnixMillis = 1_000_000;

/// The knowledge of one daemon, with a clock that advances by itself.
struct Daemon {
    quarantine: Quarantine,
    started: Instant,
    elapsed: Duration,
    ended: u64,
}

impl Daemon {
    fn new() -> Self {
        Self {
            quarantine: Quarantine::default(),
            started: Instant::now(),
            elapsed: Duration::ZERO,
            ended: 0,
        }
    }

    fn now(&self) -> Instant {
        self.started + self.elapsed
    }

    fn time(&self) -> UnixMillis {
        START + u64::try_from(self.elapsed.as_millis()).unwrap()
    }

    fn wait(&mut self, time: Duration) {
        self.elapsed += time;
    }

    fn report(&mut self, requests: &[u64]) -> CrashReport {
        self.ended += 1;
        CrashReport {
            daemon: "own".into(),
            born: self.ended,
            requests: requests.to_vec(),
        }
    }

    /// An instance beside another daemon ends.
    fn other_ends(&mut self, requests: &[u64]) {
        let report = self.report(requests);
        let (now, time) = (self.now(), self.time());
        assert!(self.quarantine.record_crash(report.clone(), now, time));
        assert!(!self.quarantine.record_crash(report, now, time));
    }

    /// The instance beside this daemon ends. Returns the records that follow.
    fn own_ends(&mut self, requests: &[u64]) -> Vec<Record> {
        let report = self.report(requests);
        let (now, time) = (self.now(), self.time());
        self.quarantine.record_own_crash(report, now, time);
        assert_eq!(self.quarantine.evaluate(now, time), []);
        self.wait(Duration::from_millis(100));
        let (now, time) = (self.now(), self.time());
        self.quarantine.evaluate(now, time)
    }

    fn standing(&self, request: u64) -> Standing {
        self.quarantine.standing(request, self.now(), self.time())
    }

    fn block(&mut self) -> Record {
        self.other_ends(&[CRASHING, 10]);
        self.other_ends(&[CRASHING, 11]);
        let records = self.own_ends(&[CRASHING, 12]);
        assert_eq!(records.len(), 1);
        records[0]
    }
}

#[test]
fn the_request_under_which_three_instances_ended_is_blocked() {
    let mut daemon = Daemon::new();
    daemon.other_ends(&[CRASHING, 10, 11]);
    assert_eq!(daemon.standing(CRASHING), Standing::Clear);
    daemon.other_ends(&[CRASHING, 11, 12]);
    assert_eq!(daemon.standing(CRASHING), Standing::Isolated);
    assert_eq!(daemon.standing(11), Standing::Isolated);
    let records = daemon.own_ends(&[13, CRASHING, 12]);
    let expected = Record {
        fingerprint: CRASHING,
        stage: Stage::Blocked,
        since: daemon.time(),
    };
    assert_eq!(records, [expected]);
    assert_eq!(daemon.standing(CRASHING), Standing::Blocked);
    for beside in 10..14 {
        assert_eq!(daemon.standing(beside), Standing::Clear, "{beside}");
    }
}

#[test]
fn requests_under_which_equally_many_instances_ended_run_in_isolation() {
    let mut daemon = Daemon::new();
    daemon.other_ends(&[CRASHING, 10]);
    daemon.other_ends(&[CRASHING, 10]);
    assert_eq!(daemon.own_ends(&[CRASHING, 10]), []);
    assert_eq!(daemon.standing(10), Standing::Isolated);
    // Alone among those, the next end tells which one it is.
    assert_eq!(daemon.own_ends(&[CRASHING, 20, 21]).len(), 1);
    assert_eq!(daemon.standing(CRASHING), Standing::Blocked);
    assert_eq!(daemon.standing(10), Standing::Clear);
}

#[test]
fn a_request_that_is_answered_is_no_suspect() {
    let mut daemon = Daemon::new();
    for _ in 0..5 {
        daemon.other_ends(&[7]);
        daemon.quarantine.record_answer(7);
    }
    assert_eq!(daemon.own_ends(&[7]), []);
    assert_eq!(daemon.standing(7), Standing::Clear);
    // Ends that lie long apart do not add up.
    for _ in 0..5 {
        daemon.wait(Duration::from_mins(11));
        assert_eq!(daemon.own_ends(&[8]), []);
        assert_eq!(daemon.standing(8), Standing::Clear);
    }
}

#[test]
fn a_blocked_request_is_released_by_its_trial_or_blocked_for_good() {
    let mut daemon = Daemon::new();
    let blocked = daemon.block();
    daemon.wait(Duration::from_secs(19));
    assert_eq!(daemon.standing(CRASHING), Standing::Blocked);
    daemon.wait(Duration::from_secs(2));
    assert_eq!(daemon.standing(CRASHING), Standing::TrialDue);
    let released = daemon.quarantine.record_answer(CRASHING).unwrap();
    assert_eq!(released.stage, Stage::Released);
    assert_eq!(daemon.standing(CRASHING), Standing::Clear);
    // The record from before is late.
    let time = daemon.time();
    assert!(!daemon.quarantine.merge(blocked, time));

    let mut daemon = Daemon::new();
    daemon.block();
    // It was under way when it was blocked.
    daemon.other_ends(&[CRASHING]);
    daemon.wait(Duration::from_secs(21));
    assert_eq!(daemon.standing(CRASHING), Standing::TrialDue);
    daemon.other_ends(&[CRASHING]);
    assert_eq!(daemon.standing(CRASHING), Standing::Blocked);
    daemon.wait(Duration::from_mins(5));
    assert_eq!(daemon.standing(CRASHING), Standing::Blocked);
    assert!(daemon.quarantine.record_answer(CRASHING).is_none());
}

#[test]
fn records_of_other_daemons_hold_in_any_order() {
    let records = [Stage::Blocked, Stage::Released, Stage::Confirmed].map(|stage| Record {
        fingerprint: CRASHING,
        stage,
        since: START,
    });
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0], [2, 0, 1]] {
        let mut daemon = Daemon::new();
        let time = daemon.time();
        for index in order {
            daemon.quarantine.merge(records[index], time);
        }
        let known: Vec<Record> = daemon.quarantine.records(time).copied().collect();
        assert_eq!(known, [records[2]], "{order:?}");
    }
    let mut daemon = Daemon::new();
    daemon.wait(Duration::from_hours(2));
    let time = daemon.time();
    assert!(!daemon.quarantine.merge(records[2], time));
}

#[test]
fn memory_is_bounded() {
    let mut daemon = Daemon::new();
    for number in 0..10_000 {
        daemon.other_ends(&[number, number + 20_000]);
        daemon.wait(Duration::from_millis(1));
        let record = Record {
            fingerprint: number,
            stage: Stage::Blocked,
            since: daemon.time(),
        };
        let time = daemon.time();
        daemon.quarantine.merge(record, time);
    }
    assert!(daemon.quarantine.reports().count() <= 64);
    let time = daemon.time();
    assert_eq!(daemon.quarantine.records(time).count(), MAX_RECORDS);
    assert_eq!(daemon.standing(9_999), Standing::Blocked);
}

#[test]
fn one_daemon_runs_the_trial() {
    let daemons = ["a".into(), "b".into(), "c".into()];
    let first = trial_daemon(CRASHING, daemons.iter());
    assert!(first.is_some());
    assert_eq!(trial_daemon(CRASHING, daemons.iter().rev()), first);
    let chosen: Vec<_> = (0..50)
        .filter(|request| trial_daemon(*request, daemons.iter()) == first)
        .collect();
    assert!((5..45).contains(&chosen.len()), "{}", chosen.len());
}
