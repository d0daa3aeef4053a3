//! What the system tells about itself: metrics, the history of calls, and the report on
//! service-level burn.
//!
//! Apart from the registry of the metrics everything here is pure: no I/O, and time comes in as
//! an argument.

pub mod burn;
pub mod catalogue;
pub mod history;
pub mod metrics;
pub mod objectives;

pub use burn::BurnReport;
pub use history::CallResult;
pub use history::History;
pub use history::HistoryView;
pub use metrics::Metrics;
pub use metrics::MetricsError;
pub use objectives::Objectives;

#[cfg(test)]
mod tests;
