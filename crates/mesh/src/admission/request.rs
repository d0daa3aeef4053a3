//! What admission control is told about the instance and its requests.

use std::time::Duration;
use std::time::Instant;

use crate::config::Rank;
use crate::config::RouteName;

/// Parameters of an [`AdmissionController`](super::AdmissionController).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionCfg {
    /// Number of requests that the instance runs concurrently.
    pub slots: u32,
    /// Maximum number of waiting requests.
    pub max_queued: usize,
    /// Shortest retry-after of a refusal.
    pub min_retry_after: Duration,
    /// Longest retry-after of a refusal.
    pub max_retry_after: Duration,
}

/// A request for a slot of the instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest<K> {
    /// Identifies the request.
    pub key: K,
    /// Route that it matched; service times are kept by route.
    pub route: RouteName,
    /// Priority; 0 is the most urgent.
    pub rank: Rank,
    /// Time until which the answer has its full value.
    pub full_value_until: Instant,
    /// Time at which the client gives up.
    pub deadline: Instant,
    /// Service time assumed until requests of the route have ended. After a restart the first requests
    /// come all at once; with too low a value they would queue until they are late.
    pub expected_service_time: Duration,
}

/// The end of a running request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended<'a> {
    /// Its priority.
    pub rank: Rank,
    /// Its route.
    pub route: &'a RouteName,
    /// Its service time, if it ended with an answer.
    pub took: Option<Duration>,
}
