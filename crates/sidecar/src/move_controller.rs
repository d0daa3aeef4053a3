//! Controller of moves, which take a service to another version in stages: one daemon decides, all
//! others follow its decisions.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use base::FastMap;
use base::ServiceName;
use base::VersionName;
use base::units::unix_millis;
use mesh::canary::Verdict;
use mesh::directory::Entry;
use mesh::evidence::RouteStats;
use mesh::moves::MoveOrder;
use mesh::moves::MovePrecedence;
use mesh::moves::MoveRecord;
use mesh::moves::Origin;
use mesh::moves::SettleAction;
use mesh::moves::Stage;
use mesh::moves::settle;
use mesh::order_clock::RecordSource;
use mesh::wire::Record;
use protocol::codec;
use report::metrics::LogRequest;
use serde_json::Value;
use serde_json::json;
use users_platform::StoreError;
use users_platform::Topic;
use users_platform::operator;

use crate::node::Node;
use crate::node::SharedNode;
use crate::versions::replacing_version;

/// Interval at which the controller evaluates the evidence: the interval at which it receives
/// evidence.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);

/// Prefix of the keys of move records, in the mesh topic and in the reports topic.
const MOVE_KEY_PREFIX: &str = "move/";

/// Channel by which a daemon learned of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveSource {
    /// The operator's order.
    Operator,
    /// Another daemon.
    Gossip,
    /// A record in the store.
    Store,
    /// A verdict of this daemon that is not stored yet.
    Verdict,
    /// A decision that this daemon has stored.
    Controller,
}

impl MoveSource {
    /// Returns the name in the log.
    fn name(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Gossip => "gossip",
            Self::Store => "store",
            Self::Verdict => "verdict",
            Self::Controller => "controller",
        }
    }
}

/// Decides on open moves while this daemon is the controller. Runs until the process ends.
pub async fn decide_moves(node: SharedNode) {
    // Precedence of the record that this daemon published last, by service.
    let mut committed: FastMap<ServiceName, MovePrecedence> = FastMap::default();
    loop {
        monoio::time::sleep(DECISION_INTERVAL).await;
        let records: Vec<MoveRecord> = node.moves.borrow().records().cloned().collect();
        if records.is_empty() || !node.is_controller() {
            continue;
        }
        node.merge_own_evidence();
        for record in records {
            let decided = if record.is_open() {
                node.decide(&node.with_known_origin(record))
            } else {
                record
            };
            if committed.get(&decided.order.service) == Some(&decided.precedence()) {
                continue;
            }
            if let Some(stored) = node.commit(decided).await {
                committed.insert(stored.order.service.clone(), stored.precedence());
            }
        }
    }
}

impl Node {
    /// Starts a move ordered by the operator.
    pub fn begin_move(&self, order: MoveOrder) {
        let order = self.moves.borrow().number(order);
        let record = MoveRecord {
            order,
            began: unix_millis(SystemTime::now()),
            stage: Stage::Sharing(0),
            setbacks: 0,
            is_settled: false,
            boosted: Vec::new(),
            elapsed: Duration::ZERO,
            origin: Origin::default(),
        };
        self.merge_move(record, MoveSource::Operator);
    }

    /// Merges a move record.
    pub fn merge_move(&self, record: MoveRecord, source: MoveSource) {
        let record_source = match source {
            MoveSource::Store => RecordSource::Store,
            _ => RecordSource::Live,
        };
        let wall = unix_millis(SystemTime::now());
        self.order_clocks
            .borrow_mut()
            .learn(&record, record_source, wall, Instant::now());
        let service = record.order.service.clone();
        if self.moves.borrow_mut().merge(record) {
            self.log_state("move-learned", || {
                let moves = self.moves.borrow();
                let record = moves.get(&service);
                json!({
                    "service": service,
                    "target": record.map(|record| &record.order.target),
                    "order": record.map(|record| record.order.offset),
                    "stage": record.map(|record| format!("{:?}", record.stage)),
                    "origin": record.map(|record| &record.origin.version),
                    "withdrawn": record.map(|record| &record.origin.withdrawn),
                    "source": source.name(),
                })
            });
        }
    }

    /// Returns whether any move is open.
    pub fn has_open_move(&self) -> bool {
        self.moves.borrow().records().any(MoveRecord::is_open)
    }

    /// Returns the precedences of all moves, sorted so that two calls can be compared.
    pub fn move_precedences(&self) -> Vec<MovePrecedence> {
        let moves = self.moves.borrow();
        let mut move_precedences: Vec<MovePrecedence> =
            moves.records().map(MoveRecord::precedence).collect();
        move_precedences.sort_unstable();
        move_precedences
    }

    /// Returns the address of the controller while a move is open; `None` if no other daemon is the
    /// controller.
    pub fn evidence_receiver(&self) -> Option<SocketAddr> {
        if !self.has_open_move() {
            return None;
        }
        let election = self.election.borrow();
        let leader = election.fleet_leader(Instant::now())?;
        let directory = self.directory.borrow();
        directory.get(leader).map(|entry| entry.member.address)
    }

    /// Returns whether this daemon decides on moves. Two daemons that see different leaders may
    /// both decide; the store accepts the end of a move from only one of them.
    pub fn is_controller(&self) -> bool {
        let election = self.election.borrow();
        self.is_leader() && election.fleet_leader(Instant::now()).is_none()
    }

    /// Merges the evidence of the local instance.
    fn merge_own_evidence(&self) {
        if let Some(evidence) = self.dispatcher.evidence(self) {
            let mut canary = self.canary.borrow_mut();
            let now = Instant::now();
            canary.merge(&self.name(), self.incarnation.get(), evidence, now);
        }
    }

    /// Adds the version in use to the first order of a service, which no earlier record tells.
    fn with_known_origin(&self, mut record: MoveRecord) -> MoveRecord {
        if record.origin.version.is_none() {
            let directory = self.directory.borrow();
            let serving: Vec<&Entry> = directory.serving(&record.order.service).collect();
            record.origin.version = replacing_version(&serving, &record).cloned();
        }
        record
    }

    fn decide(&self, record: &MoveRecord) -> MoveRecord {
        let order = &record.order;
        let now = Instant::now();
        let instances = self.instances_of(&order.service, &order.target);
        let (elapsed, clock) = self.order_clocks.borrow().elapsed(record, now);
        let mut canary = self.canary.borrow_mut();
        let mut decider = self.move_decider.borrow_mut();
        let decision = decider.decide(record, &mut canary, instances, elapsed, now);
        drop((canary, decider));
        let verdict = decision.verdict;
        let has_moved = decision.record.stage != record.stage;
        if has_moved || decision.is_verdict_new {
            let event = if has_moved {
                "move-decided"
            } else {
                "move-verdict"
            };
            self.log_state(event, || {
                json!({
                    "service": order.service,
                    "target": order.target,
                    "origin": record.origin.version,
                    "withdrawn": record.origin.withdrawn,
                    "before": format!("{:?}", record.stage),
                    "stage": format!("{:?}", decision.record.stage),
                    "verdict": verdict_name(verdict),
                    "unproven": decision.unproven,
                    "evidence": self.describe_evidence(order),
                    "reporting": decision.reporting,
                    "instances": instances,
                    "elapsed_ms": elapsed.as_millis(),
                    "within_ms": order.within.as_millis(),
                    "clock": format!("{clock:?}"),
                    "at_stage_ms": decision.at_stage.as_millis(),
                    "setbacks": record.setbacks,
                })
            });
        }
        if verdict == Verdict::Inconclusive {
            self.canary.borrow_mut().reset_counts(&order.service);
        }
        decision.record
    }

    /// Returns the number of instances of a version that take requests.
    fn instances_of(&self, service: &ServiceName, version: &VersionName) -> usize {
        let directory = self.directory.borrow();
        let infos = directory
            .serving(service)
            .filter(|entry| !self.is_emptied(&entry.member.zone))
            .filter_map(|entry| entry.member.instance.as_ref());
        infos.filter(|info| info.version == *version).count()
    }

    /// Describes answers, failures, mean and latency histogram by route, for the target and for the
    /// other versions.
    fn describe_evidence(&self, order: &MoveOrder) -> Value {
        let describe = |count: &RouteStats| {
            let mean = count.total_ms / u64::from(count.answers.max(1));
            json!({
                "answers": count.answers,
                "failures": count.failures,
                "missing": count.missing,
                "mean_ms": mean,
                "times": count.times,
            })
        };
        let canary = self.canary.borrow();
        let routes = canary.compare(&order.service, &order.target);
        routes
            .iter()
            .map(|(route, new, old)| {
                json!({ "route": route, "target": describe(new), "others": describe(old) })
            })
            .collect()
    }

    /// Publishes a decision: a rollback at once, all others after the store accepted them. Returns
    /// the record now in force.
    async fn commit(&self, decided: MoveRecord) -> Option<MoveRecord> {
        let decided = self.order_clocks.borrow().stamp(&decided, Instant::now());
        if decided.stage == Stage::RolledBack {
            self.merge_move(decided.clone(), MoveSource::Verdict);
        }
        let stored = match self.store_move(&decided).await {
            Ok(stored) => stored,
            Err(e) => {
                self.log_uncommitted(&decided, &e);
                return None;
            }
        };
        self.merge_move(stored.clone(), MoveSource::Controller);
        let key = move_key(&stored);
        let value = codec::encode(&Record::Move(stored.clone()));
        self.metrics.record_log_request(LogRequest::Append);
        if let Err(e) = self.store.put(Topic::Mesh, &key, &value).await {
            self.log_uncommitted(&stored, &e);
            return None;
        }
        Some(stored)
    }

    /// Writes a decision and its report, or returns the decision that is already stored.
    async fn store_move(&self, decided: &MoveRecord) -> Result<MoveRecord, StoreError> {
        loop {
            self.metrics.record_log_request(LogRequest::Read);
            let newest = self.store.newest(Topic::Reports).await?;
            let end = newest.position();
            let stored = newest.records.iter().find_map(|record| {
                let is_same_move = record.key == move_key(decided);
                let value = record.value.as_ref().filter(|_| is_same_move)?;
                self.decode_move(&record.key, value)
            });
            let record = match settle(decided, stored.as_ref()) {
                SettleAction::Adopt(record) => return Ok(record),
                SettleAction::Write(record) => record,
            };
            let (key, report) = operator::report(&record.order, record.stage);
            let value = codec::encode(&Record::Move(record.clone()));
            let records: [(&str, &[u8]); 2] = [(&key, &report), (&move_key(&record), &value)];
            self.metrics.record_log_request(LogRequest::Append);
            match self.store.put_at(Topic::Reports, &records, end).await {
                Ok(_) => return Ok(record),
                // Another daemon wrote in between; read again.
                Err(StoreError::OffsetMismatch(_)) => {}
                Err(e) => return Err(e),
            }
        }
    }

    fn decode_move(&self, key: &str, value: &[u8]) -> Option<MoveRecord> {
        match codec::decode(value) {
            Ok(Record::Move(record)) => Some(record),
            Ok(Record::Member(_) | Record::Quarantined(_) | Record::Departure(_)) => None,
            Err(e) => {
                self.log_state(
                    "record-unreadable",
                    || json!({ "key": key, "reason": e.to_string() }),
                );
                None
            }
        }
    }

    fn log_uncommitted(&self, decided: &MoveRecord, e: &StoreError) {
        self.log_state("move-not-committed", || {
            json!({
                "service": decided.order.service,
                "stage": format!("{:?}", decided.stage),
                "reason": e.to_string(),
            })
        });
    }
}

fn move_key(record: &MoveRecord) -> String {
    format!("{MOVE_KEY_PREFIX}{}", record.order.service)
}

fn verdict_name(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::InsufficientData => "open",
        Verdict::Unproven => "unproven",
        Verdict::Suspicious => "suspicious",
        Verdict::Good => "good",
        Verdict::Bad => "bad",
        Verdict::Inconclusive => "unclear",
    }
}
