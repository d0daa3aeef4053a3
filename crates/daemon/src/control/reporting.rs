//! Counts what calls did on the upstream beside this daemon, and reports it to the controller.

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
use crate::control::spreading::send;
use crate::shared_state::SharedState;

/// Time between two reports while a move is under way.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// Reports of a move under way for each one after its end.
const LATE_REPORT_PARTS: u64 = 10;

/// Longest cold start that is believed; a longer one would hide slowness.
const MAX_COLD_START: Duration = Duration::from_mins(5);

/// Services and versions that are counted; an instance has few in its life.
const MAX_COUNTERS: usize = 16;

/// Owns the counters of this daemon.
pub(super) struct Reporter {
    shared: SharedState,
    control: Rc<Control>,
    pool: Rc<Pool>,
    counters: BTreeMap<(ServiceName, VersionName), Counters>,
    upstream: Option<Seen>,
    sequence: u64,
    reported: Instant,
}

#[derive(Default)]
struct Counters {
    routes: BTreeMap<RoutePrefix, CallCounts>,
    /// Time of all calls since the last report.
    busy: Duration,
}

/// The upstream as it was first seen.
struct Seen {
    address: SocketAddr,
    version: VersionName,
    at: Instant,
}

/// How often a service is reported on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Pace {
    Never,
    Late,
    EachTime,
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
            reported: Instant::now(),
        }
    }

    pub(super) async fn run(mut self, mut calls: unbounded::Rx<Observation>) {
        loop {
            let next = self.reported + REPORT_EVERY;
            let left = next.saturating_duration_since(Instant::now());
            monoio::select! {
                seen = calls.recv() => match seen {
                    Some(seen) => self.count(seen),
                    None => return,
                },
                () = monoio::time::sleep(left) => self.report(),
            }
        }
    }

    fn count(&mut self, seen: Observation) {
        let warmth = self.warmth();
        let key = (seen.service, seen.version);
        if self.counters.len() >= MAX_COUNTERS && !self.counters.contains_key(&key) {
            return;
        }
        let counters = self.counters.entry(key).or_default();
        counters.busy += seen.took;
        let counts = counters.routes.entry(seen.route).or_default();
        if seen.failed {
            counts.add_failed();
        } else {
            counts.add_ok(seen.took, warmth);
        }
    }

    fn warmth(&mut self) -> Warmth {
        let upstream = self.shared.upstream.get();
        let Some(announced) = upstream.as_ref() else {
            return Warmth::Cold;
        };
        let is_known = self.upstream.as_ref().is_some_and(|seen| {
            seen.address == announced.address && seen.version == announced.version
        });
        if !is_known {
            self.upstream = Some(Seen {
                address: announced.address,
                version: announced.version.clone(),
                at: Instant::now(),
            });
        }
        let cold_start = announced.cold_start.min(MAX_COLD_START);
        match &self.upstream {
            Some(seen) if seen.at.elapsed() >= cold_start => Warmth::Warm,
            _ => Warmth::Cold,
        }
    }

    fn report(&mut self) {
        let elapsed = self.reported.elapsed();
        self.reported = Instant::now();
        self.sequence += 1;
        // Notices a new upstream before its first call.
        self.warmth();
        let state = self.shared.state.get();
        let reports = self.reports(&state, elapsed);
        if !reports.is_empty() {
            self.send(&state, reports);
        }
    }

    fn reports(&mut self, state: &State, elapsed: Duration) -> Vec<EvidenceReport> {
        let is_late_turn = self.sequence.is_multiple_of(LATE_REPORT_PARTS);
        let me = &self.shared.daemon_cfg;
        let mut reports = Vec::new();
        for ((service, version), counters) in &mut self.counters {
            let in_flight = mean_in_flight(std::mem::take(&mut counters.busy), elapsed);
            let is_due = match pace(state.services.get(service)) {
                Pace::Never => false,
                Pace::Late => is_late_turn,
                Pace::EachTime => true,
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
            self.control.take_reports(reports);
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

fn pace(service: Option<&Service>) -> Pace {
    match service {
        Some(service) if service.rollout.is_some() => Pace::EachTime,
        Some(service) if service.previous.is_some() => Pace::Late,
        _ => Pace::Never,
    }
}

/// Calls that ran at once, by their times.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn mean_in_flight(busy: Duration, elapsed: Duration) -> u32 {
    let elapsed = elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
    (busy.as_secs_f64() / elapsed).ceil() as u32
}
