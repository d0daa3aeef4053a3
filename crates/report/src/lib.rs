//! Observability of the system: metrics, the history of calls, and the burn report on
//! service-level objectives.
//!
//! Apart from the metrics registry everything here is pure: no I/O, and the time is an argument.

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
