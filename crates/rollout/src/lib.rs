//! Moves from an old version to a new one: evidence, verdicts, plan of steps, the lease on an
//! unproven share, and the controller that decides.
//!
//! Pure: no I/O and no clock. Times come in as arguments.

pub mod controller;
pub mod evidence;
pub mod judge;
pub mod lease;
pub mod plan;
pub mod policy;
mod reference;
pub mod sequential;
pub mod simulation;
mod tracker;

#[cfg(test)]
mod tests;
