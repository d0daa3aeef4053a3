//! Gossip datagrams between daemons: member records, load, canary evidence and moves.
//!
//! Gossip spreads changes while the store is down or rejects some machines, and shows that a daemon
//! is alive.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use mesh::balancer::ReportSource;
use mesh::election::Claim;
use mesh::quarantine::CrashReport;
use mesh::quarantine::Record;
use mesh::wire::Gossip;
use mesh::wire::GossipExtension;
use mesh::wire::LoadReport;
use mesh::wire::Member;
use mesh::wire::MemberLoad;
use mesh::wire::MemberRevision;
use protocol::codec;
use serde_json::json;

use crate::logs::EventClass;
use crate::move_controller::MoveSource;
use crate::node::Node;
use crate::node::SharedNode;

/// Time between two gossip rounds. In most rounds a daemon reports its load to the leaders of its
/// zone, which pass the loads of the zone on with their claims.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a zone leader checks for changes to send at once: a fifth of a round.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two messages of evidence to the controller of a move; a lower bound on the time for
/// which a bad version is served.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(100);

/// One round of this many goes to a random daemon of the fleet instead, so that announcements spread
/// also while the leaders fail.
const RANDOM_ROUND: u32 = 4;

/// Records of other members in the datagram of a random round.
const RELAYED_MEMBERS: usize = 2;

/// Daemons of each other zone that receive an announcement first and pass it on to their zone. The
/// second one counts when the first has just failed.
const RELAYS_PER_ZONE: usize = 2;

/// Daemons of its own zone that a leader asks to read for it, beside one of each other zone.
const READERS_IN_ZONE: usize = 3;

/// Age up to which a leader passes the report of an instance on.
const REPORT_MAX_AGE: Duration = Duration::from_millis(600);

/// Most reports of other instances in one datagram; they fit one packet with the sender's record.
const MAX_BATCH_LOADS: usize = 20;

/// Most member records from the store in one datagram; they fit one packet.
const MAX_BATCH_MEMBERS: usize = 6;

/// Largest datagram in bytes; fits one packet.
const MAX_DATAGRAM: usize = 1400;

/// Sends gossip rounds until the process ends.
pub async fn send_rounds(node: SharedNode) {
    let mut round = 0_u32;
    loop {
        monoio::time::sleep(ROUND_INTERVAL).await;
        round = round.wrapping_add(1);
        let leaders = node.zone_leader_addresses();
        if leaders.is_empty() || round.is_multiple_of(RANDOM_ROUND) {
            let gossip = node.build_gossip(node.random_members(RELAYED_MEMBERS));
            let receivers = node.random_members(1);
            let addresses = receivers.iter().map(|member| member.address);
            node.send_gossip(&gossip, addresses).await;
        } else {
            let report = node.with_question(node.build_gossip(Vec::new()));
            node.send_gossip(&report, leaders).await;
        }
    }
}

/// While this daemon is a leader, sends its claim and new records from the store to its zone.
pub async fn send_as_leader(node: SharedNode) {
    let mut was_leading = false;
    let mut sent_state = (0, Vec::new(), Vec::new());
    let mut sent_at = Instant::now();
    loop {
        monoio::time::sleep(LEADER_CHECK_INTERVAL).await;
        let is_leading = node.claim().is_some();
        if is_leading != was_leading {
            was_leading = is_leading;
            node.log_state("lead-changed", || {
                json!({
                    "leads": was_leading,
                    "failing": node.election.borrow().is_yielding(Instant::now()),
                })
            });
        }
        let new_members = node.pending_members.take();
        let stored = node.pending_confirmations.take();
        if !is_leading {
            continue;
        }
        let state = (
            node.active_table.borrow().version(),
            node.move_precedences(),
            node.evacuations.borrow().zones().to_vec(),
        );
        let has_news = sent_state != state || !new_members.is_empty() || !stored.is_empty();
        if !has_news && sent_at.elapsed() < ROUND_INTERVAL {
            continue;
        }
        let is_round = sent_at.elapsed() >= ROUND_INTERVAL;
        sent_state = state;
        sent_at = Instant::now();
        let receivers = node.claim_receivers();
        let loads = if is_round {
            node.zone_loads()
        } else {
            Vec::new()
        };
        for gossip in node.leader_datagrams(&new_members, &stored, &loads) {
            node.send_gossip(&gossip, receivers.iter().copied()).await;
        }
    }
}

/// Sends evidence to the controller while a move is open.
pub async fn send_evidence(node: SharedNode) {
    loop {
        monoio::time::sleep(EVIDENCE_INTERVAL).await;
        if let Some(address) = node.evidence_receiver() {
            let gossip = node.build_evidence(address);
            node.send_gossip(&gossip, [address]).await;
        }
    }
}

/// Receives and handles datagrams until the process ends.
pub async fn receive(node: SharedNode) {
    let mut buf = vec![0; MAX_DATAGRAM * 2];
    loop {
        let (returned, len, from) = node.datagrams.receive(buf).await;
        buf = returned;
        let Ok(gossip) = codec::decode::<Gossip>(&buf[..len]) else {
            log::warn!("gossip: cannot decode datagram from {from}");
            continue;
        };
        if gossip.wants_reply {
            let knowledge = gossip.extension.as_ref().and_then(|e| e.knowledge);
            let question = knowledge.and_then(|note| note.question);
            let reply = node.with_answer(node.build_gossip(Vec::new()), question);
            node.send_gossip(&reply, [from]).await;
        }
        // What is passed on shows the zones that this message tells of.
        let extension = gossip.extension.as_ref();
        if let Some(view) = extension.and_then(|extension| extension.evacuations.clone()) {
            node.merge_evacuations(view);
        }
        node.relay_if_wanted(&gossip, from).await;
        node.handle_gossip(gossip, from);
    }
}

impl Node {
    /// Sends one message to several daemons. If it exceeds a datagram, leaves out the evidence and
    /// the records of other members, which other datagrams carry too.
    pub(crate) async fn send_gossip(
        &self,
        gossip: &Gossip,
        to: impl IntoIterator<Item = SocketAddr>,
    ) {
        let mut datagram = codec::encode(gossip);
        if datagram.len() > MAX_DATAGRAM {
            let size = datagram.len();
            let now = Instant::now();
            self.event_log.emit(EventClass::Failure, "gossip-cut", now, || {
                json!({ "bytes": size, "members": gossip.members.len(), "moves": gossip.moves.len() })
            });
            datagram = codec::encode(&Gossip {
                members: gossip.members.iter().take(1).cloned().collect(),
                evidence: None,
                loads: Vec::new(),
                ..gossip.clone()
            });
        }
        for address in to {
            if let Err(e) = self.datagrams.send(datagram.clone(), address).await {
                let now = Instant::now();
                self.event_log.emit(
                    EventClass::Failure,
                    "gossip-unsent",
                    now,
                    || json!({ "to": address, "reason": e.to_string() }),
                );
            }
        }
    }

    /// Sends a gossip message that requests a reply, to check that the daemon at an address is
    /// alive.
    pub async fn send_probe(&self, address: SocketAddr) {
        let probe = Gossip {
            wants_reply: true,
            ..self.build_gossip(Vec::new())
        };
        self.send_gossip(&probe, [address]).await;
    }

    /// Asks some random daemons to read the operator's records from the store, and for a reply, which names the
    /// configuration version that they have.
    pub async fn send_read_request(&self) {
        let request = Gossip {
            wants_reply: true,
            wants_read: true,
            ..self.build_gossip(Vec::new())
        };
        let own_zone = self.boot.borrow().zone.clone();
        let mut readers = self.random_addresses_by_zone(1, |zone| *zone != own_zone);
        readers.extend(self.random_addresses_by_zone(READERS_IN_ZONE, |zone| *zone == own_zone));
        self.send_gossip(&request, readers).await;
    }

    /// Sends this daemon's member record to all daemons of its zone, and to a few of each other zone,
    /// which pass it on.
    pub async fn broadcast_announcement(&self) {
        self.broadcast(self.build_gossip(Vec::new())).await;
    }

    /// Sends the end of an instance, or quarantined requests, to all daemons as
    /// [`Self::broadcast_announcement`] does.
    pub async fn broadcast_quarantine(&self, crashes: Vec<CrashReport>, records: Vec<Record>) {
        let gossip = Gossip {
            crashes,
            quarantined: records,
            evidence: None,
            ..self.build_gossip(Vec::new())
        };
        self.broadcast(gossip).await;
    }

    async fn broadcast(&self, gossip: Gossip) {
        let zone = self.boot.borrow().zone.clone();
        let own_zone = self.addresses(|member| member.zone == zone);
        self.send_gossip(&gossip, own_zone).await;
        let relays = self.relay_addresses();
        let gossip = Gossip {
            wants_relay: true,
            ..gossip
        };
        self.send_gossip(&gossip, relays).await;
    }

    /// Returns the addresses of [`RELAYS_PER_ZONE`] random daemons of each other zone.
    fn relay_addresses(&self) -> Vec<SocketAddr> {
        let own_zone = self.boot.borrow().zone.clone();
        self.random_addresses_by_zone(RELAYS_PER_ZONE, |zone| *zone != own_zone)
    }

    /// Passes the announcement of a daemon in another zone on to this zone if it asks for that.
    async fn relay_if_wanted(&self, gossip: &Gossip, from: SocketAddr) {
        let Some(sender) = gossip.members.first().filter(|_| gossip.wants_relay) else {
            return;
        };
        let zone = self.boot.borrow().zone.clone();
        if sender.zone == zone {
            return;
        }
        let load = MemberLoad {
            daemon: sender.daemon.clone(),
            report: gossip.report,
            echo: None,
        };
        let relayed = Gossip {
            loads: vec![load],
            crashes: gossip.crashes.clone(),
            quarantined: gossip.quarantined.clone(),
            ..self.build_gossip(vec![sender.clone()])
        };
        let receivers = self.addresses(|member| member.zone == zone && member.address != from);
        self.send_gossip(&relayed, receivers).await;
    }

    /// Returns the recent reports of the instances of this zone, which their daemons sent here.
    fn zone_loads(&self) -> Vec<MemberLoad> {
        let zone = self.boot.borrow().zone.clone();
        let now = Instant::now();
        let directory = self.directory.borrow();
        let balancer = self.balancer.borrow();
        let in_zone = directory.entries().map(|entry| &entry.member);
        in_zone
            .filter(|member| member.zone == zone && member.instance.is_some())
            .filter_map(|member| {
                let report = balancer.direct_report(&member.daemon, REPORT_MAX_AGE, now)?;
                let daemon = member.daemon.clone();
                Some(MemberLoad {
                    echo: self.take_question(&daemon),
                    daemon,
                    report,
                })
            })
            .collect()
    }

    /// Returns the datagrams in which a leader sends its claim and what its zone lacks.
    fn leader_datagrams(
        &self,
        new_members: &[Member],
        stored: &[MemberRevision],
        loads: &[MemberLoad],
    ) -> Vec<Gossip> {
        let claim = || self.build_gossip(Vec::new());
        let members = new_members
            .chunks(MAX_BATCH_MEMBERS)
            .map(|batch| self.build_gossip(batch.to_vec()));
        let stored = stored.chunks(MAX_BATCH_LOADS).map(|batch| Gossip {
            stored: batch.to_vec(),
            ..claim()
        });
        let loads = loads.chunks(MAX_BATCH_LOADS).map(|batch| {
            let gossip = Gossip {
                loads: batch.to_vec(),
                ..claim()
            };
            self.with_answer(gossip, None)
        });
        let mut datagrams: Vec<Gossip> = members.chain(stored).chain(loads).collect();
        if datagrams.is_empty() {
            datagrams.push(claim());
        }
        datagrams
    }

    /// Returns the addresses that receive this daemon's claim: those of its zone, or of all daemons
    /// while it decides on a move.
    fn claim_receivers(&self) -> Vec<SocketAddr> {
        let zone = self.boot.borrow().zone.clone();
        let is_deciding = self.has_open_move() && self.is_controller();
        self.addresses(|member| is_deciding || member.zone == zone)
    }

    /// Builds a message about this daemon that carries the given records of other members.
    pub(crate) fn build_gossip(&self, others: Vec<Member>) -> Gossip {
        let mut members: Vec<Member> = self.own_member().into_iter().collect();
        members.extend(others);
        let (moves, clocks) = (self.moves.borrow(), self.order_clocks.borrow());
        let now = Instant::now();
        let evidence = self
            .has_open_move()
            .then(|| self.dispatcher.evidence_for_others(self));
        Gossip {
            members,
            config: self.active_table.borrow().version(),
            report: self.load_report(),
            evidence: evidence.flatten(),
            moves: moves
                .records()
                .map(|record| clocks.stamp(record, now))
                .collect(),
            claim: self.claim(),
            wants_reply: false,
            wants_relay: false,
            wants_read: false,
            loads: Vec::new(),
            stored: Vec::new(),
            crashes: self.crash_to_send(),
            quarantined: self.quarantined_to_send(),
            extension: self.gossip_extension(),
        }
    }

    /// Builds a message with evidence for the controller at `address`. The moves of other services are left out,
    /// so that it fits a datagram.
    fn build_evidence(&self, address: SocketAddr) -> Gossip {
        let mut gossip = self.build_gossip(Vec::new());
        gossip.evidence = self.dispatcher.evidence_for_controller(self, address);
        if let Some(evidence) = &gossip.evidence {
            let service = &evidence.service;
            gossip
                .moves
                .retain(|record| record.order.service == *service);
        }
        gossip
    }

    /// Returns what only some deployments exchange.
    fn gossip_extension(&self) -> Option<GossipExtension> {
        let evacuations = self.evacuations.borrow().view().cloned();
        evacuations.is_some().then_some(GossipExtension {
            evacuations,
            knowledge: None,
        })
    }

    fn handle_gossip(&self, gossip: Gossip, from: SocketAddr) {
        let Some(sender) = gossip.members.first() else {
            return;
        };
        let zone = sender.zone.clone();
        let (sender, incarnation) = (sender.daemon.clone(), sender.incarnation);
        for member in gossip.members {
            self.merge_member(member, "gossip");
        }
        self.record_contact(&sender);
        if gossip.wants_read {
            self.read_requests.is_requested.set(true);
        }
        self.handle_claim(&sender, gossip.claim, from);
        // Instances that are to get no requests do not speak for their version.
        if let Some(evidence) = gossip.evidence.filter(|_| !self.is_emptied(&zone)) {
            self.canary
                .borrow_mut()
                .merge(&sender, incarnation, evidence, Instant::now());
        }
        for record in gossip.moves {
            self.merge_move(record, MoveSource::Gossip);
        }
        self.record_config_version(gossip.config, from);
        if let Some(mut note) = gossip.extension.and_then(|e| e.knowledge) {
            // Answered directly.
            note.question = note.question.filter(|_| !gossip.wants_reply);
            self.handle_note(&sender, note, &gossip.loads, gossip.config);
        }
        self.merge_quarantine(gossip.crashes, gossip.quarantined);
        for MemberRevision { daemon, revision } in gossip.stored {
            self.stored_members.borrow_mut().record(&daemon, revision);
        }
        self.record_report(&sender, gossip.report, ReportSource::Direct);
        for MemberLoad { daemon, report, .. } in gossip.loads {
            self.record_report(&daemon, report, ReportSource::Relayed);
        }
    }

    fn record_report(&self, daemon: &DaemonId, report: LoadReport, source: ReportSource) {
        let directory = self.directory.borrow();
        if let Some(entry) = directory.get(daemon)
            && entry.member.instance.is_some()
        {
            let mut balancer = self.balancer.borrow_mut();
            balancer.record_report(entry, report, source, Instant::now());
        }
    }

    fn handle_claim(&self, sender: &DaemonId, claim: Option<Claim>, from: SocketAddr) {
        let members = self.directory.borrow().digest();
        let mut election = self.election.borrow_mut();
        let is_behind = if let Some(claim) = claim {
            election.record_claim(sender, claim, members, Instant::now())
        } else {
            election.remove_claim(sender);
            false
        };
        if is_behind || !self.has_loaded_members.get() {
            self.members_source.set(Some(from));
        }
    }
}
