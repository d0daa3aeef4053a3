//! Faults of the model: cuts, copies, kills and freezes.

use super::CALLERS;
use super::Health;
use super::Message;
use super::UPSTREAMS;
use super::Upstream;
use super::World;
use crate::attempts::Event;
use crate::attempts::FinalOutcome;

impl World {
    pub(super) fn cut(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let index = self.draw(self.network.len());
        match self.network.swap_remove(index) {
            Message::Call(sent) | Message::Reply(sent, _) => {
                self.event(sent.call, Event::ConnectionLost(sent.attempt));
            }
            Message::Question(sent) | Message::Resolved(sent, _) => {
                self.event(sent.call, Event::ResolveFailed(sent.attempt));
            }
        }
    }

    /// The caller side gives a connection up while its messages are still under way.
    pub(super) fn lose_sight(&mut self) {
        if let Some((call, attempt)) = self.any_attempt() {
            self.event(call, Event::ConnectionLost(attempt));
        }
    }

    pub(super) fn repeat_message(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let index = self.draw(self.network.len());
        let copy = self.network[index].clone();
        self.network.push(copy);
    }

    pub(super) fn kill_upstream(&mut self) {
        let to = self.draw(UPSTREAMS);
        let next = self.upstreams[to].incarnation + 1;
        let before = std::mem::replace(&mut self.upstreams[to], Upstream::new(next));
        for sent in before.queued.into_iter().chain(before.running) {
            self.event(sent.call, Event::ConnectionLost(sent.attempt));
        }
        for sent in before.waiting {
            self.event(sent.call, Event::ResolveFailed(sent.attempt));
        }
    }

    /// Its calls have nobody to tell any more; its messages may still arrive.
    pub(super) fn kill_caller(&mut self) {
        let caller = self.draw(CALLERS);
        self.callers[caller].incarnation += 1;
        self.callers[caller].sequence = 0;
        for call in &mut self.calls {
            if call.caller == caller && call.finals.is_empty() {
                call.finals.push(FinalOutcome::Discard);
            }
        }
    }

    pub(super) fn freeze_or_thaw(&mut self) {
        let to = self.draw(UPSTREAMS);
        let upstream = &mut self.upstreams[to];
        upstream.health = match upstream.health {
            Health::Good => Health::Frozen,
            Health::Frozen => Health::Good,
        };
    }
}
