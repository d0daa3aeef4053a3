//! Tests of the daemon as processes that are killed and stopped, beside a stand-in store and instances.

mod departures;
mod planned_stops;
mod settings;
#[allow(dead_code, reason = "the targets share it, and none uses all of it")]
#[path = "../site/mod.rs"]
mod site;
