//! Announcements of an upstream to the daemon beside it, as JSON over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use base::ServiceName;
use base::VersionName;
use base::units::Span;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// Path of the daemon's local address that takes announcements.
pub const ANNOUNCE_PATH: &str = "/announce";

/// What an upstream says about itself; repeated as a heartbeat.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that it serves.
    pub service: ServiceName,
    /// Version that it runs.
    pub version: VersionName,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Time from its start to full speed.
    #[serde_as(as = "Span")]
    pub cold_start: Duration,
    /// Whether it takes new work.
    pub phase: UpstreamPhase,
}

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamPhase {
    /// It takes work, slower at first.
    Starting,
    /// It takes work.
    Serving,
    /// It finishes what runs and takes nothing new.
    Draining,
}
