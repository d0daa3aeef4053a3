//! Change tickets, which operators write as YAML.

mod check;
mod parse;

use std::collections::BTreeMap;
use std::time::Duration;

use base::RoutePrefix;
use base::ServiceName;
use base::Share;
use base::TicketNumber;
use base::UnixMillis;
use base::VersionName;
use base::units::Rfc3339;
use base::units::Span;
use serde::Deserialize;
use serde::Serialize;
use serde_with::MapPreventDuplicates;
use serde_with::serde_as;

pub use check::MAX_NAME_BYTES;
pub use check::MAX_PREFIX_BYTES;
pub use check::MAX_TIMEOUT;
pub use check::MAX_WATCH;
pub use check::MIN_TIMEOUT;
pub use check::RangeError;
pub use parse::TicketError;
pub use parse::parse_ticket;

/// A numbered change that sets or removes services and routes; each one is replaced as a whole.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// Number of the ticket; must be above that of the last accepted ticket.
    pub ticket: TicketNumber,
    /// Services to add or replace.
    #[serde(default)]
    #[serde_as(deserialize_as = "MapPreventDuplicates<_, _>")]
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Routes to add or replace, by path prefix.
    #[serde(default)]
    #[serde_as(deserialize_as = "MapPreventDuplicates<_, _>")]
    pub routes: BTreeMap<RoutePrefix, Route>,
    /// Services to remove.
    #[serde(default)]
    pub remove_services: Vec<ServiceName>,
    /// Path prefixes of the routes to remove.
    #[serde(default)]
    pub remove_routes: Vec<RoutePrefix>,
}

/// The desired state of one service.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Version that is to serve all calls once its rollout completes.
    pub version: VersionName,
    /// Deadline for the full share of that version; as soon as is safe if absent.
    #[serde(default)]
    #[serde_as(as = "Option<Rfc3339>")]
    pub finish_by: Option<UnixMillis>,
    /// Policy of the service's rollouts.
    #[serde(default)]
    pub policy: RolloutPolicy,
}

/// How the rollout of a new version proceeds.
///
/// A version is proven when a sequential test of its calls shows that it is not worse than the
/// stable version.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutPolicy {
    /// Which goal has priority if too few calls arrive to judge the version before the deadline.
    pub prefer: Preference,
    /// Largest share of a version that is not proven yet, in thousandths.
    pub probe_share: Share,
    /// Total calls that a version may receive before it has to be proven.
    pub probe_calls: u32,
    /// How long the version is watched after it receives the full share.
    #[serde_as(as = "Span")]
    pub watch: Duration,
}

impl Default for RolloutPolicy {
    fn default() -> Self {
        Self {
            prefer: Preference::Safety,
            probe_share: 50,
            probe_calls: 200,
            watch: Duration::from_mins(1),
        }
    }
}

/// Which goal has priority if evidence is scarce and the deadline is near.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preference {
    /// The rollout is delayed until the version is proven.
    Safety,
    /// The rollout continues without proof, in small steps, to meet the deadline.
    OnTime,
}

/// A route from callers to a service.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Service that receives the calls.
    pub service: ServiceName,
    /// Whether a call may be retried or hedged.
    pub repeat: Idempotency,
    /// Priority of the calls under load.
    #[serde(default)]
    pub class: TrafficClass,
    /// Time limit from a call's arrival to its final answer.
    #[serde_as(as = "Span")]
    pub timeout: Duration,
}

/// Whether the calls of a route may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// Repeated runs have the effect of one, so attempts may be repeated.
    Idempotent,
    /// The call may run at most once, so an attempt that may have run is not repeated.
    AtMostOnce,
}

/// Priority class of a call under load.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum TrafficClass {
    /// Call between services, such as a check; served first.
    Internal,
    /// Page request of a user.
    #[default]
    Page,
}
