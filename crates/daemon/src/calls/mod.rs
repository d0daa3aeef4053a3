//! Calls from callers to upstreams.
//!
//! [`CallerSide`] takes a call from a client, chooses instances and drives the machine of the
//! call. [`UpstreamSide`] takes attempts from other daemons, admits them and runs them on the
//! upstream beside this daemon. Both hold messages whole, within the limits of the settings.

mod arrival;
mod attempt;
mod call;
mod caller;
mod slots;
mod upstream;
mod wire;

pub use caller::CallerSide;
pub use upstream::Observation;
pub use upstream::UpstreamSide;
