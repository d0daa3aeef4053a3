//! What statements about members change, and what is told on.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;

use super::Output;
use super::Swim;
use super::health::Standing;
use super::table::Known;
use super::table::Merged;
use super::table::Tombstone;
use crate::member::Member;
use crate::member::MemberState;
use crate::message::Body;
use crate::message::Identity;
use crate::message::Update;

impl Swim {
    /// Merges a statement and tells it on when it changed something.
    pub(super) fn apply(&mut self, update: Update, now: Instant, out: &mut Vec<Output>) {
        if let Some(news) = self.merge(update, now, out) {
            self.queue.push(news);
        }
    }

    /// Merges a statement; returns what others may want to hear.
    pub(super) fn merge(
        &mut self,
        update: Update,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Option<Update> {
        if *update.daemon() == self.me.daemon {
            self.hear_of_self(&update, out);
            return None;
        }
        let update = self.check_own_address(update);
        let daemon = update.daemon().clone();
        match self.table.merge(update.clone(), now) {
            Merged::Stale | Merged::Gone(Known::Never) => None,
            Merged::Gone(Known::Before) => {
                self.forget(daemon, out);
                Some(update)
            }
            Merged::Changed(former) => {
                if let Some(death) = former {
                    self.forget(death.daemon().clone(), out);
                    self.queue.push(death);
                }
                self.note_state(&daemon, now);
                out.push(Output::MemberChanged(daemon.clone()));
                self.table.get(&daemon).map(Update::about)
            }
        }
    }

    /// Learns from the sender itself: it runs, and no former instance has its address.
    pub(super) fn note_sender(
        &mut self,
        from: SocketAddr,
        sender: &Identity,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let gap = self.health.hear(&self.cfg, now);
        self.delay_verdicts(gap);
        let former = self.table.at_address(&from).map(Member::identity);
        if let Some(former) = former.filter(|it| it.daemon != sender.daemon) {
            self.declare_dead(&former, Tombstone::Keep, now, out);
        }
        let Some(tombstone) = self.table.tombstone(&sender.daemon) else {
            return;
        };
        if tombstone.incarnation == sender.incarnation && tombstone.state == MemberState::Dead {
            // The sender can only refute what it hears of.
            let news = Update::Brief(sender.clone(), tombstone.version, MemberState::Dead);
            self.send(from, Body::Gossip, vec![news], now, out);
        }
    }

    /// Suspects a member and tells it so, since it can then refute at once.
    pub(super) fn suspect(&mut self, target: &Identity, now: Instant, out: &mut Vec<Output>) {
        let Some(member) = self.table.get(&target.daemon) else {
            return;
        };
        if member.incarnation != target.incarnation || member.state != MemberState::Alive {
            return;
        }
        let to = member.address;
        let news = Update::Brief(target.clone(), member.version, MemberState::Suspect);
        self.apply(news.clone(), now, out);
        self.send(to, Body::Gossip, vec![news], now, out);
    }

    /// Declares those suspects dead that did not refute in time.
    pub(super) fn judge_suspects(&mut self, now: Instant, out: &mut Vec<Output>) {
        let tombstone = match self.health.standing(&self.cfg, now) {
            Standing::Doubtful => return,
            Standing::Sound => Tombstone::Keep,
            Standing::Alone => Tombstone::Skip,
        };
        let due: Vec<DaemonId> = self
            .suspects
            .iter()
            .filter(|(_, deadline)| **deadline <= now)
            .map(|(daemon, _)| daemon.clone())
            .collect();
        for daemon in due {
            if let Some(member) = self.table.get(&daemon) {
                let identity = member.identity();
                self.declare_dead(&identity, tombstone, now, out);
            }
        }
    }

    /// Gives suspects more time, since this member could not hear them.
    pub(super) fn delay_verdicts(&mut self, gap: Duration) {
        for deadline in self.suspects.values_mut() {
            *deadline += gap;
        }
    }

    /// Removes a member, and tells the others unless the verdict counts here only.
    pub(super) fn declare_dead(
        &mut self,
        identity: &Identity,
        tombstone: Tombstone,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let member = self.table.get(&identity.daemon);
        let Some(version) = member
            .filter(|it| it.incarnation == identity.incarnation)
            .map(|it| it.version)
        else {
            return;
        };
        let death = Update::Brief(identity.clone(), version, MemberState::Dead);
        self.table
            .bury(death.daemon(), death.precedence(), tombstone, now);
        self.forget(identity.daemon.clone(), out);
        if tombstone == Tombstone::Keep {
            self.queue.push(death);
        }
    }

    fn forget(&mut self, daemon: DaemonId, out: &mut Vec<Output>) {
        self.suspects.remove(&daemon);
        self.helped.remove(&daemon);
        out.push(Output::MemberChanged(daemon));
    }

    fn note_state(&mut self, daemon: &DaemonId, now: Instant) {
        let suspect = self
            .table
            .get(daemon)
            .is_some_and(|it| it.state == MemberState::Suspect);
        if !suspect {
            self.suspects.remove(daemon);
            return;
        }
        let span = self.cfg.suspicion_for(self.table.members().len());
        let deadline = now + span * self.health.patience();
        self.suspects.entry(daemon.clone()).or_insert(deadline);
    }

    /// Another member at this one's address can only be a former instance.
    fn check_own_address(&self, update: Update) -> Update {
        match update {
            Update::Full(member) if member.address == self.me.address => {
                Update::Brief(member.identity(), member.version, MemberState::Dead)
            }
            update => update,
        }
    }

    /// Refutes what is said wrongly about this member.
    fn hear_of_self(&mut self, update: &Update, out: &mut Vec<Output>) {
        let heard = update.precedence();
        if self.me.state == MemberState::Left || heard <= self.me.precedence() {
            return;
        }
        if heard.incarnation == self.me.incarnation && heard.state != MemberState::Left {
            self.me.version = heard.version + 1;
            self.queue.push(self.introduction());
            return;
        }
        if let Update::Full(other) = update
            && other.address != self.me.address
        {
            out.push(Output::Superseded);
            return;
        }
        self.me.incarnation = heard.incarnation + 1;
        self.me.version = 0;
        self.queue.push(self.introduction());
        out.push(Output::IncarnationRaised(self.me.incarnation));
    }
}
