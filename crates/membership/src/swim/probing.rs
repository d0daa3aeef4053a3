//! Steps of a probe: direct ping, indirect pings through helpers, conclusion.

use std::net::SocketAddr;
use std::time::Instant;

use base::DaemonId;

use super::Output;
use super::Swim;
use super::health::Assessment;
use super::prober::AckKind;
use super::prober::Probe;
use super::prober::Stage;
use super::table::Tombstone;
use crate::member::MemberState;
use crate::message::Body;
use crate::message::Identity;
use crate::message::Update;

impl Swim {
    /// Concludes the last probe and starts the next one, once per period.
    pub(super) fn step_probe(&mut self, now: Instant, out: &mut Vec<Output>) {
        if let Some(probe) = self.prober.start_indirect(now) {
            self.send_ping_reqs(&probe, now, out);
        }
        if now < self.next_probe {
            return;
        }
        self.next_probe += self.cfg.period;
        if let Some(probe) = self.prober.finish() {
            self.conclude_probe(&probe, now, out);
        }
        let Some(target) = self.prober.next_target(&self.table, &mut self.rng) else {
            return;
        };
        let seq = self
            .prober
            .begin(target.clone(), now + self.cfg.ack_timeout);
        self.ping(target, seq, now, out);
    }

    /// Sends a nack for each relayed ping whose target did not answer in time.
    pub(super) fn step_relays(&mut self, now: Instant, out: &mut Vec<Output>) {
        while let Some((to, seq)) = self.prober.pop_expired_relay(now) {
            self.send(to, Body::Nack { seq }, Vec::new(), now, out);
        }
    }

    pub(super) fn on_ping(
        &mut self,
        from: SocketAddr,
        seq: u32,
        target: &Identity,
        mut extras: Vec<Update>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        if *target != self.me.identity() && extras.is_empty() {
            extras.push(self.self_update());
        }
        let body = if target.daemon == self.me.daemon {
            Body::Ack { seq }
        } else {
            Body::Gossip
        };
        self.send(from, body, extras, now, out);
    }

    pub(super) fn on_ping_req(
        &mut self,
        from: SocketAddr,
        seq: u32,
        target: Identity,
        address: SocketAddr,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let expires = now + self.cfg.ack_timeout;
        if let Some(seq) = self.prober.add_relay(from, seq, expires) {
            self.send(address, Body::Ping { seq, target }, Vec::new(), now, out);
        }
    }

    pub(super) fn on_ack(
        &mut self,
        from: &DaemonId,
        seq: u32,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        match self.prober.on_ack(from, seq) {
            AckKind::Direct(target) => {
                self.health.on_probe_answered();
                self.on_direct_ack(target, out);
            }
            AckKind::ViaHelper(target) => {
                self.health.on_probe_answered();
                self.on_indirect_ack(target, out);
            }
            AckKind::Relayed(to, seq) => self.send(to, Body::Ack { seq }, Vec::new(), now, out),
            AckKind::Unknown => {}
        }
    }

    fn ping(&mut self, target: Identity, seq: u32, now: Instant, out: &mut Vec<Output>) {
        let Some(member) = self.table.get(&target.daemon) else {
            return;
        };
        let to = member.address;
        // A suspect learns of the suspicion with the ping and can refute it with the ack.
        let extras = if member.state == MemberState::Suspect {
            vec![Update::about(member)]
        } else {
            Vec::new()
        };
        self.send(to, Body::Ping { seq, target }, extras, now, out);
    }

    fn send_ping_reqs(&mut self, probe: &Probe, now: Instant, out: &mut Vec<Output>) {
        let Some(target) = self.table.get(&probe.target.daemon) else {
            return;
        };
        let address = target.address;
        for helper in self.pick_helpers(&probe.target.daemon) {
            let body = Body::PingReq {
                seq: probe.seq,
                target: probe.target.clone(),
                address,
            };
            self.send(helper, body, Vec::new(), now, out);
        }
    }

    fn pick_helpers(&mut self, target: &DaemonId) -> Vec<SocketAddr> {
        let members = self.table.members();
        let wanted = self.cfg.indirect_probes.min(members.len());
        let mut helpers = Vec::new();
        // More draws than needed compensate for duplicates and unsuitable members.
        for _ in 0..wanted * 4 {
            let member = &members[self.rng.below(members.len())];
            let fit = member.daemon != *target
                && member.state == MemberState::Alive
                && !helpers.contains(&member.address);
            if fit && helpers.len() < wanted {
                helpers.push(member.address);
            }
        }
        helpers
    }

    fn conclude_probe(&mut self, probe: &Probe, now: Instant, out: &mut Vec<Output>) {
        if probe.stage == Stage::NackReceived {
            self.health.on_probe_answered();
        } else {
            self.health.on_probe_unanswered();
        }
        match self.health.assess(&self.cfg, now) {
            Assessment::Uncertain => {}
            Assessment::Healthy => self.suspect(&probe.target, now, out),
            Assessment::Isolated => self.declare_dead(&probe.target, Tombstone::Skip, now, out),
        }
    }

    /// Schedules an early probe of a peer that only a helper reached, to see whether this persists.
    fn on_indirect_ack(&mut self, target: DaemonId, out: &mut Vec<Output>) {
        let count = self.indirect_acks.entry(target.clone()).or_default();
        *count = count.saturating_add(1);
        if *count < self.cfg.quarantine_after {
            self.prober.prioritize(&target);
        } else if *count == self.cfg.quarantine_after {
            out.push(Output::MemberChanged(target));
        }
    }

    fn on_direct_ack(&mut self, target: DaemonId, out: &mut Vec<Output>) {
        let was_quarantined = self.is_quarantined(&target);
        self.indirect_acks.remove(&target);
        if was_quarantined {
            out.push(Output::MemberChanged(target));
        }
    }
}
