//! The daemon: tasks that own sockets and drive the pure cores.
//!
//! Begin reading at [`Daemon`]. Parts publish what others need on the [`shared_state::SharedState`] and own
//! everything else.

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
