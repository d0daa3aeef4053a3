//! Tasks that follow the topics of the store where this daemon leads its zone, and fetch from other
//! daemons what they know better.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::Offset;
use bytes::Bytes;
use http_edge::Request;
use mesh::directory::Merge;
use mesh::wire::Member;
use mesh::wire::Record;
use platform::Backoff;
use platform::BackoffCfg;
use protocol::codec;
use report::metrics::LogRequest;
use serde_json::json;
use users_platform::StoreError;
use users_platform::Topic;
use users_platform::operator;
use users_platform::operator::OperatorRecord;
use users_platform::records::KeyedRecord;

use crate::forward::CONFIG_PATH;
use crate::forward::MEMBERS_PATH;
use crate::node::Node;
use crate::node::Shared;
use crate::packed;

/// How long the store holds a read without news. The two leads of a zone cost a dozen calls a minute
/// with it.
const WAIT: Duration = Duration::from_secs(10);

/// How often a daemon that follows looks whether it has to lead; a tenth of the life of a claim.
const ROLE_EVERY: Duration = Duration::from_millis(100);

/// Pause after news of members, so that announcements that come together are read together; meanwhile gossip
/// carries them.
const GATHER_MEMBERS: Duration = Duration::from_millis(700);

/// Pause after a configuration; in a storm only the newest counts, and one has to be in force within
/// two seconds.
const GATHER_CONFIGS: Duration = Duration::from_millis(300);

/// How often a daemon looks whether another one knows something better; small against the two seconds
/// in which a configuration must be in force.
const RELAY_EVERY: Duration = Duration::from_millis(50);

/// Longest time for the configuration or the members from another daemon: half of those two seconds.
const RELAY_TIME: Duration = Duration::from_secs(1);

/// Pauses after failures of the store. The first is short, since entries have to be back within
/// two seconds of its return.
pub const BACKOFF: BackoffCfg = BackoffCfg {
    initial_delay: Duration::from_millis(100),
    max_delay: Duration::from_secs(1),
};

/// Follows a topic for as long as the daemon runs: reads it once, and goes on while the daemon leads
/// its zone.
pub async fn follow(node: Shared, topic: Topic) {
    let mut backoff = Backoff::new(BACKOFF, node.random());
    let mut from: Option<Offset> = None;
    let mut is_reached = true;
    loop {
        if from.is_some() && !node.is_leader() {
            monoio::time::sleep(ROLE_EVERY).await;
            if node.is_leader() {
                // The newest records are fewer than those that were passed over.
                from = None;
            }
            continue;
        }
        let read = match from {
            None => node.read_newest(topic).await,
            Some(from) => node.read_on(topic, from).await,
        };
        node.metrics.record_log_request(LogRequest::Read);
        let is_served = matches!(read, Ok(_) | Err(StoreError::Expired(_)));
        let now = Instant::now();
        node.election.borrow_mut().record_store_call(is_served, now);
        match read {
            Ok(next) => {
                if !is_reached {
                    node.log_state(
                        "store-regained",
                        || json!({ "topic": format!("{topic:?}") }),
                    );
                }
                is_reached = true;
                from = Some(next);
                backoff = Backoff::new(BACKOFF, node.random());
            }
            Err(StoreError::Expired(first)) => {
                node.log_state(
                    "records-expired",
                    || json!({ "topic": format!("{topic:?}"), "from": from, "first": first }),
                );
                from = None;
            }
            Err(e) => {
                if is_reached {
                    node.log_state(
                        "store-lost",
                        || json!({ "topic": format!("{topic:?}"), "reason": e.to_string() }),
                    );
                }
                is_reached = false;
                monoio::time::sleep(backoff.next_delay()).await;
            }
        }
    }
}

/// Fetches from other daemons what they told that they know better.
pub async fn relay(node: Shared) {
    loop {
        monoio::time::sleep(RELAY_EVERY).await;
        if let Some(address) = node.config_from.take()
            && let Some(packed) = node.fetch(address, CONFIG_PATH).await
            && !packed.is_empty()
        {
            match packed::unpack(&packed) {
                Ok(bytes) => node.adopt_config(&bytes, "daemon", || packed),
                Err(e) => node.log_state(
                    "config-unreadable",
                    || json!({ "source": "daemon", "from": address, "reason": e.to_string() }),
                ),
            }
        }
        if let Some(address) = node.members_from.take()
            && let Some(bytes) = node.fetch(address, MEMBERS_PATH).await
        {
            node.take_members(&bytes);
        }
    }
}

fn gathering(topic: Topic) -> Duration {
    match topic {
        Topic::Mesh => GATHER_MEMBERS,
        Topic::Operator | Topic::Reports => GATHER_CONFIGS,
    }
}

impl Node {
    async fn read_newest(&self, topic: Topic) -> Result<Offset, StoreError> {
        let newest = self.store.newest(topic).await?;
        for record in newest.records {
            self.take_record(topic, record);
        }
        if topic == Topic::Mesh {
            self.has_members.set(true);
            self.member_news.borrow_mut().clear();
        }
        Ok(newest.end)
    }

    async fn read_on(&self, topic: Topic, from: Offset) -> Result<Offset, StoreError> {
        let page = self.store.read(topic, from, WAIT).await?;
        let got_records = !page.records.is_empty();
        for record in page.records {
            self.take_record(topic, record);
        }
        if got_records {
            monoio::time::sleep(gathering(topic)).await;
        }
        Ok(page.next)
    }

    async fn fetch(&self, from: SocketAddr, path: &str) -> Option<Bytes> {
        let failed = |reason: String| {
            self.log_state(
                "fetch-failed",
                || json!({ "from": from, "path": path, "reason": reason }),
            );
        };
        let mut conn = match self.inner.take(from).await {
            Ok(conn) => conn,
            Err(e) => {
                failed(e.to_string());
                return None;
            }
        };
        match conn.call(Request::get(path), RELAY_TIME).await {
            Ok(res) => {
                self.inner.put(conn);
                Some(res.body)
            }
            Err(e) => {
                failed(e.to_string());
                None
            }
        }
    }

    fn take_members(&self, bytes: &Bytes) {
        match codec::decode::<Vec<Member>>(bytes) {
            Ok(members) => {
                for member in members {
                    self.learn_member(member, "daemon");
                }
                self.has_members.set(true);
            }
            Err(e) => self.log_state("members-unreadable", || json!({ "reason": e.to_string() })),
        }
    }

    fn take_record(&self, topic: Topic, record: KeyedRecord) {
        let Some(value) = record.value else {
            return;
        };
        match topic {
            Topic::Operator => self.take_operator_record(&record.key, &value, record.offset),
            Topic::Mesh => self.take_mesh_record(&record.key, &value),
            Topic::Reports => {}
        }
    }

    fn take_operator_record(&self, key: &str, value: &Bytes, offset: Offset) {
        match operator::decode(key, value, offset) {
            Ok(OperatorRecord::Config) => {
                self.adopt_config(value, "store", || packed::pack(value));
            }
            Ok(OperatorRecord::Order(order)) => self.begin_move(order),
            Ok(OperatorRecord::Other) => {}
            Err(reason) => {
                self.log_state(
                    "order-unreadable",
                    || json!({ "key": key, "reason": reason }),
                );
            }
        }
    }

    fn take_mesh_record(&self, key: &str, value: &Bytes) {
        match codec::decode::<Record>(value) {
            Ok(Record::Member(member)) => {
                if self.learn_member(member.clone(), "store") == Merge::Newer {
                    self.member_news.borrow_mut().push(member);
                }
            }
            Ok(Record::Move(record)) => self.learn_move(record, "store"),
            Err(e) => {
                self.log_state(
                    "record-unreadable",
                    || json!({ "key": key, "reason": e.to_string() }),
                );
            }
        }
    }
}
