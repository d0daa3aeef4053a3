//! Probing in shuffled rounds, directly and through helpers.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Instant;

use base::DaemonId;

use super::table::Table;
use crate::message::Identity;
use crate::rng::Rng;

/// Most relayed pings that a helper keeps in mind.
const MAX_RELAYS: usize = 64;

/// Most members that wait for a probe out of turn.
const MAX_URGENT: usize = 16;

/// The probe under way, the order of the next ones and the pings made for others.
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
    /// Who should answer.
    pub target: Identity,
    /// Number that the answer echoes.
    pub seq: u32,
    /// When helpers are asked.
    pub helpers_at: Instant,
    /// How far it has come.
    pub stage: Stage,
}

/// How far a probe has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The target was pinged.
    Direct,
    /// Helpers were asked too; none answered yet.
    Helped,
    /// A helper says that it got no answer either.
    HelperHeard,
}

/// What an acknowledgement means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AckMeans {
    /// The target of the probe answered itself.
    Direct(DaemonId),
    /// A helper reached the target.
    ThroughHelper(DaemonId),
    /// The ping was made for another member, which should hear of it.
    Relayed(SocketAddr, u32),
    /// It belongs to no ping that is remembered.
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
    /// A prober whose sequence numbers start at `seq`.
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

    /// Has a member probed out of turn.
    pub fn hurry(&mut self, daemon: &DaemonId) {
        if self.urgent.len() < MAX_URGENT && !self.urgent.contains(daemon) {
            self.urgent.push_back(daemon.clone());
        }
    }

    /// The next member to probe: out of turn first, then by shuffled rounds over all.
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

    /// Begins a probe and returns its sequence number.
    pub fn begin(&mut self, target: Identity, helpers_at: Instant) -> u32 {
        let seq = self.next_seq();
        self.probe = Some(Probe {
            target,
            seq,
            helpers_at,
            stage: Stage::Direct,
        });
        seq
    }

    /// Takes the probe under way, to judge or to drop it.
    pub fn finish(&mut self) -> Option<Probe> {
        self.probe.take()
    }

    /// The probe under way when it is time to ask helpers; it is marked as helped.
    pub fn needs_helpers(&mut self, now: Instant) -> Option<Probe> {
        let probe = self.probe.as_mut()?;
        if probe.stage != Stage::Direct || now < probe.helpers_at {
            return None;
        }
        probe.stage = Stage::Helped;
        Some(probe.clone())
    }

    /// Remembers a ping made for another member and returns its sequence number.
    pub fn relay(&mut self, origin: SocketAddr, origin_seq: u32, expires: Instant) -> Option<u32> {
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

    /// Takes a relayed ping that got no answer in time.
    pub fn expired_relay(&mut self, now: Instant) -> Option<(SocketAddr, u32)> {
        let first = self.relays.front()?;
        if now < first.expires {
            return None;
        }
        let relay = self.relays.pop_front()?;
        Some((relay.origin, relay.origin_seq))
    }

    /// Sorts out an acknowledgement.
    pub fn on_ack(&mut self, from: &DaemonId, seq: u32) -> AckMeans {
        if let Some(probe) = self.probe.take_if(|it| it.seq == seq) {
            let target = probe.target.daemon;
            if target == *from {
                return AckMeans::Direct(target);
            }
            return AckMeans::ThroughHelper(target);
        }
        let Some(at) = self.relays.iter().position(|it| it.seq == seq) else {
            return AckMeans::Unknown;
        };
        match self.relays.remove(at) {
            Some(relay) => AckMeans::Relayed(relay.origin, relay.origin_seq),
            None => AckMeans::Unknown,
        }
    }

    /// A helper got no answer, so at least the helper can be heard.
    pub fn on_nack(&mut self, seq: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|it| it.seq == seq) {
            probe.stage = Stage::HelperHeard;
        }
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }
}
