//! Gradual rollouts of new service versions.
//!
//! Daemons report call outcomes ([`evidence`]). The [`canary`] analysis compares the new version
//! with the old one by [`sequential`] tests. The [`plan`] raises the new version's traffic share
//! in steps, and the [`controller`] on the elected daemon appends the decisions to the log. The
//! [`lease`] limits the damage when the controller fails: without renewals, new calls go to the old
//! version.
//!
//! This crate does no I/O and reads no clock; the caller passes the time.

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
