//! Stand-in for one upstream: runs calls within its slots, announces itself to the daemon beside
//! it, records what ran, and has switches for its faults.
//!
//! Paths besides the calls: `GET /health`, `GET` and `POST /faults`, `POST /drain`, `GET /runs`
//! (a summary) and `GET /runs/ids` (runs by call id).

pub mod announcer;
pub mod faults;
pub mod load;
pub mod response_body;
pub mod runs;
pub mod service;
pub mod signal;
pub mod upstream;

pub use faults::Faults;
pub use response_body::ResponseBody;
pub use response_body::ResponseBodyError;
pub use runs::RunSummary;
pub use upstream::Upstream;
pub use upstream::UpstreamCfg;

#[cfg(test)]
mod tests;
