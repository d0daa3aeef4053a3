//! One version of the mesh configuration: routes, services and client limits.

use std::fmt;
use std::time::Duration;

use base::FastMap;
use base::ServiceName;
use ledger::Idempotency;
use smol_str::SmolStr;

use crate::customers::Customer;
use crate::rate_limit::RequestRate;

/// Version number of a configuration; a newer one is higher.
pub type ConfigVersion = u64;

/// Name of a route, unique within a configuration.
pub type RouteName = SmolStr;

/// Priority of a route under load; 0 is the most urgent.
pub type Rank = u8;

/// Number of ranks of routes, and of customers.
pub const RANKS: Rank = 16;

/// A complete configuration at one version.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Assigned by the operator; a daemon adopts only a higher one than it has.
    pub version: ConfigVersion,
    /// Routes, unordered.
    pub routes: Vec<Route>,
    /// Services that routes may target.
    pub services: FastMap<ServiceName, Service>,
    /// Customers whose keys requests carry; `None` if the deployment has no customers.
    pub customers: Option<Vec<Customer>>,
    /// Limits on requests and connections of clients.
    pub limits: ClientLimits,
    /// Kinds of request that this release does not know, each once.
    pub unknown_kinds: Vec<UnknownKind>,
    /// What could not be read.
    pub unreadable: Unreadable,
}

/// An entry of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// A route, by name.
    Route(SmolStr),
    /// A service, by name.
    Service(SmolStr),
    /// A customer, by name.
    Customer(SmolStr),
    /// The limits on clients.
    Limits,
    /// A table of entries that is missing or no table.
    Table(&'static str),
}

impl Place {
    /// Returns the kind of entry, for metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Route(_) => "route",
            Self::Service(_) => "service",
            Self::Customer(_) => "customer",
            Self::Limits => "limits",
            Self::Table(_) => "table",
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Route(name) => write!(f, "route {name}"),
            Self::Service(name) => write!(f, "service {name}"),
            Self::Customer(name) => write!(f, "customer {name}"),
            Self::Limits => f.write_str("limits"),
            Self::Table(name) => write!(f, "table {name}"),
        }
    }
}

/// What of a configuration could not be read. The rest is in force without it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Unreadable {
    /// Each value that could not be read or contradicts others, with the reason; no reason quotes a key.
    pub values: Vec<UnreadableValue>,
    /// Whether there may be routes that are not listed. A request that matches no route may belong to one of them.
    pub hides_routes: bool,
    /// Whether customers may hold keys that are not listed.
    pub hides_keys: bool,
}

impl Unreadable {
    /// Records a value that could not be read.
    pub fn push(&mut self, place: Place, reason: impl Into<String>) {
        let reason = reason.into();
        self.values.push(UnreadableValue { place, reason });
    }
}

/// A value of a configuration that could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableValue {
    /// Entry that has the value.
    pub place: Place,
    /// Reason, for people.
    pub reason: String,
}

impl fmt::Display for UnreadableValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.reason)
    }
}

/// A service that routes may target.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Service {
    /// What its instances accept while they are cold; `None` if that is not limited.
    pub cold: Option<ColdLimit>,
    /// Path at which its instances answer health probes; `None` if the configuration names none.
    pub health_path: Option<SmolStr>,
}

/// What an instance accepts from the whole fleet while it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdLimit {
    /// How long an instance stays cold after its start.
    pub time: Duration,
    /// Requests a second that it accepts until then.
    pub rate: RequestRate,
}

/// A kind of request that this release does not know. Its requests run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownKind {
    /// Kind as the operator wrote it.
    pub kind: SmolStr,
    /// First route of that kind, by name.
    pub route: RouteName,
}

/// Maps a host and a path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Identifies the route in logs, evidence and admission statistics.
    pub name: RouteName,
    /// Host that it matches, without port; case-insensitive.
    pub host: SmolStr,
    /// Path prefix that it matches; starts and ends with a slash.
    pub prefix: SmolStr,
    /// Whether its requests may be executed more than once.
    pub repeat: Idempotency,
    /// Maximum number of instances that one request may be sent to.
    pub max_attempts: u32,
    /// Longest time that a client waits for an answer.
    pub timeout: Duration,
    /// Latency up to which an answer has its full value; a later answer is worth less.
    pub target_latency: Duration,
    /// Priority under load.
    pub rank: Rank,
    /// Services that share its requests by weight.
    pub targets: Vec<WeightedTarget>,
    /// Weight of the targets that cannot be used; their share of the requests is refused as not run.
    pub unusable_weight: f64,
    /// Whether its requests need no key of a customer.
    pub is_public: bool,
}

/// Largest weight of a target; the weights of any number of targets have a finite sum.
pub const MAX_WEIGHT: f64 = 1e300;

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedTarget {
    /// Service that gets the share.
    pub service: ServiceName,
    /// Weight relative to the other targets of the route, from 0 to [`MAX_WEIGHT`].
    pub weight: f64,
}

impl Route {
    /// Picks the service for a request by weight; `random` is uniformly distributed. `None` for the share of targets
    /// that cannot be used, and when all weights are zero.
    #[must_use]
    pub fn pick_service(&self, random: u64) -> Option<&ServiceName> {
        let usable: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = unit_interval(random) * (usable + self.unusable_weight);
        if self.unusable_weight > 0.0 && remaining >= usable {
            return None;
        }
        let mut last = None;
        for target in self.targets.iter().filter(|target| target.weight > 0.0) {
            if remaining < target.weight {
                return Some(&target.service);
            }
            remaining -= target.weight;
            last = Some(&target.service);
        }
        // Rounding may leave a rest beyond the last target.
        last
    }
}

/// Maps a uniformly distributed number to the interval from 0 to 1, which is excluded.
#[allow(clippy::cast_precision_loss)]
fn unit_interval(random: u64) -> f64 {
    (random >> (u64::BITS - f64::MANTISSA_DIGITS)) as f64 / (1_u64 << f64::MANTISSA_DIGITS) as f64
}

/// Limits on requests and connections of clients.
///
/// The default ones are in force before the first configuration, and in place of those that cannot be read. They are the
/// strictest that deployments have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest request head, in bytes.
    pub max_head: usize,
    /// Largest request body, in bytes.
    pub max_body: usize,
    /// Longest time for receiving a request head.
    pub head_timeout: Duration,
    /// How long a connection without a request is kept open.
    pub keep_alive_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_head: 16 * 1024,
            max_body: 64 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            keep_alive_timeout: Duration::from_secs(15),
        }
    }
}
