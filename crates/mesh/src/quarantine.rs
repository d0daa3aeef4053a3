//! Quarantine of requests that end the instances which run them.
//!
//! Load pattern: such a request comes again and again, under another id and at any daemon. Each time
//! it ends an instance, all requests that run beside it are lost.
//!
//! The daemon beside an instance that ended reports the requests that it ran. All daemons count how
//! many instances ended under each request since its last answer. From the second on, an instance runs
//! one such request at a time, so that the next end tells the cause from the requests beside it. The
//! daemon of the instance blocks the request under which most instances ended, three at least, for all
//! daemons; those that were lost with it are cleared.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;
use base::UnixMillis;
use base::hash;
use serde::Deserialize;
use serde::Serialize;

use crate::wire::RequestFingerprint;

/// Instances that ended under a request from which on it runs alone among such requests.
const ISOLATED_FROM: u32 = 2;

/// Instances that ended under a request before it is blocked. With fewer, a request that was lost with
/// two failing machines would be.
const BLOCKED_FROM: u32 = 3;

/// Time from a report to its evaluation, in which the reports of other daemons arrive.
const EVALUATION_DELAY: Duration = Duration::from_millis(100);

/// Time after which a blocked request runs once more, so that one that was blocked by mistake is
/// served again.
const TRIAL_DELAY: Duration = Duration::from_secs(20);

/// Time after which a blocked request is forgotten.
const BLOCK_TIME: Duration = Duration::from_hours(1);

/// Time after which an end no longer counts against a request.
const SUSPICION_TTL: Duration = Duration::from_mins(10);

/// Time for which a daemon passes a report on, and takes it for known.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// Most requests in one report; they fit a datagram, and an instance runs fewer at once.
pub const MAX_REPORTED: usize = 64;

/// Most recent reports that are kept.
const MAX_REPORTS: usize = 64;

/// Most requests whose instances are counted.
const MAX_SUSPECTS: usize = 4096;

/// Most records that are kept; the oldest ones give way.
pub const MAX_RECORDS: usize = 64;

/// An instance that ended without an answer to the requests that it ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Daemon beside the instance.
    pub daemon: DaemonId,
    /// Start time of the incarnation that ended.
    pub born: UnixMillis,
    /// Requests that it ran.
    pub requests: Vec<RequestFingerprint>,
}

/// Stage of a quarantine. A later one replaces an earlier one, so daemons agree whatever the order in
/// which they receive the records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// Refused until its trial.
    Blocked,
    /// It was answered, so it may run.
    Released,
    /// An instance ended under its trial as well, or after its release; refused.
    Confirmed,
}

/// State of one quarantined request, as daemons send it to each other and store it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// What holds for it.
    pub stage: Stage,
    /// When it was blocked, by the clock of the daemon that did so.
    pub since: UnixMillis,
}

/// What holds for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It runs as any other.
    Clear,
    /// It runs alone among the requests of this standing.
    Isolated,
    /// It is refused, but for one attempt at the daemon that [`trial_daemon`] names.
    TrialDue,
    /// It is refused.
    Blocked,
}

/// Returns the daemon that runs the trial of a request, the same one wherever the same daemons serve.
pub fn trial_daemon<'a>(
    fingerprint: RequestFingerprint,
    serving: impl Iterator<Item = &'a DaemonId>,
) -> Option<&'a DaemonId> {
    serving.max_by_key(|daemon| hash::stable(&[&fingerprint.to_be_bytes(), daemon.as_bytes()]))
}

#[derive(Debug, Clone, Copy)]
struct Suspect {
    /// Instances that ended under the request.
    crashes: u32,
    last: Instant,
}

#[derive(Debug)]
struct KnownReport {
    report: CrashReport,
    at: Instant,
    /// Whether this daemon has yet to find the cause: it is the one beside the instance.
    is_open: bool,
}

/// What a daemon knows of requests that end instances.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: FastMap<RequestFingerprint, Suspect>,
    records: FastMap<RequestFingerprint, Record>,
    reports: VecDeque<KnownReport>,
}

impl Suspect {
    fn crashes_at(&self, now: Instant) -> u32 {
        if now.saturating_duration_since(self.last) < SUSPICION_TTL {
            self.crashes
        } else {
            0
        }
    }
}

impl Quarantine {
    /// Returns what holds for a request now, at the wall-clock time `time`.
    #[must_use]
    pub fn standing(
        &self,
        fingerprint: RequestFingerprint,
        now: Instant,
        time: UnixMillis,
    ) -> Standing {
        let record = self.records.get(&fingerprint);
        match record.map(|record| (record.stage, age(record, time))) {
            Some((Stage::Blocked, age)) if age >= TRIAL_DELAY => Standing::TrialDue,
            Some((Stage::Blocked | Stage::Confirmed, _)) => Standing::Blocked,
            Some((Stage::Released, _)) | None => {
                let suspect = self.suspects.get(&fingerprint);
                if suspect.is_some_and(|suspect| suspect.crashes_at(now) >= ISOLATED_FROM) {
                    Standing::Isolated
                } else {
                    Standing::Clear
                }
            }
        }
    }

    /// Records the end of the instance beside this daemon, whose cause [`Self::evaluate`] finds.
    pub fn record_own_crash(&mut self, report: CrashReport, now: Instant, time: UnixMillis) {
        self.record(report, true, now, time);
    }

    /// Records the report of another daemon. Returns whether it was unknown.
    pub fn record_crash(&mut self, report: CrashReport, now: Instant, time: UnixMillis) -> bool {
        self.record(report, false, now, time)
    }

    fn record(
        &mut self,
        report: CrashReport,
        is_open: bool,
        now: Instant,
        time: UnixMillis,
    ) -> bool {
        self.drop_old_reports(now);
        let is_known = self
            .reports
            .iter()
            .any(|known| known.report.daemon == report.daemon && known.report.born == report.born);
        if is_known {
            return false;
        }
        for fingerprint in report.requests.iter().take(MAX_REPORTED) {
            let suspect = self.suspects.entry(*fingerprint).or_insert(Suspect {
                crashes: 0,
                last: now,
            });
            suspect.crashes = suspect.crashes_at(now) + 1;
            suspect.last = now;
            if let Some(record) = self.records.get_mut(fingerprint)
                && record.stage == Stage::Blocked
                && age(record, time) >= TRIAL_DELAY
            {
                record.stage = Stage::Confirmed;
            }
        }
        self.drop_old_suspects();
        self.reports.push_back(KnownReport {
            report,
            at: now,
            is_open,
        });
        true
    }

    /// Finds the causes of the ends of the instance beside this daemon that were reported some time ago.
    /// Returns the records to send and to store.
    pub fn evaluate(&mut self, now: Instant, time: UnixMillis) -> Vec<Record> {
        let mut causes = Vec::new();
        for index in 0..self.reports.len() {
            let known = &mut self.reports[index];
            if !known.is_open || now.saturating_duration_since(known.at) < EVALUATION_DELAY {
                continue;
            }
            known.is_open = false;
            let requests = known.report.requests.clone();
            if let Some(record) = self.cause(&requests, time) {
                self.insert(record);
                causes.push(record);
            }
        }
        self.drop_old_reports(now);
        causes
    }

    /// Returns the request under which an instance ended that ran these, if it can be told.
    fn cause(&self, requests: &[RequestFingerprint], time: UnixMillis) -> Option<Record> {
        let quarantined = requests.iter().find_map(|fingerprint| {
            let record = self.records.get(fingerprint)?;
            (record.stage != Stage::Released).then_some(*record)
        });
        if quarantined.is_some() {
            return quarantined;
        }
        let mut counts: Vec<(u32, RequestFingerprint)> = requests
            .iter()
            .filter_map(|fingerprint| Some((self.suspects.get(fingerprint)?.crashes, *fingerprint)))
            .collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        counts.dedup();
        let (crashes, fingerprint) = *counts.first()?;
        let is_unique = counts.get(1).is_none_or(|(second, _)| *second < crashes);
        if crashes < BLOCKED_FROM || !is_unique {
            return None;
        }
        let stage = match self.records.get(&fingerprint) {
            Some(_) => Stage::Confirmed,
            None => Stage::Blocked,
        };
        Some(Record {
            fingerprint,
            stage,
            since: time,
        })
    }

    /// Merges a record of another daemon or of the store. Returns whether it changed what is known.
    pub fn merge(&mut self, record: Record, time: UnixMillis) -> bool {
        let known = self.records.get(&record.fingerprint);
        if age(&record, time) >= BLOCK_TIME
            || known.is_some_and(|known| known.stage >= record.stage)
        {
            return false;
        }
        self.insert(record);
        true
    }

    /// Records that an instance answered a request. Returns the record to send if that releases it.
    pub fn record_answer(&mut self, fingerprint: RequestFingerprint) -> Option<Record> {
        self.suspects.remove(&fingerprint);
        let record = self.records.get_mut(&fingerprint)?;
        if record.stage != Stage::Blocked {
            return None;
        }
        record.stage = Stage::Released;
        Some(*record)
    }

    /// Returns the records that hold at the wall-clock time `time`, and drops the others.
    pub fn records(&mut self, time: UnixMillis) -> impl Iterator<Item = &Record> {
        self.records
            .retain(|_, record| age(record, time) < BLOCK_TIME);
        self.records.values()
    }

    /// Returns the recent reports.
    pub fn reports(&self) -> impl Iterator<Item = &CrashReport> {
        self.reports.iter().map(|known| &known.report)
    }

    fn insert(&mut self, record: Record) {
        self.records.insert(record.fingerprint, record);
        if record.stage != Stage::Released {
            self.clear_beside(record.fingerprint);
        }
        while self.records.len() > MAX_RECORDS {
            let oldest = self.records.values().min_by_key(|record| record.since);
            let Some(oldest) = oldest.map(|record| record.fingerprint) else {
                break;
            };
            self.records.remove(&oldest);
        }
    }

    /// Takes the instances that ended under a blocked request off the counts of the requests beside it.
    fn clear_beside(&mut self, blocked: RequestFingerprint) {
        for known in &mut self.reports {
            let requests = &mut known.report.requests;
            if !requests.contains(&blocked) {
                continue;
            }
            for beside in requests.drain(..).filter(|other| *other != blocked) {
                let Some(suspect) = self.suspects.get_mut(&beside) else {
                    continue;
                };
                suspect.crashes = suspect.crashes.saturating_sub(1);
                if suspect.crashes == 0 {
                    self.suspects.remove(&beside);
                }
            }
            requests.push(blocked);
        }
    }

    fn drop_old_suspects(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.last);
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }

    fn drop_old_reports(&mut self, now: Instant) {
        let is_old = |known: &KnownReport| now.saturating_duration_since(known.at) >= REPORT_TTL;
        while self.reports.len() > MAX_REPORTS || self.reports.front().is_some_and(is_old) {
            self.reports.pop_front();
        }
    }
}

fn age(record: &Record, time: UnixMillis) -> Duration {
    Duration::from_millis(time.saturating_sub(record.since))
}
