//! Change tickets as operators write them.

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

/// A numbered change: the whole new state of the services and routes that it touches.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// Must be above the number of the last accepted ticket.
    pub ticket: TicketNumber,
    /// Services that are added or changed.
    #[serde(default)]
    #[serde_as(deserialize_as = "MapPreventDuplicates<_, _>")]
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Routes that are added or changed, by path prefix.
    #[serde(default)]
    #[serde_as(deserialize_as = "MapPreventDuplicates<_, _>")]
    pub routes: BTreeMap<RoutePrefix, Route>,
    /// Services that are removed.
    #[serde(default)]
    pub remove_services: Vec<ServiceName>,
    /// Routes that are removed.
    #[serde(default)]
    pub remove_routes: Vec<RoutePrefix>,
}

/// The wanted state of one service.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Version that is to serve all calls.
    pub version: VersionName,
    /// When the move to that version should have ended; as soon as is safe if absent.
    #[serde(default)]
    #[serde_as(as = "Option<Rfc3339>")]
    pub finish_by: Option<UnixMillis>,
    /// How the move weighs safety against the time.
    #[serde(default)]
    pub policy: RolloutPolicy,
}

/// How a move to a new version is made.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutPolicy {
    /// What wins where too few calls come in to judge the version by the wanted time.
    pub prefer: Preference,
    /// Largest share of an unproven version, in thousandths.
    pub probe_share: Share,
    /// Calls that an unproven version may get in all before it has to be proven.
    pub probe_calls: u32,
    /// How long the version is watched after it got the full share.
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

/// What wins where evidence is scarce and the wanted time is near.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preference {
    /// The move ends late rather than unproven.
    Safety,
    /// The move goes on unproven, in small steps, rather than end late.
    OnTime,
}

/// One route from callers to a service.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Service that answers.
    pub service: ServiceName,
    /// Whether a call may be sent again.
    pub repeat: Idempotency,
    /// Which calls go first under load.
    #[serde(default)]
    pub class: TrafficClass,
    /// Time from a call's arrival to its final answer.
    #[serde_as(as = "Span")]
    pub timeout: Duration,
}

/// Whether a call may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// Another attempt does no harm.
    Idempotent,
    /// The call runs at most once.
    AtMostOnce,
}

/// Priority of a call under load.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum TrafficClass {
    /// A check between services; goes first.
    Internal,
    /// A page that a person waits for.
    #[default]
    Page,
}
