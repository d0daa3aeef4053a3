//! Routing of calls: routing tables, load balancing, admission control, retries and hedging.
//!
//! The crate performs no I/O and reads no clock. Time and randomness are passed as arguments, so
//! that tests can replay any order of events.

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
