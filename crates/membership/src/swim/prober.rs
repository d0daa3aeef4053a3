//! State of probing: the current probe, the order of targets and the relayed pings.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Instant;

use base::DaemonId;

use super::table::Table;
use crate::message::Identity;
use crate::rng::Rng;

/// Maximum number of pending relayed pings of a helper.
const MAX_RELAYS: usize = 64;

/// Maximum number of members that wait for an early probe.
const MAX_URGENT: usize = 16;

/// The current probe, the targets of the next ones and the pings relayed for other members.
#[derive(Debug)]
pub struct Prober {
    round: Vec<DaemonId>,
    urgent: VecDeque<DaemonId>,
    probe: Option<Probe>,
    relays: VecDeque<Relay>,
    seq: u32,
}

/// One probe.
#[derive(Debug, Clone)]
pub struct Probe {
    /// Member that is probed.
    pub target: Identity,
    /// Sequence number, echoed in the answer.
    pub seq: u32,
    /// Time at which the indirect probes start.
    pub indirect_at: Instant,
    /// Progress of the probe.
    pub stage: Stage,
}

/// Progress of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The target was pinged; no answer yet.
    Direct,
    /// Helpers were asked to ping the target; none answered yet.
    Indirect,
    /// A helper reported that it got no answer either.
    NackReceived,
}

/// Meaning of a received ack.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AckKind {
    /// The target of the current probe answered directly.
    Direct(DaemonId),
    /// A helper reached the target of the current probe.
    ViaHelper(DaemonId),
    /// The ping was relayed for another member: its address and its sequence number.
    Relayed(SocketAddr, u32),
    /// The ack matches no pending ping.
    Unknown,
}

#[derive(Debug)]
struct Relay {
    seq: u32,
    origin: SocketAddr,
    origin_seq: u32,
    expires: Instant,
}

impl Prober {
    /// Creates a prober whose first sequence number follows `seq`.
    #[must_use]
    pub fn new(seq: u32) -> Self {
        Self {
            round: Vec::new(),
            urgent: VecDeque::new(),
            probe: None,
            relays: VecDeque::new(),
            seq,
        }
    }

    /// Schedules a member for an early probe.
    pub fn prioritize(&mut self, daemon: &DaemonId) {
        if self.urgent.len() < MAX_URGENT && !self.urgent.contains(daemon) {
            self.urgent.push_back(daemon.clone());
        }
    }

    /// Returns the next member to probe: early probes first, then shuffled rounds over all members.
    pub fn next_target(&mut self, table: &Table, rng: &mut Rng) -> Option<Identity> {
        while let Some(daemon) = self.urgent.pop_front() {
            if let Some(member) = table.get(&daemon) {
                return Some(member.identity());
            }
        }
        if self.round.is_empty() {
            self.round = table.members().iter().map(|it| it.daemon.clone()).collect();
            rng.shuffle(&mut self.round);
        }
        while let Some(daemon) = self.round.pop() {
            if let Some(member) = table.get(&daemon) {
                return Some(member.identity());
            }
        }
        None
    }

    /// Starts a probe and returns its sequence number.
    pub fn begin(&mut self, target: Identity, indirect_at: Instant) -> u32 {
        let seq = self.next_seq();
        self.probe = Some(Probe {
            target,
            seq,
            indirect_at,
            stage: Stage::Direct,
        });
        seq
    }

    /// Takes the current probe, to conclude or to drop it.
    pub fn finish(&mut self) -> Option<Probe> {
        self.probe.take()
    }

    /// Returns the current probe if its indirect probes are due, and marks it [`Stage::Indirect`].
    pub fn start_indirect(&mut self, now: Instant) -> Option<Probe> {
        let probe = self.probe.as_mut()?;
        if probe.stage != Stage::Direct || now < probe.indirect_at {
            return None;
        }
        probe.stage = Stage::Indirect;
        Some(probe.clone())
    }

    /// Registers a ping relayed for another member and returns its sequence number; `None` when too
    /// many are pending.
    pub fn add_relay(
        &mut self,
        origin: SocketAddr,
        origin_seq: u32,
        expires: Instant,
    ) -> Option<u32> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let seq = self.next_seq();
        self.relays.push_back(Relay {
            seq,
            origin,
            origin_seq,
            expires,
        });
        Some(seq)
    }

    /// Takes a relayed ping that got no answer in time: the address and the sequence number of its
    /// origin.
    pub fn pop_expired_relay(&mut self, now: Instant) -> Option<(SocketAddr, u32)> {
        let first = self.relays.front()?;
        if now < first.expires {
            return None;
        }
        let relay = self.relays.pop_front()?;
        Some((relay.origin, relay.origin_seq))
    }

    /// Matches an ack to the current probe or to a relayed ping.
    pub fn on_ack(&mut self, from: &DaemonId, seq: u32) -> AckKind {
        if let Some(probe) = self.probe.take_if(|it| it.seq == seq) {
            let target = probe.target.daemon;
            if target == *from {
                return AckKind::Direct(target);
            }
            return AckKind::ViaHelper(target);
        }
        let Some(at) = self.relays.iter().position(|it| it.seq == seq) else {
            return AckKind::Unknown;
        };
        match self.relays.remove(at) {
            Some(relay) => AckKind::Relayed(relay.origin, relay.origin_seq),
            None => AckKind::Unknown,
        }
    }

    /// Records that a helper got no answer, which shows that this member reaches the helper.
    pub fn on_nack(&mut self, seq: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|it| it.seq == seq) {
            probe.stage = Stage::NackReceived;
        }
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }
}
