//! Which parent a child asks.

use std::time::Duration;

use base::DaemonId;

use super::ParentOffset;
use crate::rng::Rng;

/// First and longest delay after all parents were silent, before jitter.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(4));

/// Replies in a row from a parent that lags before the next one is asked.
const MAX_BEHIND: u32 = 3;

/// Replies of a substitute before the first parent is tried again.
const REPLIES_OF_SUBSTITUTE: u32 = 64;

/// The parents of a child and the one that it asks.
#[derive(Debug, Default)]
pub struct ParentSelector {
    parents: Vec<DaemonId>,
    at: usize,
    replies: u32,
    behind: u32,
    silent: u32,
    facts_tag: u64,
}

impl ParentSelector {
    /// The parent to ask now; `None` when there is none.
    #[must_use]
    pub fn parent(&self) -> Option<&DaemonId> {
        self.parents.get(self.at)
    }

    /// Tag of the facts that this parent last sent.
    #[must_use]
    pub fn facts_tag(&self) -> u64 {
        self.facts_tag
    }

    /// Sets the parents, the preferred one first. The same list changes nothing.
    pub fn set_parents(&mut self, parents: Vec<DaemonId>) {
        if self.parents == parents {
            return;
        }
        let kept = self.parent() == parents.first();
        self.parents = parents;
        self.at = 0;
        if !kept {
            self.start_over();
        }
    }

    /// The parent replied.
    pub fn on_reply(&mut self, facts_tag: u64, offset: ParentOffset) {
        self.facts_tag = facts_tag;
        self.silent = 0;
        self.replies += 1;
        self.behind = match offset {
            ParentOffset::UpToDate => 0,
            ParentOffset::Behind => self.behind + 1,
        };
        if self.behind >= MAX_BEHIND {
            self.turn();
        } else if self.at > 0 && self.replies >= REPLIES_OF_SUBSTITUTE {
            self.at = 0;
            self.start_over();
        }
    }

    /// The parent was silent or refused: turns to the next one. Returns how long to wait first;
    /// nothing while there are parents that were not tried since the last reply.
    pub fn on_failure(&mut self, rng: &mut Rng) -> Duration {
        self.turn();
        self.silent = self.silent.saturating_add(1);
        let parents = u32::try_from(self.parents.len().max(1)).unwrap_or(u32::MAX);
        let rounds = self.silent / parents;
        if rounds == 0 {
            return Duration::ZERO;
        }
        let (first, longest) = BACKOFF;
        rng.jitter(first.saturating_mul(1 << rounds.min(8)).min(longest))
    }

    fn turn(&mut self) {
        self.at = (self.at + 1) % self.parents.len().max(1);
        self.start_over();
    }

    fn start_over(&mut self) {
        self.replies = 0;
        self.behind = 0;
        // Another parent may have other facts under way.
        self.facts_tag = 0;
    }
}
