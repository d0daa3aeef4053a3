//! Calls from callers to upstreams.
//!
//! [`CallerSide`] accepts a call from a client, selects instances and drives the call's state
//! machine. [`UpstreamSide`] accepts attempts from other daemons, admits them and runs them on the
//! local upstream. Both buffer whole messages, within the size limits of the settings.

mod attempt;
mod call;
mod caller;
mod pending;
mod slots;
mod upstream;
mod wire;

pub use caller::CallerSide;
pub use upstream::Observation;
pub use upstream::UpstreamSide;
