//! Decision logic of the sidecar daemon: which configuration is in force, which instance gets a
//! request, whether the request is admitted there, and how a move of traffic to a new version
//! progresses.
//!
//! No I/O and no clock: time and random numbers are arguments, so that tests can replay any load.

pub mod admission;
pub mod balancer;
pub mod canary;
pub mod caps;
pub mod cold;
pub mod config;
pub mod config_check;
pub mod config_sources;
pub mod customers;
pub mod departures;
pub mod directory;
pub mod election;
pub mod evacuation;
pub mod evidence;
pub mod health;
pub mod instance;
pub mod knowledge;
pub mod latency;
pub mod link;
pub mod move_decision;
pub mod moves;
pub mod order_clock;
pub mod quarantine;
pub mod rank_scale;
pub mod rate_limit;
pub mod retry_budgets;
pub mod route_proof;
pub mod run_origins;
pub mod shutdown;
pub mod stored_members;
pub mod table;
pub mod transfers;
pub mod wake;
pub mod wire;

pub use admission::AdmissionController;
pub use balancer::Balancer;
pub use config::Config;
pub use config::ConfigVersion;
pub use config::Route;
pub use directory::Directory;
pub use election::LeaderElection;
pub use instance::LocalInstance;
pub use stored_members::StoredMembers;
pub use table::RouteTable;

#[cfg(test)]
mod tests;
