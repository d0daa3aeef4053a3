//! Announcements of an upstream to its local daemon, as JSON over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use base::ServiceName;
use base::VersionName;
use base::units::Span;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// Path on the daemon's local address that accepts announcements, by POST.
pub const ANNOUNCE_PATH: &str = "/announce";

/// State of an upstream as it reports it; sent repeatedly as a heartbeat.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the upstream provides.
    pub service: ServiceName,
    /// Version of the service that the upstream runs.
    pub version: VersionName,
    /// Address on which the upstream accepts calls.
    pub address: SocketAddr,
    /// Number of calls that the upstream runs concurrently.
    pub slots: u32,
    /// Time from the start of the upstream to its full speed; serialized as text with a unit.
    #[serde_as(as = "Span")]
    pub cold_start: Duration,
    /// Whether the upstream accepts new calls.
    pub phase: UpstreamPhase,
}

/// Lifecycle phase of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamPhase {
    /// The upstream accepts calls but is still in its cold start.
    Starting,
    /// The upstream accepts calls at full speed.
    Serving,
    /// The upstream finishes running calls and accepts no new ones.
    Draining,
}
