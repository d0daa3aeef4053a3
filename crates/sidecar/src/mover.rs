//! Drives moves: one daemon decides, all follow what it decided.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use base::FastMap;
use base::ServiceName;
use base::VersionName;
use base::units::unix_millis;
use mesh::canary::Verdict;
use mesh::evidence::RouteStats;
use mesh::moves::MoveOrder;
use mesh::moves::MovePrecedence;
use mesh::moves::MoveRecord;
use mesh::moves::SettleAction;
use mesh::moves::Stage;
use mesh::moves::advance;
use mesh::moves::settle;
use mesh::wire::Record;
use protocol::codec;
use report::metrics::LogRequest;
use serde_json::Value;
use serde_json::json;
use users_platform::StoreError;
use users_platform::Topic;
use users_platform::operator;

use crate::node::Node;
use crate::node::Shared;

/// How often the controller looks at the evidence: as often as it is told.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Beginning of the keys of moves, in the daemons' own topic and beside the reports.
const MOVE_KEY: &str = "move/";

/// Decides on moves for as long as the daemon runs.
pub async fn control(node: Shared) {
    // Rank of the record that this daemon made known last, by service.
    let mut committed: FastMap<ServiceName, MovePrecedence> = FastMap::default();
    loop {
        monoio::time::sleep(LOOK_EVERY).await;
        let records: Vec<MoveRecord> = node.moves.borrow().records().cloned().collect();
        if records.is_empty() || !node.is_controller() {
            continue;
        }
        node.count_own_evidence();
        for record in records {
            let decided = if record.is_open() {
                node.decide(&record)
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
    /// Starts a move that the operator ordered.
    pub fn begin_move(&self, order: MoveOrder) {
        let record = MoveRecord {
            order,
            began: unix_millis(SystemTime::now()),
            stage: Stage::Sharing(0),
            setbacks: 0,
            is_settled: false,
        };
        self.learn_move(record, "operator");
    }

    /// Takes in how far a move is.
    pub fn learn_move(&self, record: MoveRecord, source: &'static str) {
        self.orders_seen
            .borrow_mut()
            .entry(record.order.offset)
            .or_insert_with(Instant::now);
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
                    "source": source,
                })
            });
        }
    }

    /// Whether a move is under way.
    pub fn is_moving(&self) -> bool {
        self.moves.borrow().records().any(MoveRecord::is_open)
    }

    /// How far the moves are, in no order that means something.
    pub fn move_precedences(&self) -> Vec<MovePrecedence> {
        let moves = self.moves.borrow();
        let mut move_precedences: Vec<MovePrecedence> =
            moves.records().map(MoveRecord::precedence).collect();
        move_precedences.sort_unstable();
        move_precedences
    }

    /// Where evidence on a move under way goes.
    pub fn evidence_to(&self) -> Option<SocketAddr> {
        if !self.is_moving() {
            return None;
        }
        let election = self.election.borrow();
        let first = election.fleet_leader(Instant::now())?;
        let directory = self.directory.borrow();
        directory.get(first).map(|entry| entry.member.address)
    }

    /// Whether this daemon decides on moves. Daemons that hear different leads may both do; the
    /// store takes the end of one of them only.
    pub fn is_controller(&self) -> bool {
        let election = self.election.borrow();
        self.is_leader() && election.fleet_leader(Instant::now()).is_none()
    }

    /// Takes in what the instance beside this daemon answered.
    fn count_own_evidence(&self) {
        if let Some(evidence) = self.gate.evidence(self) {
            let mut canary = self.canary.borrow_mut();
            canary.merge(&self.name(), evidence, Instant::now());
        }
    }

    fn decide(&self, record: &MoveRecord) -> MoveRecord {
        let order = &record.order;
        let now = Instant::now();
        let instances = self.instances_of(&order.service, &order.target);
        let canary = self.canary.borrow();
        let verdict = canary.verdict(&order.service, &order.target, instances, now);
        drop(canary);
        let elapsed = self.elapsed(record);
        let decided = advance(record, elapsed, verdict);
        if decided.stage != record.stage {
            self.log_state("move-decided", || {
                json!({
                    "service": order.service,
                    "target": order.target,
                    "before": format!("{:?}", record.stage),
                    "stage": format!("{:?}", decided.stage),
                    "verdict": verdict_name(verdict),
                    "evidence": self.describe_evidence(order),
                    "elapsed_ms": elapsed.as_millis(),
                    "within_ms": order.within.as_millis(),
                })
            });
        }
        if verdict == Verdict::Inconclusive {
            self.canary.borrow_mut().reset_counts(&order.service);
        }
        decided
    }

    /// Instances of a version that take requests.
    fn instances_of(&self, service: &ServiceName, version: &VersionName) -> usize {
        let directory = self.directory.borrow();
        let infos = directory
            .serving(service)
            .filter_map(|entry| entry.member.instance.as_ref());
        infos.filter(|info| info.version == *version).count()
    }

    /// Answers, failures, mean and times by route, of the target and of the other versions.
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

    /// Time since the order: as long as this daemon knows it, and before that by the time of day,
    /// which is only trusted as far as the move may last.
    fn elapsed(&self, record: &MoveRecord) -> Duration {
        let seen = self.orders_seen.borrow();
        let known = seen
            .get(&record.order.offset)
            .map_or(Duration::ZERO, Instant::elapsed);
        let now = unix_millis(SystemTime::now());
        let by_date = Duration::from_millis(now.saturating_sub(record.began));
        if by_date > record.order.within * 2 {
            return known;
        }
        known.max(by_date)
    }

    /// Makes a decision known: a bad verdict at once, all others after the store took them.
    /// Returns the record that stands now.
    async fn commit(&self, decided: MoveRecord) -> Option<MoveRecord> {
        if decided.stage == Stage::RolledBack {
            self.learn_move(decided.clone(), "verdict");
        }
        let stored = match self.store_move(&decided).await {
            Ok(stored) => stored,
            Err(e) => {
                self.warn_uncommitted(&decided, &e);
                return None;
            }
        };
        self.learn_move(stored.clone(), "controller");
        let key = move_key(&stored);
        let value = codec::encode(&Record::Move(stored.clone()));
        self.metrics.record_log_request(LogRequest::Append);
        if let Err(e) = self.store.put(Topic::Mesh, &key, &value).await {
            self.warn_uncommitted(&stored, &e);
            return None;
        }
        Some(stored)
    }

    /// Writes a decision and the report on it, or finds the decision that stands already.
    async fn store_move(&self, decided: &MoveRecord) -> Result<MoveRecord, StoreError> {
        loop {
            self.metrics.record_log_request(LogRequest::Read);
            let newest = self.store.newest(Topic::Reports).await?;
            let stored = newest.records.iter().find_map(|record| {
                let is_same = record.key == move_key(decided);
                let value = record.value.as_ref().filter(|_| is_same)?;
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
            match self
                .store
                .put_at(Topic::Reports, &records, newest.end)
                .await
            {
                Ok(_) => return Ok(record),
                // Another daemon wrote in between.
                Err(StoreError::OffsetMismatch(_)) => {}
                Err(e) => return Err(e),
            }
        }
    }

    fn decode_move(&self, key: &str, value: &[u8]) -> Option<MoveRecord> {
        match codec::decode(value) {
            Ok(Record::Move(record)) => Some(record),
            Ok(Record::Member(_)) => None,
            Err(e) => {
                self.log_state(
                    "record-unreadable",
                    || json!({ "key": key, "reason": e.to_string() }),
                );
                None
            }
        }
    }

    fn warn_uncommitted(&self, decided: &MoveRecord, e: &StoreError) {
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
    format!("{MOVE_KEY}{}", record.order.service)
}

fn verdict_name(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::InsufficientData => "open",
        Verdict::Good => "good",
        Verdict::Bad => "bad",
        Verdict::Inconclusive => "unclear",
    }
}
