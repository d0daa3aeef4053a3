//! The daemon: tasks that own sockets and drive the pure cores.
//!
//! Begin reading at [`Daemon`]. Parts publish what others need on the [`board::Board`] and own
//! everything else.

pub mod board;
pub mod calls;
pub mod control;
pub mod feed;
mod local;
pub mod members;
pub mod meter;
mod peers;
mod run;
mod snapshots;
mod table;
pub mod watch;

pub use run::Daemon;
pub use run::StartError;

#[cfg(test)]
mod tests;
