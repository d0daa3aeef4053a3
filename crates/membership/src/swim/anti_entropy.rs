//! Digests with a random peer, and syncs over TCP where much differs.

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

/// One digest in this many goes to the address of a lost member or a seed.
const LOST_ADDRESS_ODDS: usize = 4;

/// Members in a digest answer that does not hold all that differs.
const SAMPLE_SIZE: usize = 6;

/// A sync that brought more news than this is not told on: others learn by syncs of their own.
const MAX_NEWS_OF_SYNC: usize = 16;

impl Swim {
    /// The request to send for [`Output::Sync`].
    #[must_use]
    pub fn sync_request(&self) -> SyncRequest {
        SyncRequest {
            wire: WIRE_VERSION,
            from: self.me.identity(),
            digest: self.digest(),
        }
    }

    /// Answers a sync request with the members of the buckets that differ.
    #[must_use]
    pub fn on_sync_request(&self, req: &SyncRequest) -> SyncReply {
        SyncReply {
            members: self.differing(&req.digest).cloned().collect(),
        }
    }

    /// Takes in the answer to a sync request.
    pub fn on_sync_reply(&mut self, reply: SyncReply, now: Instant) -> Vec<Output> {
        let mut out = Vec::new();
        let mut news = Vec::new();
        for member in reply.members {
            news.extend(self.merge(Update::Full(member), now, &mut out));
        }
        if news.len() <= MAX_NEWS_OF_SYNC {
            for update in news {
                self.queue.push(update);
            }
        }
        self.join.joined();
        out
    }

    pub(super) fn step_join(&mut self, now: Instant, out: &mut Vec<Output>) {
        if let Some(to) = self.join.due(&self.cfg, &mut self.rng, now) {
            self.ask_digest(to, now, out);
        }
    }

    /// Whoever pings a member that still tries to join is as good as a seed.
    pub(super) fn join_through(&mut self, peer: SocketAddr, now: Instant, out: &mut Vec<Output>) {
        if !self.join.is_joined() {
            self.ask_digest(peer, now, out);
        }
    }

    pub(super) fn step_digest(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now < self.next_digest {
            return;
        }
        self.next_digest = now + self.rng.jitter(self.cfg.digest_every);
        let lost = if self.rng.below(LOST_ADDRESS_ODDS) == 0 {
            self.lost_address()
        } else {
            None
        };
        if let Some(to) = lost.or_else(|| self.random_member()) {
            self.ask_digest(to, now, out);
        }
    }

    pub(super) fn on_digest_ask(
        &mut self,
        from: SocketAddr,
        digest: &Digest,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let differing: Vec<Update> = self.differing(digest).map(full).collect();
        let (coverage, updates) = if self.fits(&differing) {
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
            // A herd that joins through few seeds spreads its syncs over the whole fleet.
            let with = if self.join.is_joined() {
                Some(from)
            } else {
                self.random_member()
            };
            out.extend(with.map(|with| Output::Sync { with }));
            return;
        }
        self.join.joined();
        let differing: Vec<Update> = self.differing(digest).map(full).collect();
        if !differing.is_empty() && self.fits(&differing) {
            self.send(from, Body::Gossip, differing, now, out);
        }
    }

    fn ask_digest(&mut self, to: SocketAddr, now: Instant, out: &mut Vec<Output>) {
        let body = Body::DigestAsk(self.digest());
        let extras = if self.table.at_address(&to).is_none() {
            vec![self.introduction()]
        } else {
            Vec::new()
        };
        self.send(to, body, extras, now, out);
    }

    /// The address of a lost member or of a seed that is not a member now.
    fn lost_address(&mut self) -> Option<SocketAddr> {
        let lost = self.table.lost().iter().map(|(address, _)| *address);
        let seeds = self.join.seeds().iter().copied();
        let unknown: Vec<_> = lost
            .chain(seeds)
            .filter(|it| self.table.at_address(it).is_none())
            .collect();
        unknown.get(self.rng.below(unknown.len())).copied()
    }

    fn digest(&self) -> Digest {
        Digest::of(self.all())
    }

    fn differing<'a>(&'a self, other: &'a Digest) -> impl Iterator<Item = &'a Member> {
        let mine = self.digest();
        self.all()
            .filter(move |it| mine.differs_at(other, &it.daemon))
    }

    fn all(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.me)
            .filter(|it| !it.state.is_gone())
            .chain(self.table.members())
    }

    fn fits(&self, updates: &[Update]) -> bool {
        let used: usize = updates.iter().map(Update::size).sum();
        Message::digest_size(&self.me.identity()) + used <= MAX_DATAGRAM
    }

    fn sample(&mut self) -> Vec<Update> {
        let mut sample = vec![self.introduction()];
        let members = self.table.members();
        for _ in 1..SAMPLE_SIZE.min(members.len()) {
            let update = full(&members[self.rng.below(members.len())]);
            if !sample.contains(&update) {
                sample.push(update);
            }
        }
        while !self.fits(&sample) {
            sample.pop();
        }
        sample
    }
}

fn full(member: &Member) -> Update {
    Update::Full(member.clone())
}
