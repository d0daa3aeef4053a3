//! The sections of the settings, with their defaults.

use std::net::SocketAddr;
use std::time::Duration;

use base::streams::RECORD_STREAM;
use base::streams::SNAPSHOT_STREAM;
use base::units::Size;
use base::units::Span;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use smol_str::SmolStr;

use crate::address::Address;

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;

/// Addresses that a daemon listens on.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP of callers.
    #[serde_as(as = "Address")]
    pub calls: SocketAddr,
    /// Inner protocol, TCP and UDP.
    #[serde_as(as = "Address")]
    pub peers: SocketAddr,
    /// Announcements, status and metrics.
    #[serde_as(as = "Address")]
    pub local: SocketAddr,
}

/// The platform's append-only log service.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogService {
    /// Address of the service.
    #[serde_as(as = "Address")]
    pub address: SocketAddr,
    /// Stream of tickets and decisions.
    #[serde(default = "default_stream")]
    pub stream: SmolStr,
    /// Stream of snapshots of the folded state.
    #[serde(default = "default_snapshots")]
    pub snapshots: SmolStr,
    /// Timeout of one append or read.
    #[serde(default = "default_log_timeout")]
    #[serde_as(as = "Span")]
    pub timeout: Duration,
}

fn default_stream() -> SmolStr {
    SmolStr::new_static(RECORD_STREAM)
}

fn default_snapshots() -> SmolStr {
    SmolStr::new_static(SNAPSHOT_STREAM)
}

fn default_log_timeout() -> Duration {
    Duration::from_secs(2)
}

/// Limits of memory and concurrency.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest body of a call or an answer, in bytes.
    #[serde_as(as = "Size")]
    pub max_body: u64,
    /// Largest head of a call or an answer, in bytes.
    #[serde_as(as = "Size")]
    pub max_head: u64,
    /// Calls that wait for a slot of the upstream.
    pub queue: u32,
    /// Answers that are kept to be handed over after a cut connection, in bytes.
    #[serde_as(as = "Size")]
    pub memory_of_calls: u64,
    /// Idle connections kept to one peer.
    pub connections_per_peer: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body: MIB,
            max_head: 16 * KIB,
            queue: 32,
            memory_of_calls: 8 * MIB,
            connections_per_peer: 64,
        }
    }
}

/// Timeouts and periods.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Timeout of opening a connection.
    #[serde_as(as = "Span")]
    pub connect: Duration,
    /// Period of the probes of other members.
    #[serde_as(as = "Span")]
    pub probe_every: Duration,
    /// Time from suspecting a member to declaring it dead.
    #[serde_as(as = "Span")]
    pub suspicion: Duration,
    /// Life of the lease on an unproven version's share without renewal.
    #[serde_as(as = "Span")]
    pub lease: Duration,
    /// Time after which an unused connection is closed.
    #[serde_as(as = "Span")]
    pub idle: Duration,
    /// Longest graceful shutdown.
    #[serde_as(as = "Span")]
    pub drain: Duration,
    /// Period of heartbeats between daemons.
    #[serde_as(as = "Span")]
    pub heartbeat: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(250),
            probe_every: Duration::from_secs(1),
            suspicion: Duration::from_secs(4),
            lease: Duration::from_secs(3),
            idle: Duration::from_secs(30),
            drain: Duration::from_secs(10),
            heartbeat: Duration::from_millis(500),
        }
    }
}

/// How records of the log spread in a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fanout {
    /// Daemons of a zone that read the log themselves.
    pub readers_per_zone: u32,
    /// Daemons that one daemon passes records on to.
    pub degree: u32,
}

impl Default for Fanout {
    fn default() -> Self {
        Self {
            readers_per_zone: 2,
            degree: 16,
        }
    }
}

/// What is written to the daemon's own log output.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Logs {
    /// Least severe level that is written.
    pub level: LogLevel,
}

/// Severity of a line of log output.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Nothing is written.
    Off,
    /// Failures that need an operator.
    Error,
    /// Failures that the system deals with.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Each decision.
    Debug,
    /// Each message.
    Trace,
}

impl LogLevel {
    /// The level as log libraries write it.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Off => "off",
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}
