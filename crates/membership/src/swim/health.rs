//! Doubt about oneself: a member that stood still or hears nobody must not accuse others.

use std::time::Duration;
use std::time::Instant;

use super::SwimConfig;

/// Highest health score; each point lengthens the time that suspects get.
const MAX_SCORE: u32 = 4;

/// Signs that this member itself, not its peers, has the fault.
#[derive(Debug)]
pub struct Health {
    seen: Instant,
    heard: Instant,
    grace_until: Instant,
    score: u32,
}

/// On which ground a verdict may be given now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Peers are heard: suspicion and death may be told to others.
    Sound,
    /// This member may itself be at fault: no accusations.
    Doubtful,
    /// Nobody was heard for long: verdicts count here only and are not told.
    Alone,
}

impl Health {
    /// A member that starts now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            seen: now,
            heard: now,
            grace_until: now,
            score: 0,
        }
    }

    /// Notes that this process runs. Returns the time for which it stood still, if it did.
    pub fn run(&mut self, cfg: &SwimConfig, now: Instant) -> Duration {
        let gap = now.saturating_duration_since(self.seen);
        self.seen = now;
        if gap <= cfg.late_tick {
            return Duration::ZERO;
        }
        self.grace_until = now + cfg.period * 2;
        self.heard += gap;
        gap
    }

    /// Notes a message from a peer. Returns the time for which none was heard, if that was long.
    pub fn hear(&mut self, cfg: &SwimConfig, now: Instant) -> Duration {
        let gap = now.saturating_duration_since(self.heard);
        self.heard = now;
        if gap < cfg.deaf_after {
            return Duration::ZERO;
        }
        self.grace_until = now + cfg.period * 2;
        gap
    }

    /// On which ground a verdict may be given now.
    #[must_use]
    pub fn standing(&self, cfg: &SwimConfig, now: Instant) -> Standing {
        let silence = now.saturating_duration_since(self.heard);
        if now < self.grace_until {
            return Standing::Doubtful;
        }
        if silence < cfg.deaf_after {
            return Standing::Sound;
        }
        if silence < cfg.alone_after {
            return Standing::Doubtful;
        }
        Standing::Alone
    }

    /// A probe got an answer, from its target or a helper.
    pub fn answered(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// A probe got no answer from anybody.
    pub fn unanswered(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Factor for the time that suspects get, 1 for a sound member.
    #[must_use]
    pub fn patience(&self) -> u32 {
        1 + self.score
    }
}
