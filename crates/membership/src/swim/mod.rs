//! Failure detection and gossip after the SWIM protocol.
//!
//! Each member probes one other in each period, in shuffled rounds, and asks helpers before it
//! suspects. News rides on the probes and on short gossip rounds within a byte budget, so that the
//! cost per member does not depend on the number of members. Digests with a random peer at a slow
//! pace cure what gossip lost, and also try the addresses of lost members, so that the two sides of
//! a partition find each other again.

mod anti_entropy;
mod config;
mod health;
mod join;
mod news;
mod probe;
mod probing;
mod queue;
mod table;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;
use base::Incarnation;

pub use self::config::SwimConfig;
use self::health::Health;
use self::join::Join;
use self::probe::Prober;
use self::queue::Queue;
use self::table::Table;
use crate::member::Member;
use crate::member::MemberState;
use crate::member::UpstreamInfo;
use crate::message::Body;
use crate::message::MAX_DATAGRAM;
use crate::message::Message;
use crate::message::Update;
use crate::rng::Rng;

/// Members that a leaving one tells at once.
const LEAVE_FANOUT: usize = 8;

/// Time between two clean-ups of tombstones and lost addresses.
const EXPIRY_PERIOD: Duration = Duration::from_secs(1);

/// What the task that owns the sockets has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Receiver.
        to: SocketAddr,
        /// Its content.
        message: Message,
    },
    /// The record, the state or the quarantine of a member changed.
    MemberChanged(DaemonId),
    /// Fetch differing members over TCP, then call [`Swim::on_sync_reply`].
    Sync {
        /// Whom to ask.
        with: SocketAddr,
    },
    /// An earlier process of this name had a higher incarnation; this is the new one.
    IncarnationRaised(Incarnation),
    /// A later process runs under this name at another address; this one should stop.
    Superseded,
}

/// One member's view of the fleet.
#[derive(Debug)]
pub struct Swim {
    cfg: SwimConfig,
    me: Member,
    table: Table,
    queue: Queue,
    prober: Prober,
    suspects: BTreeMap<DaemonId, Instant>,
    helped: FastMap<DaemonId, u8>,
    health: Health,
    join: Join,
    rng: Rng,
    next_probe: Instant,
    next_gossip: Instant,
    next_digest: Instant,
    next_expiry: Instant,
}

impl Swim {
    /// Starts a member that knows only itself. `seed` feeds jitter and shuffling.
    #[must_use]
    pub fn new(cfg: SwimConfig, me: Member, seeds: &[SocketAddr], seed: u64, now: Instant) -> Self {
        let mut rng = Rng::new(seed);
        Self {
            queue: Queue::new(cfg.update_bytes_per_second, now),
            prober: Prober::new(0),
            table: Table::default(),
            suspects: BTreeMap::new(),
            helped: FastMap::default(),
            health: Health::new(now),
            join: Join::new(seeds, me.address, &mut rng, now),
            next_probe: now + rng.jitter(cfg.period),
            next_gossip: now,
            next_digest: now + rng.jitter(cfg.digest_every),
            next_expiry: now,
            rng,
            cfg,
            me,
        }
    }

    /// Does what is due. Call this several times in each period.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Output> {
        let mut out = Vec::new();
        self.note_running(now);
        self.expire(now);
        if self.me.state == MemberState::Alive {
            self.judge_suspects(now, &mut out);
            self.step_relays(now, &mut out);
            self.step_probe(now, &mut out);
            self.step_join(now, &mut out);
            self.step_digest(now, &mut out);
        }
        self.step_gossip(now, &mut out);
        out
    }

    /// Takes in one datagram.
    pub fn on_message(&mut self, from: SocketAddr, message: Message, now: Instant) -> Vec<Output> {
        let mut out = Vec::new();
        if message.wire != protocol::WIRE_VERSION || message.from.daemon == self.me.daemon {
            return out;
        }
        self.note_running(now);
        self.note_sender(from, &message.from, now, &mut out);
        let version = (self.me.incarnation, self.me.version);
        for update in message.updates {
            self.apply(update, now, &mut out);
        }
        let refuted = version != (self.me.incarnation, self.me.version);
        let extras = if refuted {
            vec![self.introduction()]
        } else {
            Vec::new()
        };
        match message.body {
            Body::Ping { seq, target } => {
                self.on_ping(from, seq, &target, extras, now, &mut out);
                self.join_through(from, now, &mut out);
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

    /// Says that this member goes: at once to a few members, and on with the gossip. Go on ticking
    /// for a few periods.
    pub fn leave(&mut self, now: Instant) -> Vec<Output> {
        let mut out = Vec::new();
        self.me.state = MemberState::Left;
        let news = Update::about(&self.me);
        self.queue.push(news.clone());
        for _ in 0..LEAVE_FANOUT.min(self.table.members().len()) {
            if let Some(to) = self.random_member() {
                self.send(to, Body::Gossip, vec![news.clone()], now, &mut out);
            }
        }
        out
    }

    /// Announces the upstream beside this member, or that there is none any more.
    pub fn set_upstream(&mut self, upstream: Option<UpstreamInfo>) {
        if self.me.upstream == upstream {
            return;
        }
        self.me.upstream = upstream;
        self.me.version += 1;
        self.queue.push(Update::about(&self.me));
    }

    /// Has a member probed soon, since another part of the daemon cannot reach it.
    pub fn report_unreachable(&mut self, daemon: &DaemonId) {
        self.prober.hurry(daemon);
    }

    /// This member's own record.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The other members that are alive or suspect, in no particular order.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        self.table.members()
    }

    /// One other member.
    #[must_use]
    pub fn member(&self, daemon: &DaemonId) -> Option<&Member> {
        self.table.get(daemon)
    }

    /// Whether the member list was had from somebody, or there is nobody to ask.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.join.is_joined()
    }

    /// Whether only others can reach the member, so that nothing should rely on it from here.
    #[must_use]
    pub fn is_quarantined(&self, daemon: &DaemonId) -> bool {
        self.helped.get(daemon) >= Some(&self.cfg.half_open_after)
    }

    fn note_running(&mut self, now: Instant) {
        let gap = self.health.run(&self.cfg, now);
        if gap > Duration::ZERO {
            // What this member waited for may lie in its own buffers.
            self.prober.finish();
            self.next_probe = self.next_probe.max(now);
            self.delay_verdicts(gap);
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

    fn introduction(&self) -> Update {
        Update::Full(self.me.clone())
    }

    fn random_member(&mut self) -> Option<SocketAddr> {
        let members = self.table.members();
        let at = self.rng.below(members.len());
        members.get(at).map(|it| it.address)
    }

    /// Sends a message with `extras` and as much news as fits.
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
        self.next_gossip = now + self.cfg.gossip_every;
        for _ in 0..self.cfg.gossip_fanout {
            if self.queue.is_empty() {
                return;
            }
            if let Some(to) = self.random_member() {
                self.send(to, Body::Gossip, Vec::new(), now, out);
            }
        }
    }
}
