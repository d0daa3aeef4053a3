//! Daemons that announced a later configuration than the one in force, and the order in which to ask them.
//!
//! Handles announcers that do not answer, several at once: machines that froze or lost power after their
//! announcement, links that carry one direction only, connections that went silent. An announcer that has not
//! answered for a moment is not waited for; another one is asked beside it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::config::ConfigVersion;

/// Time without an answer after which another announcer is asked beside the first.
pub const HEDGE_DELAY: Duration = Duration::from_millis(250);

/// Most announcers that are asked at once. Bounds the copies of a configuration on a slow link.
const MAX_ASKED: usize = 3;

/// Most announcers that are kept.
const MAX_ANNOUNCERS: usize = 32;

/// Next step of fetching a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextFetch {
    /// Ask this announcer now; [`ConfigSources::record_end`] must follow.
    Ask(SocketAddr),
    /// Nobody is to be asked now.
    Wait,
}

/// How a fetch from an announcer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchEnd {
    /// It brought a later configuration than the one in force.
    Adopted,
    /// It brought none.
    Failed,
}

/// State of one announcer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// It announced a configuration and can be asked for it.
    Ready,
    /// It is being asked.
    Asked,
    /// It did not give a later configuration, and has not announced one since.
    Failed,
}

#[derive(Debug)]
struct Announcer {
    address: SocketAddr,
    version: ConfigVersion,
    standing: Standing,
    failures: u32,
}

/// Announcers of later configurations.
#[derive(Debug, Default)]
pub struct ConfigSources {
    announced: ConfigVersion,
    pending_since: Option<Instant>,
    announcers: Vec<Announcer>,
    asked_at: Option<Instant>,
}

impl ConfigSources {
    /// Records that the daemon at an address announced a later configuration than the one in force.
    pub fn record(&mut self, address: SocketAddr, version: ConfigVersion, now: Instant) {
        self.announced = self.announced.max(version);
        self.pending_since.get_or_insert(now);
        let known = self.announcers.iter_mut().find(|a| a.address == address);
        if let Some(announcer) = known {
            announcer.version = announcer.version.max(version);
            if announcer.standing == Standing::Failed {
                announcer.standing = Standing::Ready;
            }
        } else if self.announcers.len() < MAX_ANNOUNCERS {
            self.announcers.push(Announcer {
                address,
                version,
                standing: Standing::Ready,
                failures: 0,
            });
        }
    }

    /// Returns the latest version that was announced; 0 before the first one.
    #[must_use]
    pub fn announced(&self) -> ConfigVersion {
        self.announced
    }

    /// Records that a configuration came into force. Returns for how long a later one than that before had been
    /// announced; `None` if nobody had announced one.
    pub fn record_adoption(&mut self, version: ConfigVersion, now: Instant) -> Option<Duration> {
        let since = self.pending_since.take();
        self.announcers.retain(|announcer| {
            announcer.standing == Standing::Asked || announcer.version > version
        });
        if self.announced > version {
            self.pending_since = Some(now);
        }
        since.map(|since| now.saturating_duration_since(since))
    }

    /// Returns whom to ask now: of those that can be asked the one that failed least often, and of these the one
    /// with the latest configuration.
    pub fn next(&mut self, in_force: ConfigVersion, now: Instant) -> NextFetch {
        let is_asked = |a: &&Announcer| a.standing == Standing::Asked;
        let asked = self.announcers.iter().filter(is_asked).count();
        let is_too_early = self
            .asked_at
            .is_some_and(|at| now.saturating_duration_since(at) < HEDGE_DELAY);
        if asked >= MAX_ASKED || (asked > 0 && is_too_early) {
            return NextFetch::Wait;
        }
        let ready = self.announcers.iter_mut().filter(|announcer| {
            announcer.standing == Standing::Ready && announcer.version > in_force
        });
        let best = ready.min_by_key(|a| (a.failures, std::cmp::Reverse(a.version)));
        let Some(announcer) = best else {
            return NextFetch::Wait;
        };
        announcer.standing = Standing::Asked;
        self.asked_at = Some(now);
        NextFetch::Ask(announcer.address)
    }

    /// Records how a fetch ended. An announcer that has answered can be asked again at once, since it may have
    /// announced a yet later configuration meanwhile.
    pub fn record_end(&mut self, address: SocketAddr, end: FetchEnd, in_force: ConfigVersion) {
        let asked = self.announcers.iter_mut().find(|a| a.address == address);
        if let Some(announcer) = asked {
            match end {
                FetchEnd::Adopted => announcer.standing = Standing::Ready,
                FetchEnd::Failed => {
                    announcer.standing = Standing::Failed;
                    announcer.failures = announcer.failures.saturating_add(1);
                }
            }
        }
        self.announcers
            .retain(|announcer| announcer.version > in_force);
    }
}
