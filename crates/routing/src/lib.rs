//! Decisions about calls: which instance gets one, whether it may wait, and what its end is.
//!
//! Pure: no I/O and no clock. Time and randomness come in as arguments, so that a test can drive
//! every order of events.

pub mod admission;
pub mod attempt_table;
pub mod attempts;
pub mod balancer;
pub mod budget;
pub mod endpoint;
pub mod probe;
pub mod table;

pub use admission::Admission;
pub use attempt_table::AttemptTable;
pub use attempts::CallStateMachine;
pub use balancer::Balancer;
pub use budget::HedgePolicy;
pub use budget::RetryBudget;
pub use endpoint::Endpoint;
pub use endpoint::EndpointPhase;
pub use probe::ProbeBudget;
pub use table::Table;
pub use table::TableSlot;

#[cfg(test)]
mod tests;
