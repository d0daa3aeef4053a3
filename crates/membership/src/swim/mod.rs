//! Failure detection and gossip, based on the SWIM protocol.
//!
//! Each member probes one other member per period, in shuffled rounds, and probes through helpers
//! before it suspects the target. Updates are piggybacked on the probes and sent in gossip rounds
//! within a byte budget, so the cost per member does not grow with the number of members.
//! Infrequent digest exchanges with a random peer repair lost gossip. They also try the addresses
//! of dead members, so that the two sides of a partition merge again after it heals.

mod anti_entropy;
mod config;
mod health;
mod join;
mod prober;
mod probing;
mod queue;
mod table;
mod updates;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;
use base::Incarnation;

pub use self::config::SwimConfig;
use self::health::LocalHealth;
use self::join::Join;
use self::prober::Prober;
use self::queue::UpdateQueue;
use self::table::Table;
use crate::member::Member;
use crate::member::MemberState;
use crate::member::UpstreamInfo;
use crate::message::Body;
use crate::message::MAX_DATAGRAM;
use crate::message::Message;
use crate::message::Update;
use crate::rng::Rng;

/// Number of members that a leaving member notifies immediately.
const LEAVE_FANOUT: usize = 8;

/// Interval between removals of expired tombstones and lost addresses.
const EXPIRY_PERIOD: Duration = Duration::from_secs(1);

/// Action for the task that owns the sockets, or an event for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Message to encode and send.
        message: Message,
    },
    /// The record, state or quarantine of a member changed, or it was removed.
    MemberChanged(DaemonId),
    /// Send [`Swim::sync_request`] over TCP and pass the reply to [`Swim::on_sync_reply`].
    Sync {
        /// Address of the peer to sync with.
        with: SocketAddr,
    },
    /// An earlier process of this name had a higher incarnation; this member now uses the given
    /// one.
    IncarnationRaised(Incarnation),
    /// A later process uses this name at another address; this process should stop.
    Superseded,
}

/// State machine of one member, with its view of the fleet.
#[derive(Debug)]
pub struct Swim {
    cfg: SwimConfig,
    me: Member,
    table: Table,
    queue: UpdateQueue,
    prober: Prober,
    suspects: BTreeMap<DaemonId, Instant>,
    indirect_acks: FastMap<DaemonId, u8>,
    health: LocalHealth,
    join: Join,
    rng: Rng,
    next_probe: Instant,
    next_gossip: Instant,
    next_digest: Instant,
    next_expiry: Instant,
}

impl Swim {
    /// Creates a member that knows only itself. `seeds` are the addresses through which it joins;
    /// `seed` initializes the random numbers for jitter and shuffling.
    #[must_use]
    pub fn new(cfg: SwimConfig, me: Member, seeds: &[SocketAddr], seed: u64, now: Instant) -> Self {
        let mut rng = Rng::new(seed);
        Self {
            queue: UpdateQueue::new(cfg.update_bytes_per_second, now),
            prober: Prober::new(0),
            table: Table::default(),
            suspects: BTreeMap::new(),
            indirect_acks: FastMap::default(),
            health: LocalHealth::new(now),
            join: Join::new(seeds, me.address, &mut rng, now),
            next_probe: now + rng.jitter(cfg.period),
            next_gossip: now,
            next_digest: now + rng.jitter(cfg.digest_interval),
            next_expiry: now,
            rng,
            cfg,
            me,
        }
    }

    /// Performs the work that is due. The caller ticks several times in each period.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Output> {
        let mut out = Vec::new();
        self.check_for_stall(now);
        self.expire(now);
        if self.me.state == MemberState::Alive {
            self.expire_suspects(now, &mut out);
            self.step_relays(now, &mut out);
            self.step_probe(now, &mut out);
            self.step_join(now, &mut out);
            self.step_digest(now, &mut out);
        }
        self.step_gossip(now, &mut out);
        out
    }

    /// Handles one datagram. Messages of another wire version are dropped.
    pub fn on_message(&mut self, from: SocketAddr, message: Message, now: Instant) -> Vec<Output> {
        let mut out = Vec::new();
        if message.wire != protocol::WIRE_VERSION || message.from.daemon == self.me.daemon {
            return out;
        }
        self.check_for_stall(now);
        self.on_sender(from, &message.from, now, &mut out);
        let version = (self.me.incarnation, self.me.version);
        for update in message.updates {
            self.apply(update, now, &mut out);
        }
        let refuted = version != (self.me.incarnation, self.me.version);
        let extras = if refuted {
            vec![self.self_update()]
        } else {
            Vec::new()
        };
        match message.body {
            Body::Ping { seq, target } => {
                self.on_ping(from, seq, &target, extras, now, &mut out);
                self.join_via(from, now, &mut out);
            }
            Body::PingReq {
                seq,
                target,
                address,
            } => self.on_ping_req(from, seq, target, address, now, &mut out),
            Body::Ack { seq } => self.on_ack(&message.from.daemon, seq, now, &mut out),
            Body::Nack { seq } => self.prober.on_nack(seq),
            Body::Gossip => {}
            Body::DigestAsk(digest) => self.on_digest_ask(from, &digest, now, &mut out),
            Body::DigestAnswer { digest, coverage } => {
                self.on_digest_answer(from, &digest, coverage, now, &mut out);
            }
        }
        out
    }

    /// Announces that this member leaves, immediately to a few members and then by gossip. The
    /// caller continues to tick for a few periods so that the gossip spreads.
    pub fn leave(&mut self, now: Instant) -> Vec<Output> {
        let mut out = Vec::new();
        self.me.state = MemberState::Left;
        let leave_update = Update::about(&self.me);
        self.queue.push(leave_update.clone());
        for _ in 0..LEAVE_FANOUT.min(self.table.members().len()) {
            if let Some(to) = self.random_member_address() {
                self.send(to, Body::Gossip, vec![leave_update.clone()], now, &mut out);
            }
        }
        out
    }

    /// Publishes the local upstream of this member; `None` when there is none.
    pub fn set_upstream(&mut self, upstream: Option<UpstreamInfo>) {
        if self.me.upstream == upstream {
            return;
        }
        self.me.upstream = upstream;
        self.me.version += 1;
        self.queue.push(Update::about(&self.me));
    }

    /// Schedules an early probe of a member that another part of the daemon cannot reach.
    pub fn report_unreachable(&mut self, daemon: &DaemonId) {
        self.prober.prioritize(daemon);
    }

    /// Returns this member's own record.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the other members that are alive or suspect, in no particular order.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        self.table.members()
    }

    /// Returns the record of one other member that is alive or suspect.
    #[must_use]
    pub fn member(&self, daemon: &DaemonId) -> Option<&Member> {
        self.table.get(daemon)
    }

    /// Whether this member has received a member list from a peer, or has no seeds to join through.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.join.is_joined()
    }

    /// Whether only other members can reach this peer, so that this daemon should not rely on it.
    #[must_use]
    pub fn is_quarantined(&self, daemon: &DaemonId) -> bool {
        self.indirect_acks.get(daemon) >= Some(&self.cfg.quarantine_after)
    }

    fn check_for_stall(&mut self, now: Instant) {
        let gap = self.health.record_run(&self.cfg, now);
        if gap > Duration::ZERO {
            // The expected ack may still be in this process's own receive buffer.
            self.prober.finish();
            self.next_probe = self.next_probe.max(now);
            self.extend_suspicions(gap);
        }
    }

    fn expire(&mut self, now: Instant) {
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = now + EXPIRY_PERIOD;
        self.table.expire(
            now.checked_sub(self.cfg.tombstone_ttl),
            now.checked_sub(self.cfg.lost_address_ttl),
        );
    }

    fn self_update(&self) -> Update {
        Update::Full(self.me.clone())
    }

    fn random_member_address(&mut self) -> Option<SocketAddr> {
        let members = self.table.members();
        let at = self.rng.below(members.len());
        members.get(at).map(|it| it.address)
    }

    /// Sends a message with `extras` and as many queued updates as fit.
    fn send(
        &mut self,
        to: SocketAddr,
        body: Body,
        extras: Vec<Update>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let from = self.me.identity();
        let used: usize = extras.iter().map(Update::size).sum();
        let room = MAX_DATAGRAM.saturating_sub(Message::base_size(&from, &body) + used);
        let retransmits = self.cfg.retransmits(self.table.members().len());
        let mut updates = extras;
        updates.extend(self.queue.take(room, retransmits, now));
        let message = Message::new(from, body, updates);
        out.push(Output::Send { to, message });
    }

    fn step_gossip(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now < self.next_gossip {
            return;
        }
        self.next_gossip = now + self.cfg.gossip_interval;
        for _ in 0..self.cfg.gossip_fanout {
            if self.queue.is_empty() {
                return;
            }
            if let Some(to) = self.random_member_address() {
                self.send(to, Body::Gossip, Vec::new(), now, out);
            }
        }
    }
}
