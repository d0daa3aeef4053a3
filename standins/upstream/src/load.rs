//! Value of the load header, and the slowdown during the cold start.

use std::time::Duration;
use std::time::Instant;

use crate::faults::LoadReport;

/// Interval between the samples from which lagging load reports are taken.
pub const REPORT_LAG: Duration = Duration::from_secs(2);

/// Factor on the service time at the beginning of the cold start.
pub const COLD_START_FACTOR: f64 = 4.0;

/// Computes the reported load and keeps an earlier load for lagging reports.
#[derive(Debug, Default)]
pub struct LoadMeter {
    last_sample: Option<(Instant, u32)>,
    lagging_load: u32,
}

impl LoadMeter {
    /// Returns the value of the load header while `running` calls run.
    pub fn report(&mut self, kind: LoadReport, running: u32, now: Instant) -> u32 {
        self.sample(running, now);
        match kind {
            LoadReport::Honest => running,
            LoadReport::Lagging => self.lagging_load,
            LoadReport::Misleading => 0,
        }
    }

    fn sample(&mut self, running: u32, now: Instant) {
        match self.last_sample {
            Some((sampled_at, _)) if now.duration_since(sampled_at) < REPORT_LAG => {}
            previous => {
                self.lagging_load = previous.map_or(0, |(_, load)| load);
                self.last_sample = Some((now, running));
            }
        }
    }
}

/// Returns the factor on the service time of an upstream that started `age` ago. It falls
/// linearly from [`COLD_START_FACTOR`] to 1 over `cold_start`.
#[must_use]
pub fn cold_start_factor(age: Duration, cold_start: Duration) -> f64 {
    if age >= cold_start {
        return 1.0;
    }
    let progress = age.as_secs_f64() / cold_start.as_secs_f64();
    COLD_START_FACTOR - (COLD_START_FACTOR - 1.0) * progress
}
