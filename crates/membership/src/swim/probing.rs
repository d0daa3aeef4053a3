//! The steps of a probe: ping, helpers, verdict.

use std::net::SocketAddr;
use std::time::Instant;

use base::DaemonId;

use super::Output;
use super::Swim;
use super::health::Standing;
use super::probe::AckMeans;
use super::probe::Probe;
use super::probe::Stage;
use super::table::Tombstone;
use crate::member::MemberState;
use crate::message::Body;
use crate::message::Identity;
use crate::message::Update;

impl Swim {
    /// Ends the last probe and begins the next one, once in each period.
    pub(super) fn step_probe(&mut self, now: Instant, out: &mut Vec<Output>) {
        if let Some(probe) = self.prober.needs_helpers(now) {
            self.ask_helpers(&probe, now, out);
        }
        if now < self.next_probe {
            return;
        }
        self.next_probe += self.cfg.period;
        if let Some(probe) = self.prober.finish() {
            self.judge_probe(&probe, now, out);
        }
        let Some(target) = self.prober.next_target(&self.table, &mut self.rng) else {
            return;
        };
        let seq = self
            .prober
            .begin(target.clone(), now + self.cfg.ack_timeout);
        self.ping(target, seq, now, out);
    }

    /// Tells those who asked that their target did not answer.
    pub(super) fn step_relays(&mut self, now: Instant, out: &mut Vec<Output>) {
        while let Some((to, seq)) = self.prober.expired_relay(now) {
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
            extras.push(self.introduction());
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
        if let Some(seq) = self.prober.relay(from, seq, expires) {
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
            AckMeans::Direct(target) => {
                self.health.answered();
                self.release(target, out);
            }
            AckMeans::ThroughHelper(target) => {
                self.health.answered();
                self.note_helped(target, out);
            }
            AckMeans::Relayed(to, seq) => self.send(to, Body::Ack { seq }, Vec::new(), now, out),
            AckMeans::Unknown => {}
        }
    }

    fn ping(&mut self, target: Identity, seq: u32, now: Instant, out: &mut Vec<Output>) {
        let Some(member) = self.table.get(&target.daemon) else {
            return;
        };
        let to = member.address;
        // A suspect hears of the suspicion with the ping and refutes it with the answer.
        let extras = if member.state == MemberState::Suspect {
            vec![Update::about(member)]
        } else {
            Vec::new()
        };
        self.send(to, Body::Ping { seq, target }, extras, now, out);
    }

    fn ask_helpers(&mut self, probe: &Probe, now: Instant, out: &mut Vec<Output>) {
        let Some(target) = self.table.get(&probe.target.daemon) else {
            return;
        };
        let address = target.address;
        for helper in self.helpers(&probe.target.daemon) {
            let body = Body::PingReq {
                seq: probe.seq,
                target: probe.target.clone(),
                address,
            };
            self.send(helper, body, Vec::new(), now, out);
        }
    }

    fn helpers(&mut self, target: &DaemonId) -> Vec<SocketAddr> {
        let members = self.table.members();
        let wanted = self.cfg.helpers.min(members.len());
        let mut helpers = Vec::new();
        // A few draws more than needed make up for repeated and unfit ones.
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

    fn judge_probe(&mut self, probe: &Probe, now: Instant, out: &mut Vec<Output>) {
        if probe.stage == Stage::HelperHeard {
            self.health.answered();
        } else {
            self.health.unanswered();
        }
        match self.health.standing(&self.cfg, now) {
            Standing::Doubtful => {}
            Standing::Sound => self.suspect(&probe.target, now, out),
            Standing::Alone => self.declare_dead(&probe.target, Tombstone::Skip, now, out),
        }
    }

    /// Probes a peer again at once that only a helper reached, to see whether that lasts.
    fn note_helped(&mut self, target: DaemonId, out: &mut Vec<Output>) {
        let count = self.helped.entry(target.clone()).or_default();
        *count = count.saturating_add(1);
        if *count < self.cfg.half_open_after {
            self.prober.hurry(&target);
        } else if *count == self.cfg.half_open_after {
            out.push(Output::MemberChanged(target));
        }
    }

    fn release(&mut self, target: DaemonId, out: &mut Vec<Output>) {
        let was_quarantined = self.is_quarantined(&target);
        self.helped.remove(&target);
        if was_quarantined {
            out.push(Output::MemberChanged(target));
        }
    }
}
