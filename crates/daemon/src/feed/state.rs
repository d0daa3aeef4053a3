//! State that the feed tasks share: the feed core, transfer limits and the folded state.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::Offset;
use base::hash;
use ledger::Applied;
use ledger::StampedRecord;
use ledger::State;
use membership::feed::AcquireResult;
use membership::feed::Answer;
use membership::feed::Feed as Core;
use membership::feed::FeedConfig;
use membership::feed::ParentSelector;
use membership::feed::RecordPosition;
use membership::feed::ReplyOutcome;
use membership::feed::TransferLimiter;
use membership::rng::Rng;
use protocol::codec;
use protocol::feed::FeedReply;
use protocol::feed::FeedRequest;

use crate::shared_state::SharedState;

/// Configuration of the feed core.
pub(super) const CFG: FeedConfig = FeedConfig {
    hold_timeout: Duration::from_secs(2),
    max_ring_bytes: 256 * 1024,
    max_reply_bytes: 128 * 1024,
    record_size: |record| codec::encode(record).len(),
};

/// Most concurrent transfers of complete state.
const MAX_TRANSFERS: u32 = 4;

/// Typical duration of a transfer of complete state; a permit is held for this long.
pub(super) const TRANSFER_TIME: Duration = Duration::from_millis(200);

/// State of the feed. Only writer of [`SharedState::state`].
pub(super) struct FeedState {
    pub(super) shared: SharedState,
    core: RefCell<Core>,
    pub(super) limiter: RefCell<TransferLimiter>,
    pub(super) rng: RefCell<Rng>,
}

impl FeedState {
    pub(super) fn new(shared: &SharedState) -> Self {
        let seed = hash::stable(&[
            b"feed",
            shared.daemon_cfg.settings.daemon.as_bytes(),
            &shared.daemon_cfg.incarnation.to_le_bytes(),
        ]);
        Self {
            shared: shared.clone(),
            core: RefCell::new(Core::new(CFG)),
            limiter: RefCell::new(TransferLimiter::new(MAX_TRANSFERS, TRANSFER_TIME)),
            rng: RefCell::new(Rng::new(seed)),
        }
    }

    /// Offset of the first record that this daemon does not have.
    pub(super) fn next_offset(&self) -> Offset {
        self.core.borrow().next_offset()
    }

    /// Applies records of the log, skipping those that a peer already delivered.
    pub(super) fn fold(&self, records: Vec<StampedRecord>) {
        let mut core = self.core.borrow_mut();
        let new: Vec<_> = records
            .into_iter()
            .filter(|it| core.accept_record(it) == RecordPosition::Next)
            .collect();
        drop(core);
        self.apply(None, &new);
    }

    /// Replaces the state by a complete one that is newer.
    pub(super) fn load_state(&self, state: &State) {
        if state.next > self.next_offset() {
            self.core.borrow_mut().on_state_loaded(state.next);
            self.apply(Some(state.clone()), &[]);
        }
    }

    /// Builds the request to a parent.
    pub(super) fn request(&self, selector: &ParentSelector) -> FeedRequest {
        self.update_core();
        let daemon = &self.shared.daemon_cfg.settings.daemon;
        self.core.borrow().request(daemon, selector)
    }

    /// Applies the reply of a parent.
    pub(super) fn apply_reply(&self, reply: FeedReply) -> ReplyOutcome {
        let mut outcome = self.core.borrow_mut().apply_reply(reply);
        self.apply(outcome.new_state.take(), &outcome.records);
        if let Some(lease) = outcome.lease {
            self.shared.merge_lease(lease);
        }
        self.shared.merge_rollbacks(outcome.facts.drain(..));
        outcome
    }

    /// Decides how to answer a request of a child that arrived at `arrived`.
    pub(super) fn answer(&self, req: &FeedRequest, arrived: Instant) -> Answer {
        self.update_core();
        self.core.borrow().answer(req, arrived, Instant::now())
    }

    /// Reply with complete state, or with a retry time while too many transfers run.
    pub(super) fn state_reply(&self, req: &FeedRequest) -> (FeedReply, Option<AcquireResult>) {
        let core = self.core.borrow();
        let acquired = self
            .limiter
            .borrow_mut()
            .try_acquire(&mut self.rng.borrow_mut());
        match acquired {
            AcquireResult::RetryAfter(after) => (core.retry_reply(req, after), None),
            granted @ AcquireResult::Granted(_) => {
                let state = State::clone(&self.shared.state.get());
                (core.state_reply(req, state), Some(granted))
            }
        }
    }

    /// Address on which a live member serves the inner protocol.
    pub(super) fn address_of(&self, daemon: &DaemonId) -> Option<SocketAddr> {
        let peers = self.shared.peers.get();
        let peer = peers.iter().find(|it| it.daemon == *daemon)?;
        Some(peer.address)
    }

    /// Passes lease and rollbacks that other parts published to the feed core.
    fn update_core(&self) {
        let mut core = self.core.borrow_mut();
        core.update_lease(self.shared.lease.get().lease);
        let facts = self.shared.rollbacks.get();
        if facts.len() > core.facts().len() {
            core.add_facts(facts.iter().cloned());
        }
    }

    fn apply(&self, complete: Option<State>, records: &[StampedRecord]) {
        if complete.is_none() && records.is_empty() {
            return;
        }
        let mut state = complete.unwrap_or_else(|| State::clone(&self.shared.state.get()));
        for record in records {
            let applied = state.apply(record);
            log::info!("feed: offset {}: {applied:?}", record.offset);
            if let (Applied::Accepted, Some(entry)) = (&applied, &record.entry) {
                self.shared.meter.record_convergence(entry.at);
            }
        }
        self.shared.state.set(state);
    }
}
