//! Tasks that keep this daemon up to date: a zone leader follows the topics of the store, and every
//! daemon fetches newer configurations and members from its peers.

use std::time::Duration;
use std::time::Instant;

use base::Offset;
use bytes::Bytes;
use mesh::directory::Merge;
use mesh::election::strength;
use mesh::knowledge::ConfigFate;
use mesh::knowledge::ProofStanding;
use mesh::wire::Record;
use platform::Backoff;
use platform::BackoffCfg;
use protocol::codec;
use report::metrics::LogRequest;
use serde_json::json;
use users_platform::StoreError;
use users_platform::StorePosition;
use users_platform::Topic;
use users_platform::operator;
use users_platform::operator::OperatorRecord;
use users_platform::records::KeyedRecord;

use crate::compression;
use crate::move_controller::MoveSource;
use crate::node::Node;
use crate::node::SharedNode;

/// Time for which the store holds a read that has no new records. With it, the two leaders of a
/// zone make a dozen calls a minute.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(10);

/// The same for the operator's records at the first leader of a zone. A read that the store never answers
/// is found by its timeout only, and another daemon must then have read within the two seconds in which a
/// configuration must be in force.
const FIRST_LEADER_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which a follower checks whether it has become a leader; a tenth of the lifetime of a
/// leadership claim.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after member records that gossip had not brought, so that announcements close together are
/// read in one call.
const MEMBER_BATCH_DELAY: Duration = Duration::from_millis(700);

/// Pause after member records that were all known: gossip works, and the store is only read to find
/// what it lost.
const KNOWN_MEMBER_DELAY: Duration = Duration::from_secs(5);

/// Longest delay of the first read when the whole fleet starts. Daemons that read later find the
/// first ones of their zone, which then write the announcements of the others.
const FIRST_START_SPREAD: Duration = Duration::from_secs(1);

/// Time after the start of the whole fleet in which the leaders settle; until then each daemon would
/// count as one and read the store. The first configuration is written seconds later.
const FIRST_START_SETTLE: Duration = Duration::from_millis(2500);

/// Time after the first read of the members in which claims of other leaders arrive.
const CLAIM_WAIT: Duration = Duration::from_secs(1);

/// Time in which the leaders of the zone must claim that role to a daemon that has the members;
/// after it the daemon reads the configuration itself.
const LEADER_WAIT: Duration = Duration::from_millis(800);

/// Daemons of the zone that a starting daemon asks for their configuration version at once.
const PROBED_PEERS: usize = 2;

/// Pause after a new configuration. In a burst only the newest one counts, and each must be in
/// force within two seconds.
const CONFIG_BATCH_DELAY: Duration = Duration::from_millis(300);

/// Interval between checks for a peer with newer data; small against the two seconds within which a
/// configuration must be in force.
pub(crate) const FETCH_INTERVAL: Duration = Duration::from_millis(50);

/// Backoff after failed store calls. The first pause is short because records must be read again
/// within two seconds of the store's recovery.
pub const BACKOFF: BackoffCfg = BackoffCfg {
    initial_delay: Duration::from_millis(100),
    max_delay: Duration::from_secs(1),
};

/// Reads the newest records of a topic once, then follows the topic whenever this daemon is a
/// leader of its zone. Runs until the process ends.
pub async fn follow_topic(node: SharedNode, topic: Topic) {
    let mut backoff = Backoff::new(BACKOFF, node.random());
    let mut next: Option<StorePosition> = None;
    let mut is_store_available = true;
    let mut is_following = match topic {
        Topic::Operator => node.wait_for_leaders().await == Source::Leaders,
        Topic::Mesh | Topic::Reports => {
            monoio::time::sleep(node.first_read_delay()).await;
            false
        }
    };
    let mut claim_wait = (topic == Topic::Mesh).then_some(CLAIM_WAIT);
    loop {
        if is_following && !node.is_reader(topic) {
            monoio::time::sleep(ROLE_CHECK_INTERVAL).await;
            if node.is_reader(topic) {
                // Reading the newest record of each key costs less than replaying the skipped
                // records.
                next = None;
                is_following = false;
            }
            continue;
        }
        if topic == Topic::Operator && node.evacuations.borrow_mut().take_must_read() {
            next = None;
        }
        let called_at = Instant::now();
        let read = match &next {
            None => node.read_newest(topic).await,
            Some(position) => match node.read_until_promoted(topic, position).await {
                ReadEnd::Read(read) => read,
                ReadEnd::Promoted => continue,
            },
        };
        node.metrics.record_log_request(LogRequest::Read);
        let has_answered = matches!(
            read,
            Ok(_) | Err(StoreError::Expired(_) | StoreError::Discontinuity(_))
        );
        let now = Instant::now();
        node.election
            .borrow_mut()
            .record_store_call(has_answered, now);
        match read {
            Ok(position) => {
                if !is_store_available {
                    node.log_state(
                        "store-regained",
                        || json!({ "topic": format!("{topic:?}") }),
                    );
                }
                is_store_available = true;
                next = Some(position);
                is_following = true;
                if let Some(wait) = claim_wait.take() {
                    monoio::time::sleep(wait).await;
                }
                backoff = Backoff::new(BACKOFF, node.random());
            }
            Err(StoreError::Expired(first)) => {
                node.log_state(
                    "records-expired",
                    || json!({ "topic": format!("{topic:?}"), "from": offset(next.as_ref()), "first": first }),
                );
                next = None;
                is_following = false;
            }
            Err(StoreError::Discontinuity(discontinuity)) => {
                node.log_state("offsets-invalid", || {
                    json!({
                        "topic": format!("{topic:?}"),
                        "from": offset(next.as_ref()),
                        "reason": format!("{discontinuity:?}"),
                    })
                });
                node.forget_stored(topic);
                next = None;
                is_following = false;
                monoio::time::sleep(backoff.next_delay()).await;
            }
            Err(e) => {
                if is_store_available {
                    node.log_state("store-lost", || {
                        json!({
                            "topic": format!("{topic:?}"),
                            "reason": e.to_string(),
                            "waited_ms": called_at.elapsed().as_millis(),
                        })
                    });
                }
                is_store_available = false;
                if topic == Topic::Operator {
                    node.ask_for_read().await;
                }
                // A call that timed out has waited already.
                let delay = backoff.next_delay();
                monoio::time::sleep(delay.saturating_sub(called_at.elapsed())).await;
            }
        }
    }
}

fn offset(position: Option<&StorePosition>) -> Option<Offset> {
    position.map(|position| position.offset)
}

fn batch_delay(topic: Topic, has_news: bool) -> Duration {
    match topic {
        Topic::Mesh if has_news => MEMBER_BATCH_DELAY,
        Topic::Mesh => KNOWN_MEMBER_DELAY,
        Topic::Operator | Topic::Reports => CONFIG_BATCH_DELAY,
    }
}

/// How a read that waits for records ended.
enum ReadEnd {
    /// It was answered, or it failed.
    Read(Result<StorePosition, StoreError>),
    /// This daemon became the first leader of its zone, which waits for a shorter time.
    Promoted,
}

/// Where a starting daemon gets the configuration from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// From the leaders of its zone.
    Leaders,
    /// From the store.
    Store,
}

impl Node {
    /// Whether this daemon reads a topic for its zone. Both leaders read the operator's records, since
    /// one of them may be cut off from the store without noticing it. One reads the members, which
    /// gossip brings too.
    fn is_reader(&self, topic: Topic) -> bool {
        match topic {
            Topic::Operator | Topic::Reports => self.is_leader(),
            Topic::Mesh => self.is_first_leader(),
        }
    }

    /// Returns how long to wait before the first read of the members.
    fn first_read_delay(&self) -> Duration {
        if !self.boot.borrow().is_first_start {
            return Duration::ZERO;
        }
        let spread = u64::try_from(FIRST_START_SPREAD.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.random() % spread)
    }

    /// Waits until the members are known and a leader of the zone claims that role, for which this
    /// daemon sends probes. Without members in the zone or without a claim in time, the store is the
    /// source.
    async fn wait_for_leaders(&self) -> Source {
        if self.boot.borrow().is_first_start {
            monoio::time::sleep(FIRST_START_SETTLE).await;
            let has_leader = self.election.borrow().has_other_leader(Instant::now());
            if has_leader && !self.is_leader() {
                return Source::Leaders;
            }
        }
        while !self.has_loaded_members.get() {
            monoio::time::sleep(FETCH_INTERVAL).await;
        }
        let loaded_at = Instant::now();
        let peers = self.zone_peers(PROBED_PEERS);
        if peers.is_empty() || self.is_expected_leader() {
            return Source::Store;
        }
        for address in peers {
            self.send_probe(address).await;
        }
        while loaded_at.elapsed() < LEADER_WAIT {
            let has_leader = self.election.borrow().has_other_leader(Instant::now());
            if has_leader && !self.is_leader() {
                return Source::Leaders;
            }
            monoio::time::sleep(FETCH_INTERVAL).await;
        }
        Source::Store
    }

    fn is_expected_leader(&self) -> bool {
        let boot = self.boot.borrow();
        let own = strength(boot.cpu_permille, boot.link_mbps);
        self.directory
            .borrow()
            .is_expected_leader(&boot.daemon, &boot.zone, own)
    }

    /// Discards what this daemon believes to be stored, since the store may have lost it.
    fn forget_stored(&self, topic: Topic) {
        match topic {
            Topic::Mesh => {
                self.stored_members.borrow_mut().clear();
                let mut local = self.local.borrow_mut();
                local.departures_mut().forget_stored();
            }
            Topic::Operator => {
                self.knowledge.borrow_mut().offsets_went_back();
                self.moves.borrow_mut().offsets_went_back();
                self.evacuations.borrow_mut().offsets_went_back();
            }
            Topic::Reports => {}
        }
    }

    /// Reads and applies the newest record of each key.
    pub(crate) async fn read_newest(&self, topic: Topic) -> Result<StorePosition, StoreError> {
        let start = self.evacuations.borrow().begin_read();
        let sent = self.boot_time();
        let newest = self.store.newest(topic).await?;
        let position = newest.position();
        if topic == Topic::Operator {
            self.replace_evacuations(&newest.records, newest.end, start);
        }
        for record in newest.records {
            self.apply_record(topic, record);
        }
        self.tell_evacuations().await;
        if topic == Topic::Operator {
            self.record_operator_read(sent);
        }
        if topic == Topic::Mesh {
            self.record_departures_read();
            self.has_loaded_members.set(true);
            self.pending_members.borrow_mut().clear();
        }
        Ok(position)
    }

    /// Reads from a position on. If this daemon becomes the first leader of its zone meanwhile, the read is
    /// abandoned: it may have been sent long ago on a connection that has gone silent.
    async fn read_until_promoted(&self, topic: Topic, from: &StorePosition) -> ReadEnd {
        if topic != Topic::Operator {
            return ReadEnd::Read(self.read_from(topic, from, LONG_POLL_TIMEOUT).await);
        }
        if self.is_first_leader() {
            let wait = match self.proof_standing() {
                // The answer to a read that does not wait is the proof that is missing.
                Some(ProofStanding::Aging | ProofStanding::Expired) => Duration::ZERO,
                Some(ProofStanding::Valid) | None => FIRST_LEADER_POLL_TIMEOUT,
            };
            return ReadEnd::Read(self.read_from(topic, from, wait).await);
        }
        let promoted = async {
            while !self.is_first_leader() {
                monoio::time::sleep(ROLE_CHECK_INTERVAL).await;
            }
        };
        monoio::select! {
            read = self.read_from(topic, from, LONG_POLL_TIMEOUT) => ReadEnd::Read(read),
            () = promoted => ReadEnd::Promoted,
        }
    }

    fn is_first_leader(&self) -> bool {
        self.is_leader() && self.election.borrow().is_first_leader(Instant::now())
    }

    async fn read_from(
        &self,
        topic: Topic,
        from: &StorePosition,
        wait: Duration,
    ) -> Result<StorePosition, StoreError> {
        let start = self.evacuations.borrow().begin_read();
        let sent = self.boot_time();
        let page = self.store.read(topic, from.clone(), wait).await?;
        if topic == Topic::Operator {
            self.apply_evacuations(&page.records, page.next, start);
            self.tell_evacuations().await;
        }
        let got_records = !page.records.is_empty();
        let digest = self.directory.borrow().digest();
        for record in page.records {
            self.apply_record(topic, record);
        }
        if topic == Topic::Operator && page.next == page.end {
            self.record_operator_read(sent);
        }
        if got_records {
            let has_news = self.directory.borrow().digest() != digest;
            monoio::time::sleep(batch_delay(topic, has_news)).await;
        }
        Ok(StorePosition {
            era: from.era.clone(),
            offset: page.next,
        })
    }

    /// Tells the other daemons of zones to be emptied or taken back, if this one has read of them.
    async fn tell_evacuations(&self) {
        if self.has_evacuation_news.take() {
            self.broadcast_announcement().await;
        }
    }

    fn apply_record(&self, topic: Topic, record: KeyedRecord) {
        let Some(value) = record.value else {
            if topic == Topic::Operator && operator::is_config(&record.key) {
                self.record_config_fate(record.offset, ConfigFate::Rejected);
            }
            return;
        };
        match topic {
            Topic::Operator => self.apply_operator_record(&record.key, &value, record.offset),
            Topic::Mesh => self.apply_mesh_record(&record.key, &value),
            Topic::Reports => {}
        }
    }

    fn apply_operator_record(&self, key: &str, value: &Bytes, offset: Offset) {
        match operator::decode(key, value, offset) {
            Ok(OperatorRecord::Config) => {
                let fate = self.adopt_config(value, "store", || self.config_for_peers(value));
                self.record_config_fate(offset, fate);
            }
            Ok(OperatorRecord::Order(order)) => self.begin_move(order),
            // Zones to be emptied are told by all records of a read together.
            Ok(OperatorRecord::Evacuation(_) | OperatorRecord::Other) => {}
            Err(reason) => {
                self.log_state(
                    "order-unreadable",
                    || json!({ "key": key, "reason": reason }),
                );
            }
        }
    }

    fn record_config_fate(&self, offset: Offset, fate: ConfigFate) {
        self.knowledge.borrow_mut().record_config(offset, fate);
    }

    /// Returns a configuration in the form that daemons send to each other; empty if it has none.
    fn config_for_peers(&self, value: &Bytes) -> Bytes {
        match operator::without_keys(value) {
            Ok(value) => compression::compress_config(&value),
            Err(reason) => {
                self.log_state(
                    "config-unreadable",
                    || json!({ "source": "store", "reason": reason }),
                );
                Bytes::new()
            }
        }
    }

    fn apply_mesh_record(&self, key: &str, value: &Bytes) {
        match codec::decode::<Record>(value) {
            Ok(Record::Member(member)) => {
                let revision = member.full_revision();
                self.stored_members
                    .borrow_mut()
                    .record(&member.daemon, revision);
                if self.merge_member(member.clone(), "store") == Merge::Newer {
                    self.pending_members.borrow_mut().push(member);
                }
            }
            Ok(Record::Move(record)) => self.merge_move(record, MoveSource::Store),
            Ok(Record::Quarantined(record)) => self.merge_stored_quarantine(record),
            Ok(Record::Departure(record)) => self.merge_departure(&record),
            Err(e) => {
                self.log_state(
                    "record-unreadable",
                    || json!({ "key": key, "reason": e.to_string() }),
                );
            }
        }
    }
}
