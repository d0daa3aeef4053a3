//! Joining through seeds, with capped and jittered retries.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::SwimConfig;
use crate::rng::Rng;

/// How far a member has come with joining.
#[derive(Debug)]
pub struct Join {
    seeds: Vec<SocketAddr>,
    progress: Progress,
}

#[derive(Debug)]
enum Progress {
    Joined,
    Trying { attempt: u32, at: Instant },
}

impl Join {
    /// Starts to join through the seeds in random order; without seeds other than this member there is nobody to join.
    #[must_use]
    pub fn new(seeds: &[SocketAddr], me: SocketAddr, rng: &mut Rng, now: Instant) -> Self {
        let mut seeds: Vec<_> = seeds.iter().copied().filter(|it| *it != me).collect();
        rng.shuffle(&mut seeds);
        let progress = if seeds.is_empty() {
            Progress::Joined
        } else {
            Progress::Trying {
                attempt: 0,
                at: now,
            }
        };
        Self { seeds, progress }
    }

    /// Whether the member list was had from somebody.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        matches!(self.progress, Progress::Joined)
    }

    /// Ends the tries.
    pub fn joined(&mut self) {
        self.progress = Progress::Joined;
    }

    /// Seeds other than this member.
    #[must_use]
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// A seed to ask, when the next try is due.
    pub fn due(&mut self, cfg: &SwimConfig, rng: &mut Rng, now: Instant) -> Option<SocketAddr> {
        let Progress::Trying { attempt, at } = &mut self.progress else {
            return None;
        };
        if now < *at {
            return None;
        }
        let turn = *attempt as usize % self.seeds.len();
        *at = now + rng.jitter(backoff(cfg, *attempt));
        *attempt = attempt.wrapping_add(1);
        Some(self.seeds[turn])
    }
}

fn backoff(cfg: &SwimConfig, attempt: u32) -> Duration {
    let (first, longest) = cfg.join_backoff;
    first.saturating_mul(1 << attempt.min(10)).min(longest)
}
