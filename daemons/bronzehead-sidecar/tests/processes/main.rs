//! Tests of the daemon as processes that are killed and stopped, beside a stand-in store and instances.

mod departures;
mod planned_stops;
mod site;
