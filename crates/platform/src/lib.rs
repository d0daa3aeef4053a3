//! Client for the platform's append-only log.
//!
//! The protocol is JSON over HTTP, see [`wire`]. [`LogClient`] appends and reads with a timeout
//! on each request, [`SnapshotStore`] keeps snapshots in a stream of their own, [`LogReader`]
//! decides what a reader does next, and [`Follower`] combines them and applies the records to a
//! state.
//!
//! Of this crate, the sidecar daemon uses only [`Backoff`]: its records are in the store of the
//! users' platform, whose client is in the crate `users_platform`.

pub mod backoff;
mod client;
mod error;
mod follower;
mod reader;
mod schedule;
mod snapshots;
mod streams;
pub mod wire;

pub use base::streams::RECORD_STREAM;
pub use base::streams::SNAPSHOT_STREAM;

pub use backoff::Backoff;
pub use backoff::BackoffCfg;
pub use client::LogCfg;
pub use client::LogClient;
pub use client::Page;
pub use client::Usage;
pub use error::AppendError;
pub use error::LogError;
pub use follower::Follower;
pub use follower::Progress;
pub use reader::LogReader;
pub use reader::ReadStep;
pub use schedule::ScheduleCfg;
pub use schedule::SnapshotSchedule;
pub use snapshots::SnapshotStore;
pub use streams::Streams;

#[cfg(test)]
mod tests;
