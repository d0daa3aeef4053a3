//! Identifiers, units, hashing and collections that the other crates share.
//!
//! Does no I/O and reads no clock.

pub mod collections;
pub mod hash;
pub mod ids;
pub mod streams;
pub mod units;
pub mod wakers;

pub use collections::FastMap;
pub use collections::FastSet;
pub use ids::DaemonId;
pub use ids::Epoch;
pub use ids::FULL_SHARE;
pub use ids::Incarnation;
pub use ids::Offset;
pub use ids::RecordId;
pub use ids::RoutePrefix;
pub use ids::ServiceName;
pub use ids::Share;
pub use ids::TicketNumber;
pub use ids::UnixMillis;
pub use ids::VersionName;
pub use ids::ZoneName;

#[cfg(test)]
mod tests;
