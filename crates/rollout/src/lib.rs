//! Moves from an old version to a new one: evidence, verdicts, plan of steps, the lease on an
//! unproven share, and the controller that decides.
//!
//! Pure: no I/O and no clock. Times come in as arguments.

mod baseline;
pub mod canary;
pub mod controller;
pub mod evidence;
pub mod lease;
pub mod plan;
pub mod policy;
pub mod sequential;
pub mod simulation;
mod tracker;

#[cfg(test)]
mod tests;
