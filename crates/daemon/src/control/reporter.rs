//! Counts the results of calls on the local upstream and reports them to the controller.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::RoutePrefix;
use base::ServiceName;
use base::VersionName;
use http_edge::Pool;
use ledger::Service;
use ledger::State;
use local_sync::mpsc::unbounded;
use protocol::codec;
use protocol::evidence::CallCounts;
use protocol::evidence::EvidenceReport;
use protocol::evidence::Warmth;

use crate::calls::Observation;
use crate::control::Control;
use crate::control::Message;
use crate::control::broadcaster::send;
use crate::shared_state::SharedState;

/// Time between two reports during a rollout.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// After the end of a rollout, one report in this many is sent.
const REDUCED_REPORT_RATIO: u64 = 10;

/// Longest cold start that is accepted. Latencies of a cold instance are not judged, so a longer
/// one would hide slow calls.
const MAX_COLD_START: Duration = Duration::from_mins(5);

/// Pairs of service and version that are counted. An instance has few of them in its lifetime.
const MAX_COUNTERS: usize = 16;

/// Owns the call counters of this daemon and sends them as evidence reports.
pub(super) struct Reporter {
    shared: SharedState,
    control: Rc<Control>,
    pool: Rc<Pool>,
    counters: BTreeMap<(ServiceName, VersionName), Counters>,
    upstream: Option<FirstSeen>,
    sequence: u64,
    last_report: Instant,
}

#[derive(Default)]
struct Counters {
    routes: BTreeMap<RoutePrefix, CallCounts>,
    /// Sum of the latencies of all calls since the last report.
    busy: Duration,
}

/// The local upstream and when it was first seen.
struct FirstSeen {
    address: SocketAddr,
    version: VersionName,
    at: Instant,
}

/// How often evidence of a service is reported.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReportPace {
    Never,
    Reduced,
    Full,
}

impl Reporter {
    pub(super) fn new(shared: &SharedState, control: Rc<Control>, pool: Pool) -> Self {
        Self {
            shared: shared.clone(),
            control,
            pool: Rc::new(pool),
            counters: BTreeMap::new(),
            upstream: None,
            sequence: 0,
            last_report: Instant::now(),
        }
    }

    pub(super) async fn run(mut self, mut calls: unbounded::Rx<Observation>) {
        loop {
            let next = self.last_report + REPORT_INTERVAL;
            let left = next.saturating_duration_since(Instant::now());
            monoio::select! {
                observed = calls.recv() => match observed {
                    Some(observed) => self.count(observed),
                    None => return,
                },
                () = monoio::time::sleep(left) => self.report(),
            }
        }
    }

    fn count(&mut self, observed: Observation) {
        let warmth = self.warmth();
        let key = (observed.service, observed.version);
        if self.counters.len() >= MAX_COUNTERS && !self.counters.contains_key(&key) {
            return;
        }
        let counters = self.counters.entry(key).or_default();
        counters.busy += observed.took;
        let counts = counters.routes.entry(observed.route).or_default();
        if observed.failed {
            counts.add_failed();
        } else {
            counts.add_ok(observed.took, warmth);
        }
    }

    fn warmth(&mut self) -> Warmth {
        let upstream = self.shared.upstream.get();
        let Some(announced) = upstream.as_ref() else {
            return Warmth::Cold;
        };
        let is_known = self.upstream.as_ref().is_some_and(|first_seen| {
            first_seen.address == announced.address && first_seen.version == announced.version
        });
        if !is_known {
            self.upstream = Some(FirstSeen {
                address: announced.address,
                version: announced.version.clone(),
                at: Instant::now(),
            });
        }
        let cold_start = announced.cold_start.min(MAX_COLD_START);
        match &self.upstream {
            Some(first_seen) if first_seen.at.elapsed() >= cold_start => Warmth::Warm,
            _ => Warmth::Cold,
        }
    }

    fn report(&mut self) {
        let elapsed = self.last_report.elapsed();
        self.last_report = Instant::now();
        self.sequence += 1;
        // Detects a new upstream before its first call, so that its cold start is timed from here.
        self.warmth();
        let state = self.shared.state.get();
        let reports = self.reports(&state, elapsed);
        if !reports.is_empty() {
            self.send(&state, reports);
        }
    }

    fn reports(&mut self, state: &State, elapsed: Duration) -> Vec<EvidenceReport> {
        let is_reduced_turn = self.sequence.is_multiple_of(REDUCED_REPORT_RATIO);
        let me = &self.shared.daemon_cfg;
        let mut reports = Vec::new();
        for ((service, version), counters) in &mut self.counters {
            let in_flight = mean_in_flight(std::mem::take(&mut counters.busy), elapsed);
            let is_due = match pace(state.services.get(service)) {
                ReportPace::Never => false,
                ReportPace::Reduced => is_reduced_turn,
                ReportPace::Full => true,
            };
            if is_due {
                reports.push(EvidenceReport {
                    daemon: me.settings.daemon.clone(),
                    incarnation: me.incarnation,
                    sequence: self.sequence,
                    service: service.clone(),
                    version: version.clone(),
                    in_flight,
                    routes: counters.routes.clone(),
                });
            }
        }
        reports
    }

    fn send(&self, state: &State, reports: Vec<EvidenceReport>) {
        let Some(controller) = &state.controller else {
            return;
        };
        if *controller == self.shared.daemon_cfg.settings.daemon {
            self.control.accept_reports(reports);
            return;
        }
        let peers = self.shared.peers.get();
        let Some(peer) = peers.iter().find(|peer| peer.daemon == *controller) else {
            return;
        };
        let body = codec::encode(&Message::Evidence(reports));
        let meter = Rc::clone(&self.shared.meter);
        monoio::spawn(send(Rc::clone(&self.pool), peer.address, body, meter));
    }
}

fn pace(service: Option<&Service>) -> ReportPace {
    match service {
        Some(service) if service.rollout.is_some() => ReportPace::Full,
        Some(service) if service.previous.is_some() => ReportPace::Reduced,
        _ => ReportPace::Never,
    }
}

/// Mean number of concurrent calls, by Little's law; rounded up.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn mean_in_flight(busy: Duration, elapsed: Duration) -> u32 {
    let elapsed = elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
    (busy.as_secs_f64() / elapsed).ceil() as u32
}
