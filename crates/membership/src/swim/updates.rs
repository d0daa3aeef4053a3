//! Applies updates about members and decides which of them to gossip further.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;

use super::Output;
use super::Swim;
use super::health::Assessment;
use super::table::MergeResult;
use super::table::Tombstone;
use super::table::WasKnown;
use crate::member::Member;
use crate::member::MemberState;
use crate::message::Body;
use crate::message::Identity;
use crate::message::Update;

impl Swim {
    /// Merges an update and queues it for gossip if it changed the table.
    pub(super) fn apply(&mut self, update: Update, now: Instant, out: &mut Vec<Output>) {
        if let Some(accepted) = self.merge(update, now, out) {
            self.queue.push(accepted);
        }
    }

    /// Merges an update; returns the update to gossip, if any.
    pub(super) fn merge(
        &mut self,
        update: Update,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Option<Update> {
        if *update.daemon() == self.me.daemon {
            self.on_update_about_self(&update, out);
            return None;
        }
        let update = self.mark_dead_at_own_address(update);
        let daemon = update.daemon().clone();
        match self.table.merge(update.clone(), now) {
            MergeResult::Stale | MergeResult::Gone(WasKnown::No) => None,
            MergeResult::Gone(WasKnown::Yes) => {
                self.on_removed(daemon, out);
                Some(update)
            }
            MergeResult::Changed(former) => {
                if let Some(death) = former {
                    self.on_removed(death.daemon().clone(), out);
                    self.queue.push(death);
                }
                self.update_suspicion_timer(&daemon, now);
                out.push(Output::MemberChanged(daemon.clone()));
                self.table.get(&daemon).map(Update::about)
            }
        }
    }

    /// Records that the sender runs, which proves that no former instance still has its address.
    pub(super) fn on_sender(
        &mut self,
        from: SocketAddr,
        sender: &Identity,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let gap = self.health.record_message(&self.cfg, now);
        self.extend_suspicions(gap);
        let former = self.table.at_address(&from).map(Member::identity);
        if let Some(former) = former.filter(|it| it.daemon != sender.daemon) {
            self.declare_dead(&former, Tombstone::Create, now, out);
        }
        let Some(tombstone) = self.table.tombstone(&sender.daemon) else {
            return;
        };
        if tombstone.incarnation == sender.incarnation && tombstone.state == MemberState::Dead {
            // The sender can refute its death only after it learns of it.
            let dead_update = Update::Brief(sender.clone(), tombstone.version, MemberState::Dead);
            self.send(from, Body::Gossip, vec![dead_update], now, out);
        }
    }

    /// Marks a member as suspect and notifies it, so that it can refute immediately.
    pub(super) fn suspect(&mut self, target: &Identity, now: Instant, out: &mut Vec<Output>) {
        let Some(member) = self.table.get(&target.daemon) else {
            return;
        };
        if member.incarnation != target.incarnation || member.state != MemberState::Alive {
            return;
        }
        let to = member.address;
        let suspicion = Update::Brief(target.clone(), member.version, MemberState::Suspect);
        self.apply(suspicion.clone(), now, out);
        self.send(to, Body::Gossip, vec![suspicion], now, out);
    }

    /// Declares suspects dead that did not refute in time.
    pub(super) fn expire_suspects(&mut self, now: Instant, out: &mut Vec<Output>) {
        let tombstone = match self.health.assess(&self.cfg, now) {
            Assessment::Uncertain => return,
            Assessment::Healthy => Tombstone::Create,
            Assessment::Isolated => Tombstone::Skip,
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

    /// Extends all suspicion deadlines by `gap`, during which this member received no refutations.
    pub(super) fn extend_suspicions(&mut self, gap: Duration) {
        for deadline in self.suspects.values_mut() {
            *deadline += gap;
        }
    }

    /// Removes a member; with [`Tombstone::Create`] also gossips its death.
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
            .remove_gone(death.daemon(), death.precedence(), tombstone, now);
        self.on_removed(identity.daemon.clone(), out);
        if tombstone == Tombstone::Create {
            self.queue.push(death);
        }
    }

    fn on_removed(&mut self, daemon: DaemonId, out: &mut Vec<Output>) {
        self.suspects.remove(&daemon);
        self.indirect_acks.remove(&daemon);
        out.push(Output::MemberChanged(daemon));
    }

    fn update_suspicion_timer(&mut self, daemon: &DaemonId, now: Instant) {
        let suspect = self
            .table
            .get(daemon)
            .is_some_and(|it| it.state == MemberState::Suspect);
        if !suspect {
            self.suspects.remove(daemon);
            return;
        }
        let span = self.cfg.suspicion_timeout_for(self.table.members().len());
        let deadline = now + span * self.health.timeout_multiplier();
        self.suspects.entry(daemon.clone()).or_insert(deadline);
    }

    /// Turns the record of another member at this member's address into its death: it can only be a
    /// former instance.
    fn mark_dead_at_own_address(&self, update: Update) -> Update {
        match update {
            Update::Full(member) if member.address == self.me.address => {
                Update::Brief(member.identity(), member.version, MemberState::Dead)
            }
            update => update,
        }
    }

    /// Refutes an update that wrongly describes this member.
    ///
    /// An update that has a higher incarnation or says that this member left is about another
    /// process of this name. A full one with another address is about a later process, which
    /// supersedes this one. Any other is taken to be about an earlier process, and this one raises
    /// its incarnation above it.
    fn on_update_about_self(&mut self, update: &Update, out: &mut Vec<Output>) {
        let claimed = update.precedence();
        if self.me.state == MemberState::Left || claimed <= self.me.precedence() {
            return;
        }
        if claimed.incarnation == self.me.incarnation && claimed.state != MemberState::Left {
            self.me.version = claimed.version + 1;
            self.queue.push(self.self_update());
            return;
        }
        if let Update::Full(other) = update
            && other.address != self.me.address
        {
            out.push(Output::Superseded);
            return;
        }
        self.me.incarnation = claimed.incarnation + 1;
        self.me.version = 0;
        self.queue.push(self.self_update());
        out.push(Output::IncarnationRaised(self.me.incarnation));
    }
}
