//! Datagrams between daemons: announcements of members, loads, evidence and moves.
//!
//! They carry news while the store is away or turns some machines away, and tell that a daemon
//! still lives.

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
use crate::node::Shared;

/// Time between two rounds; with one random receiver of each daemon, a configuration that one daemon
/// of a hundred has reaches all within ten rounds.
const ROUND: Duration = Duration::from_millis(250);

/// How often a daemon that leads its zone looks for news to tell at once: a fifth of a round.
const LEAD_EVERY: Duration = Duration::from_millis(50);

/// Time between two messages of evidence to the controller of a move, which is what a bad version
/// costs at least.
const EVIDENCE_EVERY: Duration = Duration::from_millis(100);

/// Other members that a datagram tells of: with them a fleet of a hundred is told of within a minute,
/// besides what is told at once.
const CARRIED: usize = 2;

/// Members that a datagram tells of when the store told of them; fits one packet.
const NEWS: usize = 6;

/// Largest datagram, in bytes; fits one packet.
const MAX_DATAGRAM: usize = 1400;

/// Sends rounds for as long as the daemon runs.
pub async fn send(node: Shared) {
    loop {
        monoio::time::sleep(ROUND).await;
        let gossip = node.gossip(node.random_members(CARRIED));
        let receivers = node.random_members(1);
        let addresses = receivers.iter().map(|member| member.address);
        node.send_gossip(&gossip, addresses).await;
    }
}

/// Tells the zone that this daemon leads it, and what the store told, for as long as it does.
pub async fn lead(node: Shared) {
    let mut is_claimed = false;
    let mut told = (0, Vec::new());
    let mut told_at = Instant::now();
    loop {
        monoio::time::sleep(LEAD_EVERY).await;
        let is_leading = node.claim().is_some();
        if is_leading != is_claimed {
            is_claimed = is_leading;
            node.log_state(
                "lead-changed",
                || json!({ "leads": is_claimed, "failing": node.election.borrow().is_store_failing(Instant::now()) }),
            );
        }
        let news = node.member_news.take();
        if !is_leading {
            continue;
        }
        let state = (node.tables.borrow().version(), node.move_precedences());
        if told == state && news.is_empty() && told_at.elapsed() < ROUND {
            continue;
        }
        told = state;
        told_at = Instant::now();
        let receivers = node.led();
        // Without news, one datagram carries the claim.
        let parts = news
            .chunks(NEWS)
            .chain(news.is_empty().then_some([].as_slice()));
        for part in parts {
            let gossip = node.gossip(part.to_vec());
            node.send_gossip(&gossip, receivers.iter().copied()).await;
        }
    }
}

/// Sends evidence to the controller while a move is under way.
pub async fn send_evidence(node: Shared) {
    loop {
        monoio::time::sleep(EVIDENCE_EVERY).await;
        if let Some(address) = node.evidence_to() {
            node.send_gossip(&node.gossip(Vec::new()), [address]).await;
        }
    }
}

/// Receives for as long as the daemon runs.
pub async fn receive(node: Shared) {
    let mut buf = vec![0; MAX_DATAGRAM * 2];
    loop {
        let (returned, len, from) = node.datagrams.receive(buf).await;
        buf = returned;
        let Ok(gossip) = codec::decode::<Gossip>(&buf[..len]) else {
            log::warn!("gossip: unreadable datagram from {from}");
            continue;
        };
        if gossip.wants_reply {
            node.send_gossip(&node.gossip(Vec::new()), [from]).await;
        }
        node.take_gossip(gossip, from);
    }
}

impl Node {
    /// Sends one message to several daemons. One that does not fit a datagram goes without what others
    /// carry as well.
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

    /// Asks the daemon at an address for a sign of life.
    pub async fn ask_for_life(&self, address: SocketAddr) {
        let question = Gossip {
            wants_reply: true,
            ..self.gossip(Vec::new())
        };
        self.send_gossip(&question, [address]).await;
    }

    /// Sends this daemon's announcement to all members.
    pub async fn tell_all(&self) {
        let addresses = self.addresses(|_| true);
        self.send_gossip(&self.gossip(Vec::new()), addresses).await;
    }

    /// Daemons that this one tells that it leads: its zone, and all while it decides on a move.
    fn led(&self) -> Vec<SocketAddr> {
        let zone = self.boot.borrow().zone.clone();
        let is_deciding = self.is_moving() && self.is_controller();
        self.addresses(|member| is_deciding || member.zone == zone)
    }

    fn addresses(&self, is_wanted: impl Fn(&Member) -> bool) -> Vec<SocketAddr> {
        let me = self.name();
        let directory = self.directory.borrow();
        directory
            .entries()
            .map(|entry| &entry.member)
            .filter(|member| member.daemon != me && is_wanted(member))
            .map(|member| member.address)
            .collect()
    }

    /// A datagram about this daemon and some other members.
    fn gossip(&self, others: Vec<Member>) -> Gossip {
        let mut members: Vec<Member> = self.own_member().into_iter().collect();
        members.extend(others);
        let moves = self.moves.borrow();
        let evidence = self.is_moving().then(|| self.gate.evidence(self));
        Gossip {
            members,
            config: self.tables.borrow().version(),
            load: self.gate.load(),
            failures: self.gate.failures(Instant::now()),
            evidence: evidence.flatten(),
            moves: moves.records().cloned().collect(),
            claim: self.claim(),
            wants_reply: false,
        }
    }

    fn take_gossip(&self, gossip: Gossip, from: SocketAddr) {
        let Some(sender) = gossip.members.first().map(|member| member.daemon.clone()) else {
            return;
        };
        for member in gossip.members {
            self.learn_member(member, "gossip");
        }
        self.hear(&sender);
        self.take_claim(&sender, gossip.claim, from);
        if let Some(evidence) = gossip.evidence {
            self.canary
                .borrow_mut()
                .merge(&sender, evidence, Instant::now());
        }
        for record in gossip.moves {
            self.learn_move(record, "gossip");
        }
        self.note_config(gossip.config, from);
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

    fn take_claim(&self, sender: &DaemonId, claim: Option<Claim>, from: SocketAddr) {
        let members = self.directory.borrow().digest();
        let mut election = self.election.borrow_mut();
        let is_behind = if let Some(claim) = claim {
            election.record_claim(sender, claim, members, Instant::now())
        } else {
            election.remove_claim(sender);
            false
        };
        if is_behind || !self.has_members.get() {
            self.members_from.set(Some(from));
        }
    }

    /// Some other members, at random.
    fn random_members(&self, count: usize) -> Vec<Member> {
        let me = self.name();
        let directory = self.directory.borrow();
        let mut others: Vec<&Entry> = directory
            .entries()
            .filter(|entry| entry.member.daemon != me)
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
