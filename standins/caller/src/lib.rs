//! Stand-in for callers: sends calls at a steady rate to one or more daemons and counts what
//! became of each.
//!
//! It sends a call once. Only where no connection could be opened, so that nothing was sent, does
//! it go on to the next daemon, as any client with several addresses would.

pub mod caller;
pub mod outcome;
pub mod summary;

pub use caller::Caller;
pub use caller::Plan;
pub use outcome::CallRecord;
pub use outcome::Outcome;
pub use summary::Summary;

#[cfg(test)]
mod tests;
