//! One version of the configuration: routes, services and the limits for clients.

use std::time::Duration;

use base::FastSet;
use base::ServiceName;
use ledger::Idempotency;
use smol_str::SmolStr;

/// Number of a configuration; a later one is higher.
pub type ConfigVersion = u64;

/// Name of a route.
pub type RouteName = SmolStr;

/// Rank of a route under load; 0 is the most urgent.
pub type Rank = u8;

/// The whole configuration at one version.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Its number.
    pub version: ConfigVersion,
    /// Routes, in no order.
    pub routes: Vec<Route>,
    /// Services that routes may point at.
    pub services: FastSet<ServiceName>,
    /// Limits for clients.
    pub limits: ClientLimits,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// Host that it answers for.
    pub host: SmolStr,
    /// Beginning of the paths that it answers for; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether its requests may run more than once.
    pub repeat: Idempotency,
    /// Most instances that one request may be sent to.
    pub max_attempts: u32,
    /// Longest time that a client is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub target_latency: Duration,
    /// Rank under load.
    pub rank: Rank,
    /// Services that share its requests; never empty.
    pub targets: Vec<WeightedTarget>,
}

/// A service's share of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedTarget {
    /// The service.
    pub service: ServiceName,
    /// Its weight among those of the route.
    pub weight: u32,
}

impl Route {
    /// The service for a request, by weight; `random` is any number.
    #[must_use]
    pub fn pick_service(&self, random: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut left = random.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}

/// What clients may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest head of a request, in bytes.
    pub max_head: usize,
    /// Largest body of a request, in bytes.
    pub max_body: usize,
    /// Longest time for the head of a request.
    pub head_timeout: Duration,
    /// Connections without a request are kept open for this time.
    pub keep_alive_timeout: Duration,
}
