//! Type aliases for the identifiers of the system.

use smol_str::SmolStr;

/// Name of one daemon, unique in the fleet; comes from its settings.
pub type DaemonId = SmolStr;

/// Term of a controller; a higher epoch fences off every lower one.
pub type Epoch = u64;

/// Start number of a process; a restarted process has a higher one than before.
pub type Incarnation = u64;

/// Position of a record in the log.
pub type Offset = u64;

/// Unique name of one append; a second copy of a record carries the same one.
pub type RecordId = SmolStr;

/// Path prefix that a route answers to, such as `/bookings`.
pub type RoutePrefix = SmolStr;

/// Name of a service, such as `bookings`.
pub type ServiceName = SmolStr;

/// Share of a service's calls, in thousandths.
pub type Share = u16;

/// Number that an operator gave to a change ticket.
pub type TicketNumber = u64;

/// Wall-clock time in milliseconds since the Unix epoch.
pub type UnixMillis = u64;

/// Name of one version of a service, such as `v2`.
pub type VersionName = SmolStr;

/// Name of an availability zone, such as `suva-a`.
pub type ZoneName = SmolStr;

/// The share that stands for all calls of a service.
pub const FULL_SHARE: Share = 1000;
