//! Log records, change tickets, and the replicated state machine that applies them.
//!
//! Does no I/O and reads no clock. Replicas that applied the same records hold the same state, so
//! the order of the log is the only consensus that the system needs.

mod display;
pub mod fold;
pub mod record;
pub mod snapshot;
mod split;
pub mod state;
pub mod ticket;

pub use fold::Applied;
pub use fold::IgnoreReason;
pub use fold::check_ticket;
pub use record::Entry;
pub use record::EntryError;
pub use record::Record;
pub use record::StampedRecord;
pub use snapshot::Snapshot;
pub use snapshot::SnapshotError;
pub use state::Phase;
pub use state::RejectReason;
pub use state::Rollout;
pub use state::RolloutEnd;
pub use state::RolloutOutcome;
pub use state::Service;
pub use state::State;
pub use state::TicketRange;
pub use state::TicketVerdict;
pub use ticket::Idempotency;
pub use ticket::Preference;
pub use ticket::RangeError;
pub use ticket::RolloutPolicy;
pub use ticket::Route;
pub use ticket::ServiceSpec;
pub use ticket::Ticket;
pub use ticket::TicketError;
pub use ticket::TrafficClass;
pub use ticket::parse_ticket;

#[cfg(test)]
mod tests;
