//! Calls from callers to upstreams.

mod caller;
mod upstream;

pub use caller::CallerSide;
pub use upstream::Observation;
pub use upstream::UpstreamSide;
