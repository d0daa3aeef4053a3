//! Drop guards of one attempt on the upstream side.

use std::rc::Rc;

use http_edge::Latch;
use protocol::call::AttemptId;

use crate::calls::upstream::UpstreamSide;

/// An attempt that was received and has not begun. Dropping it fences the attempt unless it has
/// begun.
pub(super) struct PendingAttempt {
    side: Rc<UpstreamSide>,
    attempt: AttemptId,
}

impl PendingAttempt {
    /// Registers the attempt; `None` if a copy of it is already pending.
    pub(super) fn new(side: &Rc<UpstreamSide>, attempt: &AttemptId) -> Option<Self> {
        let is_new = side.add_pending(attempt);
        is_new.then(|| Self {
            side: Rc::clone(side),
            attempt: attempt.clone(),
        })
    }
}

impl Drop for PendingAttempt {
    fn drop(&mut self) {
        self.side.remove_pending(&self.attempt);
    }
}

/// Sets a latch when dropped, to signal to the running attempt that its caller has disconnected.
pub(super) struct SetOnDrop(pub(super) Latch);

impl Drop for SetOnDrop {
    fn drop(&mut self) {
        self.0.set();
    }
}
