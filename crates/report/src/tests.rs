//! Tests of the metrics, the history of calls and the burn report.

mod burn;
mod history;
mod metrics;
