//! Outcomes of rollouts in seeded simulations of the controller core.
//!
//! The simulations use no clock, so their rows do not depend on the machine.

use std::time::Duration;

use rollout::policy;
use rollout::simulation::Behaviour;
use rollout::simulation::Simulation;
use rollout::simulation::Summary;
use rollout::simulation::summarize;

use crate::bench::row::Bound;
use crate::bench::row::Row;
use crate::error::Result;
use crate::process::Interrupt;

/// Number of simulated rollouts for each kind of version.
const TRIALS: u32 = 300;

/// Seed of the simulations.
const SEED: u64 = 1;

/// Unit of the rates. Rows are matched with stored baselines by name, so the row names keep "taken
/// back" for rolled back.
const PER_THOUSAND: &str = "per 1000 moves";

/// Simulates rollouts of good versions under three loads and of each kind of bad version.
#[allow(clippy::unnecessary_wraps)]
pub fn run(_interrupt: &Interrupt) -> Result<Vec<Row>> {
    let mut rows = Vec::new();
    for (name, simulation) in good_simulations() {
        rows.extend(good_rows(name, &summarize(&simulation, TRIALS)));
    }
    for behaviour in Behaviour::BAD {
        rows.extend(bad_rows(&summarize(
            &Simulation::new(behaviour, SEED),
            TRIALS,
        )));
    }
    Ok(rows)
}

/// Returns simulations of a good version: with daytime traffic, with cold starts, and with the
/// sparse traffic of the night.
fn good_simulations() -> [(&'static str, Simulation); 3] {
    let day = Simulation::new(Behaviour::Good, SEED);
    let cold = Simulation {
        cold_start: Duration::from_mins(1),
        ..day.clone()
    };
    let night = Simulation {
        calls_per_second: 0.5,
        policy: policy::glykotheke(),
        ..day.clone()
    };
    [("by day", day), ("cold starts", cold), ("by night", night)]
}

fn good_rows(name: &str, summary: &Summary) -> [Row; 2] {
    let rolled_back = per_thousand(summary.rolled_back, summary);
    let on_time = per_thousand(summary.on_time, summary);
    [
        Row::new(
            format!("good, {name}: taken back"),
            rolled_back,
            PER_THOUSAND,
        )
        .with_bound(Bound::AtMost(1.0)),
        Row::new(format!("good, {name}: on time"), on_time, PER_THOUSAND)
            .with_bound(Bound::AtLeast(990.0)),
    ]
}

fn bad_rows(summary: &Summary) -> [Row; 3] {
    let kind = summary.behaviour;
    let missed = per_thousand(summary.runs - summary.rolled_back, summary);
    let calls = summary.calls_percentile(99);
    let seconds = summary.ticks_percentile(99);
    let limit = f64::from(policy::tanoa().probe_calls);
    [
        Row::new(format!("bad, {kind:?}: missed"), missed, PER_THOUSAND)
            .with_bound(Bound::AtMost(10.0)),
        Row::new(format!("bad, {kind:?}: calls, p99"), calls, "calls")
            .with_bound(Bound::AtMost(limit)),
        Row::new(format!("bad, {kind:?}: time, p99"), seconds, "s"),
    ]
}

fn per_thousand(count: u32, summary: &Summary) -> f64 {
    f64::from(count) * 1000.0 / f64::from(summary.runs)
}
