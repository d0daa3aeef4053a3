//! Instances of service versions, each reached through its own daemon.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::Incarnation;
use base::ServiceName;
use base::VersionName;
use base::ZoneName;

/// An announced instance of a service version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Daemon that forwards calls to the upstream.
    pub daemon: DaemonId,
    /// Incarnation of that daemon.
    pub incarnation: Incarnation,
    /// Address at which that daemon accepts calls from other daemons.
    pub address: SocketAddr,
    /// Availability zone of that daemon.
    pub zone: ZoneName,
    /// Service that the upstream provides.
    pub service: ServiceName,
    /// Version of the service that the upstream runs.
    pub version: VersionName,
    /// Number of calls that the upstream runs concurrently.
    pub slots: u32,
    /// Time that the upstream takes from its start to full speed.
    pub cold_start: Duration,
    /// When this process first saw the instance.
    pub first_seen: Instant,
    /// Whether the instance accepts new calls.
    pub phase: EndpointPhase,
}

/// Whether an instance accepts new calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPhase {
    /// Accepts new calls.
    Serving,
    /// Finishes running calls and accepts no new ones.
    Leaving,
}

impl Endpoint {
    /// Whether the instance accepts new calls.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.phase == EndpointPhase::Serving
    }
}
