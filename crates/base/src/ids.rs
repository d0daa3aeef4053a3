//! Type aliases for the identifiers of the system.

use smol_str::SmolStr;

/// Name of a daemon, unique in the fleet; set in its settings.
pub type DaemonId = SmolStr;

/// Term of a controller; records of a lower epoch are fenced off.
pub type Epoch = u64;

/// Number of one run of a process; each restart gets a higher one.
///
/// A daemon derives it from its start time in milliseconds since the Unix epoch.
pub type Incarnation = u64;

/// Position of a record in the log; rises with each record.
pub type Offset = u64;

/// Idempotency key of an append; duplicates of a record have the same id.
pub type RecordId = SmolStr;

/// Path prefix that a route matches, such as `/bookings`.
pub type RoutePrefix = SmolStr;

/// Name of a service, such as `bookings`.
pub type ServiceName = SmolStr;

/// Share of a service's calls that a version gets, in thousandths: 0 to [`FULL_SHARE`].
pub type Share = u16;

/// Number of a change ticket, assigned by an operator.
pub type TicketNumber = u64;

/// Wall-clock time in milliseconds since the Unix epoch.
pub type UnixMillis = u64;

/// Name of a version of a service, such as `v2`.
pub type VersionName = SmolStr;

/// Name of an availability zone, such as `suva-a`.
pub type ZoneName = SmolStr;

/// Share of a version that gets all calls of its service.
pub const FULL_SHARE: Share = 1000;
