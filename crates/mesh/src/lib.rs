//! Decisions of a daemon that runs beside one instance of a mesh: which configuration is in force,
//! which instance gets a request, whether it may wait there, and how a move to a new version goes.
//!
//! Pure: no I/O and no clock. Time and randomness come in as arguments, so that a test can replay
//! any load.

pub mod admission;
pub mod balancer;
pub mod canary;
pub mod config;
pub mod directory;
pub mod election;
pub mod evidence;
pub mod health;
pub mod instance;
pub mod moves;
pub mod retry_budgets;
pub mod table;
pub mod wire;

pub use admission::AdmissionController;
pub use balancer::Balancer;
pub use config::Config;
pub use config::ConfigVersion;
pub use config::Route;
pub use directory::Directory;
pub use election::LeaderElection;
pub use instance::LocalInstance;
pub use table::RouteTable;

#[cfg(test)]
mod tests;
