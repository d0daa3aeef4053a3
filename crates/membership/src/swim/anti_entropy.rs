//! Anti-entropy: digest exchanges with a random peer, and syncs over TCP for large differences.

use std::net::SocketAddr;
use std::time::Instant;

use protocol::WIRE_VERSION;

use super::Output;
use super::Swim;
use crate::member::Member;
use crate::message::Body;
use crate::message::Coverage;
use crate::message::Digest;
use crate::message::MAX_DATAGRAM;
use crate::message::Message;
use crate::message::SyncReply;
use crate::message::SyncRequest;
use crate::message::Update;

/// One in this many digests goes to the address of a dead member or of an unknown seed.
const LOST_ADDRESS_ODDS: usize = 4;

/// Maximum number of members in a digest answer that is only a sample.
const SAMPLE_SIZE: usize = 6;

/// A sync that changed more members than this is not gossiped: the others run syncs of their own.
const MAX_GOSSIPED_PER_SYNC: usize = 16;

impl Swim {
    /// Builds the request to send for [`Output::Sync`].
    #[must_use]
    pub fn sync_request(&self) -> SyncRequest {
        SyncRequest {
            wire: WIRE_VERSION,
            from: self.me.identity(),
            digest: self.digest(),
        }
    }

    /// Answers a sync request with the members of the differing buckets.
    #[must_use]
    pub fn on_sync_request(&self, req: &SyncRequest) -> SyncReply {
        SyncReply {
            members: self.differing_members(&req.digest).cloned().collect(),
        }
    }

    /// Merges the reply to a sync request; this also completes joining.
    pub fn on_sync_reply(&mut self, reply: SyncReply, now: Instant) -> Vec<Output> {
        let mut out = Vec::new();
        let mut accepted = Vec::new();
        for member in reply.members {
            accepted.extend(self.merge(Update::Full(member), now, &mut out));
        }
        if accepted.len() <= MAX_GOSSIPED_PER_SYNC {
            for update in accepted {
                self.queue.push(update);
            }
        }
        self.join.mark_joined();
        out
    }

    pub(super) fn step_join(&mut self, now: Instant, out: &mut Vec<Output>) {
        if let Some(to) = self.join.next_seed(&self.cfg, &mut self.rng, now) {
            self.send_digest(to, now, out);
        }
    }

    /// Uses a peer that pings this member while it still joins as a further seed.
    pub(super) fn join_via(&mut self, peer: SocketAddr, now: Instant, out: &mut Vec<Output>) {
        if !self.join.is_joined() {
            self.send_digest(peer, now, out);
        }
    }

    pub(super) fn step_digest(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now < self.next_digest {
            return;
        }
        self.next_digest = now + self.rng.jitter(self.cfg.digest_interval);
        let lost = if self.rng.below(LOST_ADDRESS_ODDS) == 0 {
            self.lost_address()
        } else {
            None
        };
        if let Some(to) = lost.or_else(|| self.random_member_address()) {
            self.send_digest(to, now, out);
        }
    }

    pub(super) fn on_digest_ask(
        &mut self,
        from: SocketAddr,
        digest: &Digest,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let differing: Vec<Update> = self.differing_members(digest).map(full_update).collect();
        let (coverage, updates) = if self.fits_in_datagram(&differing) {
            (Coverage::Whole, differing)
        } else {
            (Coverage::Sample, self.sample())
        };
        let body = Body::DigestAnswer {
            digest: self.digest(),
            coverage,
        };
        self.send(from, body, updates, now, out);
    }

    pub(super) fn on_digest_answer(
        &mut self,
        from: SocketAddr,
        digest: &Digest,
        coverage: Coverage,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        if coverage == Coverage::Sample {
            // While joining, syncs with a random member of the sample: when many members join
            // through few seeds, their syncs spread over the whole fleet.
            let with = if self.join.is_joined() {
                Some(from)
            } else {
                self.random_member_address()
            };
            out.extend(with.map(|with| Output::Sync { with }));
            return;
        }
        self.join.mark_joined();
        let differing: Vec<Update> = self.differing_members(digest).map(full_update).collect();
        if !differing.is_empty() && self.fits_in_datagram(&differing) {
            self.send(from, Body::Gossip, differing, now, out);
        }
    }

    fn send_digest(&mut self, to: SocketAddr, now: Instant, out: &mut Vec<Output>) {
        let body = Body::DigestAsk(self.digest());
        let extras = if self.table.at_address(&to).is_none() {
            vec![self.self_update()]
        } else {
            Vec::new()
        };
        self.send(to, body, extras, now, out);
    }

    /// Returns the address of a dead member, or of a seed that is not a current member.
    fn lost_address(&mut self) -> Option<SocketAddr> {
        let lost = self
            .table
            .lost_addresses()
            .iter()
            .map(|(address, _)| *address);
        let seeds = self.join.seeds().iter().copied();
        let unknown: Vec<_> = lost
            .chain(seeds)
            .filter(|it| self.table.at_address(it).is_none())
            .collect();
        unknown.get(self.rng.below(unknown.len())).copied()
    }

    fn digest(&self) -> Digest {
        Digest::of(self.known_members())
    }

    fn differing_members<'a>(&'a self, other: &'a Digest) -> impl Iterator<Item = &'a Member> {
        let own_digest = self.digest();
        self.known_members()
            .filter(move |it| own_digest.differs_at(other, &it.daemon))
    }

    fn known_members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.me)
            .filter(|it| !it.state.is_gone())
            .chain(self.table.members())
    }

    fn fits_in_datagram(&self, updates: &[Update]) -> bool {
        let used: usize = updates.iter().map(Update::size).sum();
        Message::digest_size(&self.me.identity()) + used <= MAX_DATAGRAM
    }

    fn sample(&mut self) -> Vec<Update> {
        let mut sample = vec![self.self_update()];
        let members = self.table.members();
        for _ in 1..SAMPLE_SIZE.min(members.len()) {
            let update = full_update(&members[self.rng.below(members.len())]);
            if !sample.contains(&update) {
                sample.push(update);
            }
        }
        while !self.fits_in_datagram(&sample) {
            sample.pop();
        }
        sample
    }
}

fn full_update(member: &Member) -> Update {
    Update::Full(member.clone())
}
