//! The daemon: tasks that own sockets and drive the I/O-free state machines of the other crates.
//!
//! [`Daemon`] is the entry point. Parts publish values for other parts in
//! [`shared_state::SharedState`] and own all other state.

pub mod calls;
pub mod control;
pub mod feed;
mod local;
pub mod members;
pub mod meter;
mod peers;
mod run;
pub mod shared_state;
mod snapshots;
mod table;
pub mod watch;

pub use run::Daemon;
pub use run::StartError;

#[cfg(test)]
mod tests;
