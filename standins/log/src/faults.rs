//! Switches for the faults of the platform.

use std::time::Duration;

use base::units::Span;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// Switches; what is absent stays as it is.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Whether the service is out, and how.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage: Option<Outage>,
    /// Time added to each answer.
    #[serde_as(as = "Option<Span>")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub latency: Option<Duration>,
    /// Number of appends to come that take effect but get no answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<u32>,
    /// Number of requests to come that get no answer and have no effect, as on a connection
    /// that fell silent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub silent_requests: Option<u32>,
    /// Appends a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub appends_per_second: Option<u32>,
    /// Records that each stream keeps.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retention_records: Option<usize>,
    /// Time for which records are kept.
    #[serde_as(as = "Option<Span>")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retention_age: Option<Duration>,
}

/// Whether the service is out, and how.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// It works.
    #[default]
    None,
    /// It refuses every request.
    Refuse,
    /// It takes requests and never answers.
    Hang,
}
