//! Prints statistics of simulated rollouts for each behaviour of the new version.
//!
//! Calls and ticks up to the rollback are printed as median, 99th percentile and maximum.

use std::time::Duration;

use rollout::policy;
use rollout::simulation::Behaviour;
use rollout::simulation::Simulation;
use rollout::simulation::summarize;

/// Simulations per row without an argument.
const DEFAULT_RUNS: u32 = 1_000;

fn main() {
    let runs = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_RUNS);
    let kinds = std::iter::once(Behaviour::Good).chain(Behaviour::BAD);
    for behaviour in kinds {
        for (name, base) in scenarios(behaviour) {
            println!("{name}: {}", summarize(&base, runs));
        }
    }
}

/// Daytime, high load, cold starts, and nights under both preferences.
fn scenarios(behaviour: Behaviour) -> [(&'static str, Simulation); 5] {
    let day = Simulation::new(behaviour, 1);
    let busy = Simulation {
        calls_per_second: 400.0,
        failure_rate: 0.01,
        ..day.clone()
    };
    let cold = Simulation {
        cold_start: Duration::from_mins(1),
        ..day.clone()
    };
    let night = Simulation {
        calls_per_second: 0.5,
        ..day.clone()
    };
    let night_on_time = Simulation {
        policy: policy::glykotheke(),
        ..night.clone()
    };
    [
        ("100/s, safety", day),
        ("400/s, 1% fail, safety", busy),
        ("100/s, cold starts, safety", cold),
        ("0.5/s, safety", night),
        ("0.5/s, on time", night_on_time),
    ]
}
