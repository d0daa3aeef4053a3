//! Gossip datagrams between daemons: member records, load, canary evidence and moves.
//!
//! Gossip spreads changes while the store is down or rejects some machines, and shows that a daemon
//! is alive.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use mesh::directory::Entry;
use mesh::election::Claim;
use mesh::wire::Gossip;
use mesh::wire::Member;
use protocol::codec;
use serde_json::json;

use crate::logs::EventClass;
use crate::node::Node;
use crate::node::SharedNode;

/// Time between two gossip rounds. Each daemon sends to one random peer per round, so a
/// configuration known to one daemon of a hundred reaches all within ten rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a zone leader checks for changes to send at once: a fifth of a round.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two messages of evidence to the controller of a move; a lower bound on the time for
/// which a bad version is served.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(100);

/// Records of other members in each round's datagram. With two, every daemon of a fleet of a hundred
/// receives the records of all members within a minute, in addition to what leaders send at once.
const RELAYED_MEMBERS: usize = 2;

/// Most member records from the store in one datagram; they fit one packet.
const MAX_BATCH_MEMBERS: usize = 6;

/// Largest datagram in bytes; fits one packet.
const MAX_DATAGRAM: usize = 1400;

/// Sends gossip rounds until the process ends.
pub async fn send_rounds(node: SharedNode) {
    loop {
        monoio::time::sleep(ROUND_INTERVAL).await;
        let gossip = node.build_gossip(node.random_members(RELAYED_MEMBERS));
        let receivers = node.random_members(1);
        let addresses = receivers.iter().map(|member| member.address);
        node.send_gossip(&gossip, addresses).await;
    }
}

/// While this daemon is a leader, sends its claim and new records from the store to its zone.
pub async fn send_as_leader(node: SharedNode) {
    let mut was_leading = false;
    let mut sent_state = (0, Vec::new());
    let mut sent_at = Instant::now();
    loop {
        monoio::time::sleep(LEADER_CHECK_INTERVAL).await;
        let is_leading = node.claim().is_some();
        if is_leading != was_leading {
            was_leading = is_leading;
            node.log_state("lead-changed", || {
                json!({
                    "leads": was_leading,
                    "failing": node.election.borrow().is_store_failing(Instant::now()),
                })
            });
        }
        let new_members = node.pending_members.take();
        if !is_leading {
            continue;
        }
        let state = (
            node.active_table.borrow().version(),
            node.move_precedences(),
        );
        if sent_state == state && new_members.is_empty() && sent_at.elapsed() < ROUND_INTERVAL {
            continue;
        }
        sent_state = state;
        sent_at = Instant::now();
        let receivers = node.claim_receivers();
        // Without new members, one datagram carries the claim.
        let batches = new_members
            .chunks(MAX_BATCH_MEMBERS)
            .chain(new_members.is_empty().then_some([].as_slice()));
        for batch in batches {
            let gossip = node.build_gossip(batch.to_vec());
            node.send_gossip(&gossip, receivers.iter().copied()).await;
        }
    }
}

/// Sends evidence to the controller while a move is open.
pub async fn send_evidence(node: SharedNode) {
    loop {
        monoio::time::sleep(EVIDENCE_INTERVAL).await;
        if let Some(address) = node.evidence_receiver() {
            node.send_gossip(&node.build_gossip(Vec::new()), [address])
                .await;
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
            node.send_gossip(&node.build_gossip(Vec::new()), [from])
                .await;
        }
        node.handle_gossip(gossip, from);
    }
}

impl Node {
    /// Sends one message to several daemons. If it exceeds a datagram, leaves out the evidence and
    /// the records of other members, which other datagrams carry too.
    async fn send_gossip(&self, gossip: &Gossip, to: impl IntoIterator<Item = SocketAddr>) {
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

    /// Sends this daemon's member record to all known daemons.
    pub async fn broadcast_announcement(&self) {
        let addresses = self.addresses(|_| true);
        self.send_gossip(&self.build_gossip(Vec::new()), addresses)
            .await;
    }

    /// Returns the addresses that receive this daemon's claim: those of its zone, or of all daemons
    /// while it decides on a move.
    fn claim_receivers(&self) -> Vec<SocketAddr> {
        let zone = self.boot.borrow().zone.clone();
        let is_deciding = self.has_open_move() && self.is_controller();
        self.addresses(|member| is_deciding || member.zone == zone)
    }

    fn addresses(&self, predicate: impl Fn(&Member) -> bool) -> Vec<SocketAddr> {
        let own_name = self.name();
        let directory = self.directory.borrow();
        directory
            .entries()
            .map(|entry| &entry.member)
            .filter(|member| member.daemon != own_name && predicate(member))
            .map(|member| member.address)
            .collect()
    }

    /// Builds a message about this daemon that carries the given records of other members.
    fn build_gossip(&self, others: Vec<Member>) -> Gossip {
        let mut members: Vec<Member> = self.own_member().into_iter().collect();
        members.extend(others);
        let moves = self.moves.borrow();
        let evidence = self.has_open_move().then(|| self.dispatcher.evidence(self));
        Gossip {
            members,
            config: self.active_table.borrow().version(),
            load: self.dispatcher.load(),
            failures: self.dispatcher.failures(Instant::now()),
            evidence: evidence.flatten(),
            moves: moves.records().cloned().collect(),
            claim: self.claim(),
            wants_reply: false,
        }
    }

    fn handle_gossip(&self, gossip: Gossip, from: SocketAddr) {
        let Some(sender) = gossip.members.first().map(|member| member.daemon.clone()) else {
            return;
        };
        for member in gossip.members {
            self.merge_member(member, "gossip");
        }
        self.record_contact(&sender);
        self.handle_claim(&sender, gossip.claim, from);
        if let Some(evidence) = gossip.evidence {
            self.canary
                .borrow_mut()
                .merge(&sender, evidence, Instant::now());
        }
        for record in gossip.moves {
            self.merge_move(record, "gossip");
        }
        self.record_config_version(gossip.config, from);
        let directory = self.directory.borrow();
        if let Some(entry) = directory.get(&sender)
            && entry.member.instance.is_some()
        {
            let now = Instant::now();
            self.balancer
                .borrow_mut()
                .record_load(entry, gossip.load, gossip.failures, now);
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

    /// Returns up to `count` other members, chosen at random without repetition.
    fn random_members(&self, count: usize) -> Vec<Member> {
        let own_name = self.name();
        let directory = self.directory.borrow();
        let mut others: Vec<&Entry> = directory
            .entries()
            .filter(|entry| entry.member.daemon != own_name)
            .collect();
        let mut chosen = Vec::with_capacity(count);
        while chosen.len() < count && !others.is_empty() {
            let len = u64::try_from(others.len()).unwrap_or(1);
            let index = usize::try_from(self.random() % len).unwrap_or(0);
            chosen.push(others.swap_remove(index).member.clone());
        }
        chosen
    }
}
