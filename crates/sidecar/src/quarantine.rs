//! Requests that end the instances which run them: detects the end of the local instance, runs
//! suspected requests one at a time, and shares with the other daemons which ones are blocked.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use base::DaemonId;
use base::ServiceName;
use base::units::unix_millis;
use local_sync::oneshot;
use mesh::instance::Change;
use mesh::quarantine::CrashReport;
use mesh::quarantine::MAX_RECORDS;
use mesh::quarantine::MAX_REPORTED;
use mesh::quarantine::Record;
use mesh::quarantine::Standing;
use mesh::quarantine::trial_daemon;
use mesh::wire;
use mesh::wire::ForwardHead;
use mesh::wire::RequestFingerprint;
use platform::Backoff;
use protocol::call::NotRun;
use protocol::call::NotRunReason;
use protocol::codec;
use report::metrics::LogRequest;
use serde_json::json;
use users_platform::Topic;

use crate::logs::EventClass;
use crate::logs::fingerprint_text;
use crate::node::Node;
use crate::node::SharedNode;
use crate::store_sync::BACKOFF;

/// Interval at which the ends of the local instance are evaluated and records are stored.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a client should not repeat a request that is blocked.
const BLOCKED_RETRY_AFTER: Duration = Duration::from_secs(20);

/// Interval at which a request checks whether the probe of another one has ended.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Most requests that wait to run in isolation at one instance; further ones are refused.
const MAX_ISOLATED_WAITING: usize = 8;

/// Most records in one datagram; with those of some members they fit one packet.
const MAX_SENT_RECORDS: usize = 8;

/// Prefix of the keys of quarantined requests in the mesh topic.
const QUARANTINE_KEY_PREFIX: &str = "quarantine/";

/// Requests whose connections to the local instance broke, until a probe tells whether it has ended.
#[derive(Default)]
pub struct CrashDetector {
    lost: RefCell<Vec<RequestFingerprint>>,
    is_probing: Cell<bool>,
    /// Number of completed probes, and whether the last one found that the instance had ended.
    probes: Cell<(u64, bool)>,
}

/// What a broken connection to the local instance shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The instance lives.
    Connection,
    /// The instance has ended, and this request is the first to tell.
    Instance,
    /// The instance has ended, as another request has told.
    BesideInstance,
}

/// A probe in progress; another request probes if this one is dropped before its end.
struct Probe<'a> {
    detector: &'a CrashDetector,
}

impl Drop for Probe<'_> {
    fn drop(&mut self) {
        self.detector.is_probing.set(false);
    }
}

/// Lets one request at a time run in isolation.
#[derive(Default)]
pub struct IsolationGate {
    is_taken: Cell<bool>,
    waiting: RefCell<VecDeque<oneshot::Sender<IsolationGuard>>>,
}

/// The right to run in isolation; passed on when dropped.
pub struct IsolationGuard {
    gate: Rc<IsolationGate>,
}

impl IsolationGate {
    /// Waits for the right to run in isolation until `deadline`; `None` if it does not come.
    pub async fn enter(self: &Rc<Self>, deadline: Instant) -> Option<IsolationGuard> {
        if !self.is_taken.replace(true) {
            let gate = Rc::clone(self);
            return Some(IsolationGuard { gate });
        }
        if self.waiting.borrow().len() >= MAX_ISOLATED_WAITING {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().push_back(tx);
        let left = deadline.saturating_duration_since(Instant::now());
        // A guard that was sent and is not received passes the right on when it is dropped.
        monoio::time::timeout(left, rx).await.ok()?.ok()
    }
}

impl Drop for IsolationGuard {
    fn drop(&mut self) {
        let next = self.gate.waiting.borrow_mut().pop_front();
        let Some(tx) = next else {
            return self.gate.is_taken.set(false);
        };
        let gate = Rc::clone(&self.gate);
        // If the receiver has gone, the returned guard passes the right on.
        let _ = tx.send(IsolationGuard { gate });
    }
}

/// Finds the causes of the ends of the local instance until the process ends.
pub async fn evaluate_crashes(node: SharedNode) {
    let mut backoff = Backoff::new(BACKOFF, node.random());
    let mut to_store: VecDeque<Record> = VecDeque::new();
    let mut retry_at = Instant::now();
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        let causes = node
            .quarantine
            .borrow_mut()
            .evaluate(Instant::now(), unix_millis(SystemTime::now()));
        for record in causes {
            node.log_quarantined(&record, "crash");
            node.broadcast_quarantine(Vec::new(), vec![record]).await;
            to_store.push_back(record);
        }
        to_store.extend(node.released.take());
        to_store.truncate(MAX_RECORDS);
        let Some(record) = to_store.front() else {
            continue;
        };
        if Instant::now() < retry_at {
            continue;
        }
        if node.store_quarantined(record).await {
            to_store.pop_front();
            backoff = Backoff::new(BACKOFF, node.random());
        } else {
            retry_at = Instant::now() + backoff.next_delay();
        }
    }
}

/// Builds the refusal of a blocked request.
pub fn refuse_blocked() -> NotRun {
    NotRun {
        reason: NotRunReason::Quarantined,
        retry_after: Some(BLOCKED_RETRY_AFTER),
    }
}

impl Node {
    /// Returns what holds for a request now.
    pub fn standing(&self, fingerprint: RequestFingerprint) -> Standing {
        let time = unix_millis(SystemTime::now());
        let quarantine = self.quarantine.borrow();
        quarantine.standing(fingerprint, Instant::now(), time)
    }

    /// Whether the daemon beside the local instance must refuse the request.
    pub fn is_blocked_here(&self, head: &ForwardHead) -> bool {
        match self.standing(head.fingerprint) {
            Standing::Blocked => true,
            Standing::TrialDue => !self.is_trial_daemon(head),
            Standing::Isolated | Standing::Clear => false,
        }
    }

    fn is_trial_daemon(&self, head: &ForwardHead) -> bool {
        self.trial_daemon_of(&head.service, head.fingerprint) == Some(self.name())
    }

    /// Returns the daemon that runs the trial of a blocked request.
    pub fn trial_daemon_of(
        &self,
        service: &ServiceName,
        fingerprint: RequestFingerprint,
    ) -> Option<DaemonId> {
        let directory = self.directory.borrow();
        let serving = directory.serving(service);
        let daemons = serving
            .filter(|entry| !self.is_emptied(&entry.member.zone))
            .map(|entry| &entry.member.daemon);
        trial_daemon(fingerprint, daemons).cloned()
    }

    /// Whether the local instance runs the request in isolation.
    pub fn runs_isolated(&self, head: &ForwardHead) -> bool {
        head.is_isolated || self.standing(head.fingerprint) != Standing::Clear
    }

    /// Finds out whether the local instance has ended, after the connection of a request broke: its end
    /// breaks all connections, and it accepts none.
    pub async fn detect_crash(&self, head: &ForwardHead) -> Loss {
        let detector = &self.crash_detector;
        detector.lost.borrow_mut().push(head.fingerprint);
        let (before, _) = detector.probes.get();
        while detector.is_probing.get() {
            monoio::time::sleep(PROBE_CHECK_INTERVAL).await;
            let (probes, has_ended) = detector.probes.get();
            if probes > before {
                return if has_ended {
                    Loss::BesideInstance
                } else {
                    Loss::Connection
                };
            }
        }
        detector.is_probing.set(true);
        let probe = Probe { detector };
        let has_ended = !self.dispatcher.accepts_connection().await;
        let requests = detector.lost.take();
        detector
            .probes
            .set((detector.probes.get().0 + 1, has_ended));
        drop(probe);
        if !has_ended {
            return Loss::Connection;
        }
        self.report_crash(head, requests).await;
        Loss::Instance
    }

    async fn report_crash(&self, head: &ForwardHead, mut requests: Vec<RequestFingerprint>) {
        requests.sort_unstable();
        requests.dedup();
        requests.truncate(MAX_REPORTED);
        self.log_state("instance-ended", || {
            let requests: Vec<String> = requests.iter().copied().map(fingerprint_text).collect();
            json!({ "instance": head.instance, "born": head.born, "requests": requests })
        });
        if self.local.borrow_mut().mark_unreachable() == Change::Told {
            self.refresh_own_member();
        }
        self.doubt_warmth("instance-ended");
        let report = CrashReport {
            daemon: self.name(),
            born: head.born,
            requests,
        };
        self.metrics.record_instance_end();
        let (now, time) = (Instant::now(), unix_millis(SystemTime::now()));
        self.quarantine
            .borrow_mut()
            .record_own_crash(report.clone(), now, time);
        self.broadcast_quarantine(vec![report], Vec::new()).await;
    }

    /// Returns the report on the end of an incarnation of the local instance, if it is recent.
    pub fn crash_of(&self, head: &ForwardHead) -> Option<CrashReport> {
        let own_name = self.name();
        let quarantine = self.quarantine.borrow();
        let mut reports = quarantine.reports();
        reports
            .find(|report| report.daemon == own_name && report.born == head.born)
            .cloned()
    }

    /// Merges what another daemon knows of ended instances and quarantined requests.
    pub fn merge_quarantine(&self, crashes: Vec<CrashReport>, records: Vec<Record>) {
        let (now, time) = (Instant::now(), unix_millis(SystemTime::now()));
        for report in crashes {
            let mut quarantine = self.quarantine.borrow_mut();
            quarantine.record_crash(report, now, time);
        }
        for record in records {
            if self.quarantine.borrow_mut().merge(record, time) {
                self.log_quarantined(&record, "daemon");
            }
        }
    }

    /// Merges a quarantined request that the store holds.
    pub fn merge_stored_quarantine(&self, record: Record) {
        let time = unix_millis(SystemTime::now());
        if self.quarantine.borrow_mut().merge(record, time) {
            self.log_quarantined(&record, "store");
        }
    }

    /// Records that an instance answered a request, which then is no cause of its ends.
    pub fn record_quarantine_answer(&self, fingerprint: RequestFingerprint) {
        let released = self.quarantine.borrow_mut().record_answer(fingerprint);
        if let Some(record) = released {
            self.log_quarantined(&record, "answer");
            self.released.borrow_mut().push(record);
        }
    }

    /// Returns the records for a datagram: all, or some random ones if there are many.
    pub fn quarantined_to_send(&self) -> Vec<Record> {
        let time = unix_millis(SystemTime::now());
        let mut quarantine = self.quarantine.borrow_mut();
        let mut records: Vec<Record> = quarantine.records(time).copied().collect();
        while records.len() > MAX_SENT_RECORDS {
            let len = u64::try_from(records.len()).unwrap_or(1);
            let index = usize::try_from(self.random() % len).unwrap_or(0);
            records.swap_remove(index);
        }
        records
    }

    /// Returns a recent report for a datagram, a random one if there are several.
    pub fn crash_to_send(&self) -> Vec<CrashReport> {
        let quarantine = self.quarantine.borrow();
        let count = u64::try_from(quarantine.reports().count()).unwrap_or(0);
        if count == 0 {
            return Vec::new();
        }
        let index = usize::try_from(self.random() % count).unwrap_or(0);
        quarantine.reports().skip(index).take(1).cloned().collect()
    }

    async fn store_quarantined(&self, record: &Record) -> bool {
        // As many keys as records are kept, so that the topic does not grow.
        let slot = record.fingerprint % u64::try_from(MAX_RECORDS).unwrap_or(1);
        let key = format!("{QUARANTINE_KEY_PREFIX}{slot}");
        let value = codec::encode(&wire::Record::Quarantined(*record));
        self.metrics.record_log_request(LogRequest::Append);
        match self.store.put(Topic::Mesh, &key, &value).await {
            Ok(_) => true,
            Err(e) => {
                let fingerprint = fingerprint_text(record.fingerprint);
                self.log_state(
                    "quarantine-not-stored",
                    || json!({ "fingerprint": fingerprint, "reason": e.to_string() }),
                );
                false
            }
        }
    }

    fn log_quarantined(&self, record: &Record, source: &'static str) {
        self.log_state("request-quarantined", || {
            json!({
                "fingerprint": fingerprint_text(record.fingerprint),
                "stage": format!("{:?}", record.stage),
                "since": record.since,
                "source": source,
            })
        });
    }

    /// Records that a client's request was refused since it is blocked.
    pub fn record_blocked(&self, id: &str, fingerprint: RequestFingerprint) {
        self.metrics.record_quarantined();
        let now = Instant::now();
        self.event_log.emit(
            EventClass::Failure,
            "request-blocked",
            now,
            || json!({ "request": id, "fingerprint": fingerprint_text(fingerprint) }),
        );
    }
}
