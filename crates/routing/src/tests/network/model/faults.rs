//! Faults of the model cluster: lost and duplicated messages, restarted and frozen daemons.

use super::CALLERS;
use super::ClusterModel;
use super::Health;
use super::Message;
use super::UPSTREAMS;
use super::Upstream;
use crate::attempts::Event;
use crate::attempts::FinalOutcome;

impl ClusterModel {
    /// Loses a message together with its connection, which the caller notices.
    pub(super) fn drop_message(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let index = self.draw(self.network.len());
        match self.network.swap_remove(index) {
            Message::Call(sent) | Message::Reply(sent, _) => {
                self.handle_event(sent.call, Event::ConnectionLost(sent.attempt));
            }
            Message::ResolveQuery(sent) | Message::ResolveReply(sent, _) => {
                self.handle_event(sent.call, Event::ResolveFailed(sent.attempt));
            }
        }
    }

    /// Lets a caller give up a connection whose messages may still be delivered.
    pub(super) fn abandon_connection(&mut self) {
        if let Some((call, attempt)) = self.any_attempt() {
            self.handle_event(call, Event::ConnectionLost(attempt));
        }
    }

    pub(super) fn duplicate_message(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let index = self.draw(self.network.len());
        let copy = self.network[index].clone();
        self.network.push(copy);
    }

    pub(super) fn restart_upstream(&mut self) {
        let to = self.draw(UPSTREAMS);
        let next = self.upstreams[to].incarnation + 1;
        let previous = std::mem::replace(&mut self.upstreams[to], Upstream::new(next));
        for sent in previous.queued.into_iter().chain(previous.running) {
            self.handle_event(sent.call, Event::ConnectionLost(sent.attempt));
        }
        for sent in previous.resolves {
            self.handle_event(sent.call, Event::ResolveFailed(sent.attempt));
        }
    }

    /// Restarts a caller. The outcomes of its calls are discarded; its messages may still arrive.
    pub(super) fn restart_caller(&mut self) {
        let caller = self.draw(CALLERS);
        self.callers[caller].incarnation += 1;
        self.callers[caller].sequence = 0;
        for call in &mut self.calls {
            if call.caller == caller && call.outcomes.is_empty() {
                call.outcomes.push(FinalOutcome::Discard);
            }
        }
    }

    pub(super) fn toggle_freeze(&mut self) {
        let to = self.draw(UPSTREAMS);
        let upstream = &mut self.upstreams[to];
        upstream.health = match upstream.health {
            Health::Responsive => Health::Frozen,
            Health::Frozen => Health::Responsive,
        };
    }
}
