//! Faults that the log injects, as `POST /faults` takes them.

use std::time::Duration;

use base::units::Span;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// Faults and limits to set; fields that are absent leave the current value unchanged.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Whether the log serves, refuses or ignores requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage: Option<Outage>,
    /// Delay added to each response.
    #[serde_as(as = "Option<Span>")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub latency: Option<Duration>,
    /// Number of upcoming appends that take effect but get no response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<u32>,
    /// Number of upcoming requests that get no response and have no effect, as on a connection
    /// that loses its packets.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub silent_requests: Option<u32>,
    /// Rate limit, in appends per second over all streams.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub appends_per_second: Option<u32>,
    /// Maximum number of records that each stream retains.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retention_records: Option<usize>,
    /// Maximum age of a record.
    #[serde_as(as = "Option<Span>")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retention_age: Option<Duration>,
}

/// Whether the log serves, refuses or ignores requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// The log serves requests.
    #[default]
    None,
    /// Every request is refused with status 503.
    Refuse,
    /// Requests are accepted but never answered.
    Hang,
}
