//! Selects the parent that a child polls, and switches away from unresponsive or lagging parents.

use std::time::Duration;

use base::DaemonId;

use super::ParentOffset;
use crate::rng::Rng;

/// Initial and maximum backoff after all parents failed, before jitter.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(4));

/// Consecutive replies from a lagging parent before the child switches to the next one.
const MAX_BEHIND: u32 = 3;

/// Replies from a fallback parent before the child returns to the preferred one.
const FALLBACK_REPLIES: u32 = 64;

/// The parents of a child and the one that it currently polls.
#[derive(Debug, Default)]
pub struct ParentSelector {
    parents: Vec<DaemonId>,
    current: usize,
    replies_of_current: u32,
    consecutive_behind: u32,
    consecutive_failures: u32,
    facts_tag: u64,
}

impl ParentSelector {
    /// Returns the current parent; `None` when the list is empty.
    #[must_use]
    pub fn parent(&self) -> Option<&DaemonId> {
        self.parents.get(self.current)
    }

    /// Returns the tag of the facts that the current parent last sent; 0 when it sent none.
    #[must_use]
    pub fn facts_tag(&self) -> u64 {
        self.facts_tag
    }

    /// Sets the parents, the preferred one first. An unchanged list has no effect.
    pub fn set_parents(&mut self, parents: Vec<DaemonId>) {
        if self.parents == parents {
            return;
        }
        let is_same_parent = self.parent() == parents.first();
        self.parents = parents;
        self.current = 0;
        if !is_same_parent {
            self.reset_counters();
        }
    }

    /// Records a reply of the current parent.
    pub fn on_reply(&mut self, facts_tag: u64, offset: ParentOffset) {
        self.facts_tag = facts_tag;
        self.consecutive_failures = 0;
        self.replies_of_current += 1;
        self.consecutive_behind = match offset {
            ParentOffset::UpToDate => 0,
            ParentOffset::Behind => self.consecutive_behind + 1,
        };
        if self.consecutive_behind >= MAX_BEHIND {
            self.switch_to_next();
        } else if self.current > 0 && self.replies_of_current >= FALLBACK_REPLIES {
            self.current = 0;
            self.reset_counters();
        }
    }

    /// Switches to the next parent after the current one did not answer or refused. Returns the
    /// backoff; zero while there are parents that were not tried since the last reply.
    pub fn on_failure(&mut self, rng: &mut Rng) -> Duration {
        self.switch_to_next();
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let parents = u32::try_from(self.parents.len().max(1)).unwrap_or(u32::MAX);
        let rounds = self.consecutive_failures / parents;
        if rounds == 0 {
            return Duration::ZERO;
        }
        let (first, longest) = BACKOFF;
        rng.jitter(first.saturating_mul(1 << rounds.min(8)).min(longest))
    }

    fn switch_to_next(&mut self) {
        self.current = (self.current + 1) % self.parents.len().max(1);
        self.reset_counters();
    }

    fn reset_counters(&mut self) {
        self.replies_of_current = 0;
        self.consecutive_behind = 0;
        // Another parent may hold other facts.
        self.facts_tag = 0;
    }
}
