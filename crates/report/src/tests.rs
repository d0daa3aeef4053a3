//! Tests of metrics, history and report.

mod burn;
mod history;
mod metrics;
