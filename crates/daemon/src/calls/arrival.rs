//! Guards of one attempt at the upstream side.

use std::rc::Rc;

use http_edge::Latch;
use protocol::call::AttemptId;

use crate::calls::upstream::UpstreamSide;

/// An attempt that has come in and not begun; dropped, it is fenced.
pub(super) struct Arrival {
    side: Rc<UpstreamSide>,
    attempt: AttemptId,
}

impl Arrival {
    /// `None` for the second copy of an attempt that waits.
    pub(super) fn new(side: &Rc<UpstreamSide>, attempt: &AttemptId) -> Option<Self> {
        let is_new = side.queue(attempt);
        is_new.then(|| Self {
            side: Rc::clone(side),
            attempt: attempt.clone(),
        })
    }
}

impl Drop for Arrival {
    fn drop(&mut self) {
        self.side.withdraw(&self.attempt);
    }
}

/// Tells the run that the caller side has gone.
pub(super) struct SetOnDrop(pub(super) Latch);

impl Drop for SetOnDrop {
    fn drop(&mut self) {
        self.0.set();
    }
}
