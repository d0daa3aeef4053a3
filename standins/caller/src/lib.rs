//! Stand-in for callers: sends calls at a constant rate to one or more daemons and records the
//! outcome of each.
//!
//! It sends each call at most once. Only if a connection cannot be opened, so that nothing was
//! sent, does it try the next daemon, as other clients with several addresses do.

pub mod caller;
pub mod outcome;
pub mod summary;

pub use caller::CallPlan;
pub use caller::Caller;
pub use outcome::CallRecord;
pub use outcome::Outcome;
pub use summary::Summary;

#[cfg(test)]
mod tests;
