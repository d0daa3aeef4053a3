//! Announces this daemon and its local instance to the other daemons, by gossip and in the store.

use std::time::Duration;
use std::time::Instant;

use mesh::health::Alarm;
use mesh::wire::InstanceInfo;
use mesh::wire::Member;
use mesh::wire::Record;
use platform::Backoff;
use protocol::codec;
use report::metrics::LogRequest;
use serde_json::json;
use users_platform::Topic;

use crate::node::Node;
use crate::node::SharedNode;
use crate::store_sync::BACKOFF;

/// Interval between checks for changes to announce; small against the one second within which other
/// daemons must know that an instance leaves.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Prefix of the keys of member records in the mesh topic.
const MEMBER_KEY_PREFIX: &str = "member/";

/// Announces each change of this daemon's member record until the process ends.
pub async fn announce(node: SharedNode) {
    let mut backoff = Backoff::new(BACKOFF, node.random());
    let mut stored_revision: Option<(u64, u64)> = None;
    let mut sent_revision: Option<(u64, u64)> = None;
    let mut alarm = Alarm::default();
    let mut last_failure: Option<(Instant, Duration)> = None;
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        node.refresh_own_member();
        let Some(member) = node.own_member() else {
            continue;
        };
        let own_revision = (member.incarnation, member.revision);
        let failures = node.dispatcher.failures(Instant::now());
        let is_alarm = alarm.should_notify(failures);
        if is_alarm {
            node.log_state(
                "instance-fails",
                || json!({ "failures_permille": failures }),
            );
        }
        if is_alarm || sent_revision != Some(own_revision) {
            sent_revision = Some(own_revision);
            node.broadcast_announcement().await;
        }
        let is_paused = last_failure.is_some_and(|(at, pause)| at.elapsed() < pause);
        if stored_revision == Some(own_revision) || is_paused || !node.has_loaded_members.get() {
            continue;
        }
        let key = format!("{MEMBER_KEY_PREFIX}{}", member.daemon);
        let value = codec::encode(&Record::Member(member));
        node.metrics.record_log_request(LogRequest::Append);
        match node.store.put(Topic::Mesh, &key, &value).await {
            Ok(offset) => {
                stored_revision = Some(own_revision);
                last_failure = None;
                backoff = Backoff::new(BACKOFF, node.random());
                node.log_state(
                    "announced",
                    || json!({ "revision": own_revision.1, "offset": offset }),
                );
            }
            Err(e) => {
                if last_failure.is_none() {
                    node.log_state("announcement-failed", || json!({ "reason": e.to_string() }));
                }
                last_failure = Some((Instant::now(), backoff.next_delay()));
            }
        }
    }
}

impl Node {
    /// Returns this daemon's member record, or `None` before the first one is built.
    pub fn own_member(&self) -> Option<Member> {
        let name = self.name();
        let directory = self.directory.borrow();
        directory.get(&name).map(|entry| entry.member.clone())
    }

    /// Replaces this daemon's member record with a higher revision if its incarnation, instance or
    /// open state changed.
    pub fn refresh_own_member(&self) {
        let previous = self.own_member();
        let revision = previous.as_ref().map_or(0, |member| member.revision);
        let incarnation = self.incarnation.get();
        let current = self.build_announcement(revision);
        let is_same = previous.as_ref().is_some_and(|previous| {
            previous.incarnation == incarnation
                && previous.is_open == current.is_open
                && is_same_instance(previous.instance.as_ref(), current.instance.as_ref())
        });
        if is_same {
            return;
        }
        let member = Member {
            revision: revision + 1,
            ..current
        };
        let mut directory = self.directory.borrow_mut();
        directory.merge(member, Instant::now());
    }

    fn build_announcement(&self, revision: u64) -> Member {
        let boot = self.boot.borrow();
        let local = self.local.borrow();
        let serving = local.serving(boot.heartbeat_interval, Instant::now());
        Member {
            daemon: boot.daemon.clone(),
            incarnation: self.incarnation.get(),
            revision,
            address: (boot.ip, boot.daemon_ports.0).into(),
            zone: boot.zone.clone(),
            instance: serving.map(|heartbeat| InstanceInfo {
                id: heartbeat.id.clone(),
                born: heartbeat.born,
                service: heartbeat.service.clone(),
                version: heartbeat.version.clone(),
                slots: heartbeat.slots,
                cold_left: heartbeat.cold_left,
            }),
            is_open: !self.closing.is_set(),
        }
    }
}

fn is_same_instance(a: Option<&InstanceInfo>, b: Option<&InstanceInfo>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => {
            a.id == b.id
                && a.born == b.born
                && a.service == b.service
                && a.version == b.version
                && a.slots == b.slots
        }
        (None, None) => true,
        _ => false,
    }
}
