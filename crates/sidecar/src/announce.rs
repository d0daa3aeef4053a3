//! Announces this daemon and its local instance to the other daemons, by gossip and in the store.

use std::time::Duration;
use std::time::Instant;

use base::Offset;
use mesh::election::strength;
use mesh::health::Alarm;
use mesh::stored_members::SentAnnouncement;
use mesh::stored_members::WriteStep;
use mesh::stored_members::ZoneView;
use mesh::stored_members::next_step;
use mesh::wire::InstanceInfo;
use mesh::wire::Member;
use mesh::wire::MemberRevision;
use mesh::wire::Record;
use platform::Backoff;
use protocol::codec;
use report::metrics::LogRequest;
use serde_json::json;
use users_platform::StoreError;
use users_platform::Topic;

use crate::node::Node;
use crate::node::SharedNode;
use crate::store_sync::BACKOFF;

/// Interval between checks for changes to announce; small against the one second within which other
/// daemons must know that an instance leaves.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Prefix of the keys of member records in the mesh topic.
const MEMBER_KEY_PREFIX: &str = "member/";

/// Interval at which the first leader of a zone writes the announcements that the store lacks.
const ZONE_WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Most announcements in one call to the store.
const MAX_BATCH_RECORDS: usize = 500;

/// Announces each change of this daemon's member record until the process ends.
pub async fn announce(node: SharedNode) {
    let mut backoff = Backoff::new(BACKOFF, node.random());
    let mut sent: Option<SentAnnouncement> = None;
    let mut alarm = Alarm::default();
    let mut last_failure: Option<(Instant, Duration)> = None;
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        node.refresh_own_member();
        let Some(member) = node.own_member() else {
            continue;
        };
        if !node.has_loaded_members.get() {
            continue;
        }
        let revision = member.full_revision();
        let failures = node.dispatcher.failures(Instant::now());
        let is_alarm = alarm.should_notify(failures);
        if is_alarm {
            node.log_state(
                "instance-fails",
                || json!({ "failures_permille": failures }),
            );
        }
        let is_new = sent.is_none_or(|sent| sent.revision != revision);
        if is_new {
            let at = Instant::now();
            sent = Some(SentAnnouncement { revision, at });
        }
        if is_alarm || is_new {
            node.broadcast_announcement().await;
        }
        let is_paused = last_failure.is_some_and(|(at, pause)| at.elapsed() < pause);
        let since_sent = sent.map_or(Duration::ZERO, |sent| sent.at.elapsed());
        if is_paused || node.next_write_step(&member, since_sent) == WriteStep::Wait {
            continue;
        }
        match node.store_members(&[member]).await {
            Ok(offset) => {
                last_failure = None;
                backoff = Backoff::new(BACKOFF, node.random());
                node.log_state(
                    "announced",
                    || json!({ "revision": revision.1, "offset": offset }),
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

/// While this daemon is the first leader of its zone, writes the zone's announcements that the store
/// lacks. Runs until the process ends.
pub async fn write_for_zone(node: SharedNode) {
    let mut backoff = Backoff::new(BACKOFF, node.random());
    loop {
        monoio::time::sleep(ZONE_WRITE_INTERVAL).await;
        let missing = node.missing_announcements();
        if missing.is_empty() {
            continue;
        }
        match node.store_members(&missing).await {
            Ok(offset) => {
                backoff = Backoff::new(BACKOFF, node.random());
                node.log_state(
                    "zone-announced",
                    || json!({ "members": missing.len(), "offset": offset }),
                );
                let confirmations = missing.iter().map(|member| MemberRevision {
                    daemon: member.daemon.clone(),
                    revision: member.full_revision(),
                });
                let mut pending = node.pending_confirmations.borrow_mut();
                pending.extend(confirmations);
            }
            Err(e) => {
                node.election
                    .borrow_mut()
                    .record_store_call(false, Instant::now());
                node.log_state(
                    "announcement-failed",
                    || json!({ "members": missing.len(), "reason": e.to_string() }),
                );
                monoio::time::sleep(backoff.next_delay()).await;
            }
        }
    }
}

impl Node {
    /// Appends announcements to the store in one call and returns the offset of the first.
    async fn store_members(&self, members: &[Member]) -> Result<Offset, StoreError> {
        let records: Vec<(String, Vec<u8>)> = members
            .iter()
            .map(|member| {
                let key = format!("{MEMBER_KEY_PREFIX}{}", member.daemon);
                let value = codec::encode(&Record::Member(member.clone()));
                (key, value.to_vec())
            })
            .collect();
        let borrowed: Vec<(&str, &[u8])> = records
            .iter()
            .map(|(key, value)| (key.as_str(), value.as_slice()))
            .collect();
        self.metrics.record_log_request(LogRequest::Append);
        let offset = self.store.put_all(Topic::Mesh, &borrowed).await?;
        let mut stored = self.stored_members.borrow_mut();
        for member in members {
            stored.record(&member.daemon, member.full_revision());
        }
        Ok(offset)
    }

    /// Returns the announcements that this daemon must write for its zone.
    fn missing_announcements(&self) -> Vec<Member> {
        let is_writer =
            self.claim().is_some() && self.election.borrow().is_first_leader(Instant::now());
        if !is_writer {
            return Vec::new();
        }
        let directory = self.directory.borrow();
        let zone = self.boot.borrow().zone.clone();
        self.stored_members
            .borrow()
            .missing(&directory, &zone, MAX_BATCH_RECORDS)
    }

    fn next_write_step(&self, own: &Member, since_sent: Duration) -> WriteStep {
        let is_stored = self
            .stored_members
            .borrow()
            .contains(&own.daemon, own.full_revision());
        next_step(self.zone_view(), is_stored, since_sent)
    }

    fn zone_view(&self) -> ZoneView {
        let now = Instant::now();
        let directory = self.directory.borrow();
        let mut members = directory.entries().map(|entry| &entry.member);
        let (zone, own_name) = (self.boot.borrow().zone.clone(), self.name());
        if !members.any(|member| member.zone == zone && member.daemon != own_name) {
            return ZoneView::Alone;
        }
        let election = self.election.borrow();
        if election.has_other_leader(now) || election.is_first_leader(now) {
            ZoneView::HasLeader
        } else {
            ZoneView::NoLeader
        }
    }

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
                && previous.leaving == current.leaving
                && is_same_instance(previous.instance.as_ref(), current.instance.as_ref())
        });
        if is_same {
            return;
        }
        let member = Member {
            revision: revision.saturating_add(1),
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
            leaving: local.leaving(),
            is_open: !self.closing.is_set(),
            strength: strength(boot.cpu_permille, boot.link_mbps),
            link_mbps: boot.link_mbps,
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
