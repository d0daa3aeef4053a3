//! Records of the log, tickets, and the fold from records to state.
//!
//! Pure: no I/O and no clock. Whoever has folded the same records holds the same state, so the
//! order of the log is the only agreement that the system needs.

pub mod record;
pub mod state;
pub mod ticket;

pub use record::Entry;
pub use record::Record;
pub use record::StampedRecord;
pub use state::EndReport;
pub use state::Move;
pub use state::MoveEnd;
pub use state::Phase;
pub use state::RejectReason;
pub use state::Service;
pub use state::State;
pub use state::Verdict;
pub use ticket::Class;
pub use ticket::MovePolicy;
pub use ticket::Preference;
pub use ticket::Repeat;
pub use ticket::Route;
pub use ticket::ServiceSpec;
pub use ticket::Ticket;
