//! Tells the other daemons of this one and of the instance beside it.

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

use crate::follow::BACKOFF;
use crate::node::Node;
use crate::node::Shared;

/// How often the daemon looks whether there is something new to tell; small against the second in which
/// others must know of an instance that leaves.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Beginning of the keys of members in the daemons' own topic.
const MEMBER_KEY: &str = "member/";

/// Announces changes for as long as the daemon runs.
pub async fn announce(node: Shared) {
    let mut backoff = Backoff::new(BACKOFF, node.random());
    let mut stored: Option<(u64, u64)> = None;
    let mut told: Option<(u64, u64)> = None;
    let mut alarm = Alarm::default();
    let mut failed: Option<(Instant, Duration)> = None;
    loop {
        monoio::time::sleep(LOOK_EVERY).await;
        node.refresh_own_member();
        let Some(member) = node.own_member() else {
            continue;
        };
        let order = (member.incarnation, member.revision);
        let failures = node.gate.failures(Instant::now());
        let is_alarm = alarm.should_notify(failures);
        if is_alarm {
            node.log_state(
                "instance-fails",
                || json!({ "failures_permille": failures }),
            );
        }
        if is_alarm || told != Some(order) {
            told = Some(order);
            node.tell_all().await;
        }
        let is_paused = failed.is_some_and(|(at, pause)| at.elapsed() < pause);
        if stored == Some(order) || is_paused || !node.has_members.get() {
            continue;
        }
        let key = format!("{MEMBER_KEY}{}", member.daemon);
        let value = codec::encode(&Record::Member(member));
        node.metrics.record_log_request(LogRequest::Append);
        match node.store.put(Topic::Mesh, &key, &value).await {
            Ok(offset) => {
                stored = Some(order);
                failed = None;
                backoff = Backoff::new(BACKOFF, node.random());
                node.log_state(
                    "announced",
                    || json!({ "revision": order.1, "offset": offset }),
                );
            }
            Err(e) => {
                if failed.is_none() {
                    node.log_state("announcement-failed", || json!({ "reason": e.to_string() }));
                }
                failed = Some((Instant::now(), backoff.next_delay()));
            }
        }
    }
}

impl Node {
    /// This daemon's announcement, once there is one.
    pub fn own_member(&self) -> Option<Member> {
        let name = self.name();
        let directory = self.directory.borrow();
        directory.get(&name).map(|entry| entry.member.clone())
    }

    /// Makes a new announcement of this daemon when something changed.
    pub fn refresh_own_member(&self) {
        let known = self.own_member();
        let revision = known.as_ref().map_or(0, |member| member.revision);
        let incarnation = self.incarnation.get();
        let fresh = self.describe_self(revision);
        let is_same = known.as_ref().is_some_and(|known| {
            known.incarnation == incarnation
                && known.is_open == fresh.is_open
                && same_instance(known.instance.as_ref(), fresh.instance.as_ref())
        });
        if is_same {
            return;
        }
        let member = Member {
            revision: revision + 1,
            ..fresh
        };
        let mut directory = self.directory.borrow_mut();
        directory.merge(member, Instant::now());
    }

    fn describe_self(&self, revision: u64) -> Member {
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

fn same_instance(one: Option<&InstanceInfo>, other: Option<&InstanceInfo>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => {
            one.id == other.id
                && one.born == other.born
                && one.service == other.service
                && one.version == other.version
                && one.slots == other.slots
        }
        (None, None) => true,
        _ => false,
    }
}
