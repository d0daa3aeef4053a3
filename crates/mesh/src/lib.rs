//! Decisions of a daemon that runs beside one instance of a mesh: which configuration is in force,
//! which instance gets a request, whether it may wait there, and how a move to a new version goes.
//!
//! Pure: no I/O and no clock. Time and randomness come in as arguments, so that a test can replay
//! any load.

pub mod config;
pub mod directory;
pub mod docket;
pub mod evidence;
pub mod gate;
pub mod health;
pub mod instance;
pub mod leads;
pub mod moves;
pub mod placing;
pub mod retries;
pub mod table;
pub mod wire;

pub use config::Config;
pub use config::ConfigVersion;
pub use config::Route;
pub use directory::Directory;
pub use gate::Gate;
pub use instance::LocalInstance;
pub use leads::Leads;
pub use placing::Placer;
pub use table::RouteTable;

#[cfg(test)]
mod tests;
