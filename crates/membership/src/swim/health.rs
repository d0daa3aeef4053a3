//! Local health: a member that was paused or receives no messages must not suspect others.

use std::time::Duration;
use std::time::Instant;

use super::SwimConfig;

/// Maximum health score; each point extends the suspicion timeout by one multiple.
const MAX_SCORE: u32 = 4;

/// Evidence that this member itself, not its peers, is faulty.
#[derive(Debug)]
pub struct LocalHealth {
    last_run: Instant,
    last_message: Instant,
    grace_until: Instant,
    score: u32,
}

/// Whether this member may currently declare others suspect or dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Assessment {
    /// Messages arrive: suspicion and death are decided and spread to others.
    Healthy,
    /// This member may itself be at fault: it suspects nobody.
    Uncertain,
    /// No message arrived for long: members are declared dead in the local view only.
    Isolated,
}

impl LocalHealth {
    /// Creates the state of a member that starts at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            last_run: now,
            last_message: now,
            grace_until: now,
            score: 0,
        }
    }

    /// Records that this process runs. Returns the length of a pause, or zero if there was none.
    pub fn record_run(&mut self, cfg: &SwimConfig, now: Instant) -> Duration {
        let gap = now.saturating_duration_since(self.last_run);
        self.last_run = now;
        if gap <= cfg.stall_threshold {
            return Duration::ZERO;
        }
        self.grace_until = now + cfg.period * 2;
        // Messages may have waited meanwhile, so the pause does not count as silence.
        self.last_message += gap;
        gap
    }

    /// Records a message from a peer. Returns the time since the previous one if that is at least
    /// [`SwimConfig::uncertain_after`], else zero.
    pub fn record_message(&mut self, cfg: &SwimConfig, now: Instant) -> Duration {
        let gap = now.saturating_duration_since(self.last_message);
        self.last_message = now;
        if gap < cfg.uncertain_after {
            return Duration::ZERO;
        }
        self.grace_until = now + cfg.period * 2;
        gap
    }

    /// Returns whether this member may currently declare others suspect or dead.
    #[must_use]
    pub fn assess(&self, cfg: &SwimConfig, now: Instant) -> Assessment {
        let silence = now.saturating_duration_since(self.last_message);
        if now < self.grace_until {
            return Assessment::Uncertain;
        }
        if silence < cfg.uncertain_after {
            return Assessment::Healthy;
        }
        if silence < cfg.isolated_after {
            return Assessment::Uncertain;
        }
        Assessment::Isolated
    }

    /// Records that a probe got an answer, from its target or a helper.
    pub fn on_probe_answered(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Records that a probe got no answer at all.
    pub fn on_probe_unanswered(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Returns the factor for the suspicion timeout; 1 for a healthy member.
    #[must_use]
    pub fn timeout_multiplier(&self) -> u32 {
        1 + self.score
    }
}
