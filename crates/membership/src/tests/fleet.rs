//! Drives several members through one queue of messages, with loss, pauses and kills.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;

use crate::member::Member;
use crate::member::MemberState;
use crate::message::Body;
use crate::message::Message;
use crate::rng::Rng;
use crate::swim::Output;
use crate::swim::Swim;
use crate::swim::SwimConfig;

pub const STEP: Duration = Duration::from_millis(100);

/// Steps in one protocol period.
pub const PERIOD: usize = 10;

/// A member with its process state.
pub struct Node {
    pub swim: Swim,
    pub running: Running,
    inbox: Vec<(SocketAddr, Message)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Running {
    Yes,
    /// Messages wait until it runs again.
    Paused,
    /// Messages are lost.
    Killed,
}

/// What was sent.
#[derive(Debug, Default)]
pub struct Sent {
    /// Datagrams other than gossip.
    pub messages: u64,
    /// Syncs by the member that served them.
    pub served: BTreeMap<SocketAddr, u64>,
}

pub struct Fleet {
    pub nodes: BTreeMap<SocketAddr, Node>,
    pub sent: Sent,
    /// Messages of a thousand that are lost.
    pub loss: usize,
    /// Whether messages between the two addresses pass.
    pub link: fn(SocketAddr, SocketAddr) -> bool,
    pub now: Instant,
    pub rng: Rng,
    pub cfg: SwimConfig,
}

impl Fleet {
    pub fn new(seed: u64) -> Self {
        Self {
            nodes: BTreeMap::new(),
            sent: Sent::default(),
            loss: 0,
            link: |_, _| true,
            now: Instant::now(),
            rng: Rng::new(seed),
            cfg: SwimConfig::default(),
        }
    }

    /// Members `0..count`, the first two of them seeds, run until all know each other.
    pub fn joined(count: u16, seed: u64) -> Self {
        let mut fleet = Self::new(seed);
        for number in 0..count {
            fleet.start(super::member(number, "a"));
        }
        let limit = 60 * PERIOD;
        let steps = fleet.steps_until(limit, |it| it.all_know(usize::from(count)));
        assert!(steps < limit, "{count} members did not find each other");
        fleet
    }

    pub fn start(&mut self, me: Member) {
        let seeds = [super::member(0, "a").address, super::member(1, "a").address];
        let address = me.address;
        let seed = self.rng.next_u64();
        let node = Node {
            swim: Swim::new(self.cfg.clone(), me, &seeds, seed, self.now),
            running: Running::Yes,
            inbox: Vec::new(),
        };
        self.nodes.insert(address, node);
    }

    pub fn set(&mut self, number: u16, running: Running) {
        self.node(number).running = running;
    }

    pub fn node(&mut self, number: u16) -> &mut Node {
        let address = super::member(number, "a").address;
        self.nodes.get_mut(&address).expect("a member")
    }

    pub fn running(&self) -> impl Iterator<Item = &Swim> {
        let nodes = self.nodes.values();
        nodes
            .filter(|it| it.running == Running::Yes)
            .map(|it| &it.swim)
    }

    /// Whether every running member knows `count` members, itself included, all alive.
    pub fn all_know(&self, count: usize) -> bool {
        self.running().all(|it| {
            let alive = |it: &&Member| it.state == MemberState::Alive;
            it.members().iter().filter(alive).count() + 1 == count
        })
    }

    /// Whether some running member takes `daemon` for suspect or gone.
    pub fn is_accused(&self, daemon: &DaemonId) -> bool {
        self.running()
            .filter(|it| it.me().daemon != *daemon)
            .any(|it| {
                it.member(daemon)
                    .is_none_or(|it| it.state != MemberState::Alive)
            })
    }

    pub fn steps_until(&mut self, limit: usize, done: impl Fn(&Self) -> bool) -> usize {
        (0..limit)
            .find(|_| {
                let done = done(self);
                if !done {
                    self.step();
                }
                done
            })
            .unwrap_or(limit)
    }

    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
        }
    }

    /// Ticks all, then delivers what waits, in random order. An answer takes up to one step.
    pub fn step(&mut self) {
        self.now += STEP;
        let mut addresses: Vec<_> = self.nodes.keys().copied().collect();
        for address in &addresses {
            let outputs = self.tick(*address);
            self.carry_out(*address, outputs);
        }
        self.rng.shuffle(&mut addresses);
        for address in addresses {
            self.deliver(address);
        }
    }

    fn tick(&mut self, address: SocketAddr) -> Vec<Output> {
        let now = self.now;
        self.nodes
            .get_mut(&address)
            .filter(|it| it.running == Running::Yes)
            .map_or_else(Vec::new, |it| it.swim.on_tick(now))
    }

    fn deliver(&mut self, address: SocketAddr) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&address) else {
            return;
        };
        if node.running != Running::Yes {
            return;
        }
        let mut outputs = Vec::new();
        for (from, message) in std::mem::take(&mut node.inbox) {
            outputs.extend(node.swim.on_message(from, message, now));
        }
        self.carry_out(address, outputs);
    }

    fn carry_out(&mut self, from: SocketAddr, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(from, to, message),
                Output::Sync { with } => self.sync(from, with),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, message: Message) {
        let size = rmp_serde::to_vec(&message).expect("encodes").len();
        assert!(
            size <= crate::message::MAX_DATAGRAM,
            "{size} bytes: {message:?}"
        );
        if !matches!(message.body, Body::Gossip) {
            self.sent.messages += 1;
        }
        let lost = self.rng.below(1000) < self.loss || !(self.link)(from, to);
        if let Some(node) = self.nodes.get_mut(&to)
            && !lost
            && node.running != Running::Killed
        {
            node.inbox.push((from, message));
        }
    }

    fn sync(&mut self, from: SocketAddr, with: SocketAddr) {
        *self.sent.served.entry(with).or_default() += 1;
        let req = self.nodes[&from].swim.sync_request();
        let Some(peer) = self.nodes.get(&with) else {
            return;
        };
        if peer.running != Running::Yes || !(self.link)(from, with) {
            return;
        }
        let reply = peer.swim.on_sync_request(&req);
        let now = self.now;
        let node = self.nodes.get_mut(&from).expect("it asked");
        let outputs = node.swim.on_sync_reply(reply, now);
        self.carry_out(from, outputs);
    }
}
