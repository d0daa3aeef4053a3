//! One instance of one version of a service, reached through the daemon beside it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::Incarnation;
use base::ServiceName;
use base::VersionName;
use base::ZoneName;

/// An instance that announced itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Daemon beside the upstream.
    pub daemon: DaemonId,
    /// Incarnation of that daemon.
    pub incarnation: Incarnation,
    /// Where that daemon takes calls from other daemons.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Service that the upstream serves.
    pub service: ServiceName,
    /// Version that it runs.
    pub version: VersionName,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Time from its start to full speed.
    pub cold_start: Duration,
    /// When it was first seen here.
    pub first_seen: Instant,
    /// Whether it takes new work.
    pub phase: EndpointPhase,
}

/// Whether an instance takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPhase {
    /// It takes new work.
    Serving,
    /// It finishes what runs.
    Leaving,
}

impl Endpoint {
    /// Whether new calls may be sent to it.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.phase == EndpointPhase::Serving
    }
}
