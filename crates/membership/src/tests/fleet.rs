//! Simulates several members in one process, with message loss, pauses and kills.

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

/// Simulated time between two ticks.
pub const STEP: Duration = Duration::from_millis(100);

/// Steps in one protocol period.
pub const PERIOD: usize = 10;

/// A member with the state of its process and its undelivered messages.
pub struct Node {
    pub swim: Swim,
    pub process: ProcessState,
    inbox: Vec<(SocketAddr, Message)>,
}

/// State of the simulated process of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    Running,
    /// Messages are delivered after it resumes.
    Paused,
    /// Messages are lost.
    Killed,
}

/// Counts of sent messages and requested syncs.
#[derive(Debug, Default)]
pub struct Sent {
    /// Datagrams other than gossip.
    pub messages: u64,
    /// Number of syncs requested from each member.
    pub syncs_requested: BTreeMap<SocketAddr, u64>,
}

pub struct Fleet {
    pub nodes: BTreeMap<SocketAddr, Node>,
    pub sent: Sent,
    /// Lost messages per thousand.
    pub loss: usize,
    /// Whether messages from the first address reach the second.
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

    /// Starts members `0..count`, the first two as seeds, and runs until all know each other.
    pub fn joined(count: u16, seed: u64) -> Self {
        let mut fleet = Self::new(seed);
        for number in 0..count {
            fleet.start(super::member(number, "a"));
        }
        let limit = 60 * PERIOD;
        let steps = fleet.steps_until(limit, |it| it.all_know(usize::from(count)));
        assert!(steps < limit, "{count} members did not all join");
        fleet
    }

    pub fn start(&mut self, me: Member) {
        let seeds = [super::member(0, "a").address, super::member(1, "a").address];
        let address = me.address;
        let seed = self.rng.next_u64();
        let node = Node {
            swim: Swim::new(self.cfg.clone(), me, &seeds, seed, self.now),
            process: ProcessState::Running,
            inbox: Vec::new(),
        };
        self.nodes.insert(address, node);
    }

    pub fn set_process(&mut self, number: u16, process: ProcessState) {
        self.node(number).process = process;
    }

    pub fn node(&mut self, number: u16) -> &mut Node {
        let address = super::member(number, "a").address;
        self.nodes.get_mut(&address).expect("member exists")
    }

    pub fn running(&self) -> impl Iterator<Item = &Swim> {
        let nodes = self.nodes.values();
        nodes
            .filter(|it| it.process == ProcessState::Running)
            .map(|it| &it.swim)
    }

    /// Whether every running member knows `count` members, itself included, all alive.
    pub fn all_know(&self, count: usize) -> bool {
        self.running().all(|it| {
            let alive = |it: &&Member| it.state == MemberState::Alive;
            it.members().iter().filter(alive).count() + 1 == count
        })
    }

    /// Whether some running member lists `daemon` as suspect or not at all.
    pub fn is_suspected_or_gone(&self, daemon: &DaemonId) -> bool {
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

    /// Ticks all members, then delivers the waiting messages, member by member in random order. An
    /// answer takes up to one step.
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
            .filter(|it| it.process == ProcessState::Running)
            .map_or_else(Vec::new, |it| it.swim.on_tick(now))
    }

    fn deliver(&mut self, address: SocketAddr) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&address) else {
            return;
        };
        if node.process != ProcessState::Running {
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
            && node.process != ProcessState::Killed
        {
            node.inbox.push((from, message));
        }
    }

    fn sync(&mut self, from: SocketAddr, with: SocketAddr) {
        *self.sent.syncs_requested.entry(with).or_default() += 1;
        let req = self.nodes[&from].swim.sync_request();
        let Some(peer) = self.nodes.get(&with) else {
            return;
        };
        if peer.process != ProcessState::Running || !(self.link)(from, with) {
            return;
        }
        let reply = peer.swim.on_sync_request(&req);
        let now = self.now;
        let node = self
            .nodes
            .get_mut(&from)
            .expect("the requesting member exists");
        let outputs = node.swim.on_sync_reply(reply, now);
        self.carry_out(from, outputs);
    }
}
