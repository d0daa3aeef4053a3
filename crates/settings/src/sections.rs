//! Sections of the settings and their defaults.
//!
//! Each field is the key of the same name in the YAML file.

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
    /// HTTP requests of clients.
    #[serde_as(as = "Address")]
    pub calls: SocketAddr,
    /// Protocol between daemons: HTTP over TCP, gossip over UDP.
    #[serde_as(as = "Address")]
    pub peers: SocketAddr,
    /// Announcements of the upstream, status and metrics.
    #[serde_as(as = "Address")]
    pub local: SocketAddr,
}

/// The platform's append-only log service.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogService {
    /// Address of the log service; the port must not be 0.
    #[serde_as(as = "Address")]
    pub address: SocketAddr,
    /// Stream of tickets and of the controller's records.
    #[serde(default = "default_stream")]
    pub stream: SmolStr,
    /// Stream of snapshots; must differ from `stream`.
    #[serde(default = "default_snapshots")]
    pub snapshots: SmolStr,
    /// Timeout of a single append or read.
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

/// Limits on memory and concurrency.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of the body of a request or response, in bytes.
    #[serde_as(as = "Size")]
    pub max_body: u64,
    /// Maximum size of the head of a request or response, in bytes.
    #[serde_as(as = "Size")]
    pub max_head: u64,
    /// Maximum number of calls that wait for a free slot of the upstream.
    pub queue: u32,
    /// Maximum total size of the responses kept for delivery after a lost connection, in bytes.
    #[serde_as(as = "Size")]
    pub memory_of_calls: u64,
    /// Maximum number of idle connections kept per peer.
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

/// Timeouts and intervals.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Timeout for opening a connection.
    #[serde_as(as = "Span")]
    pub connect: Duration,
    /// Interval between probes of other members.
    #[serde_as(as = "Span")]
    pub probe_every: Duration,
    /// Time from suspecting a member to declaring it dead.
    #[serde_as(as = "Span")]
    pub suspicion: Duration,
    /// Time without a renewal of the controller's lease after which a version with less than the
    /// full share gets no calls.
    #[serde_as(as = "Span")]
    pub lease: Duration,
    /// Time without a request after which a server closes a connection.
    #[serde_as(as = "Span")]
    pub idle: Duration,
    /// Timeout of each step of a graceful shutdown.
    #[serde_as(as = "Span")]
    pub drain: Duration,
    /// Time without a reply after which a daemon asks its peer about an open attempt; also the
    /// timeout of each such query.
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

/// Distribution of log records within an availability zone, as a tree of daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fanout {
    /// Number of daemons per availability zone that read the log directly; at least 1.
    pub readers_per_zone: u32,
    /// Maximum number of daemons that one daemon forwards records to; at least 1.
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

/// Logging of the daemon itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Logs {
    /// Minimum severity of the messages that are logged.
    pub level: LogLevel,
}

/// Severity of a log message, from the most severe to the least.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Disables logging.
    Off,
    /// Failures that need an operator's attention.
    Error,
    /// Failures that the system handles.
    Warn,
    /// State changes.
    #[default]
    Info,
    /// Individual decisions.
    Debug,
    /// Individual messages between daemons.
    Trace,
}

impl LogLevel {
    /// The name that logging libraries use for the level.
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
