//! Joining through seeds, with capped and jittered backoff.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::SwimConfig;
use crate::rng::Rng;

/// Seeds and join progress of a member.
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
    /// Starts joining through the seeds in random order. Without seeds other than `me` the member
    /// counts as joined, since there is no peer to join through.
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

    /// Whether a member list was received from a peer, or there are no seeds.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        matches!(self.progress, Progress::Joined)
    }

    /// Ends the join attempts.
    pub fn mark_joined(&mut self) {
        self.progress = Progress::Joined;
    }

    /// Returns the seeds other than this member.
    #[must_use]
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Returns the seed for the next join attempt if one is due, and schedules the one after it.
    pub fn next_seed(
        &mut self,
        cfg: &SwimConfig,
        rng: &mut Rng,
        now: Instant,
    ) -> Option<SocketAddr> {
        let Progress::Trying { attempt, at } = &mut self.progress else {
            return None;
        };
        if now < *at {
            return None;
        }
        let index = *attempt as usize % self.seeds.len();
        *at = now + rng.jitter(backoff(cfg, *attempt));
        *attempt = attempt.wrapping_add(1);
        Some(self.seeds[index])
    }
}

fn backoff(cfg: &SwimConfig, attempt: u32) -> Duration {
    let (first, longest) = cfg.join_backoff;
    first.saturating_mul(1 << attempt.min(10)).min(longest)
}
