//! What the upstream reports about its load, and how cold it still is.

use std::time::Duration;
use std::time::Instant;

use crate::faults::LoadReport;

/// Age of a lagging report.
pub const LAG: Duration = Duration::from_secs(2);

/// Factor on the service time at the very start.
pub const COLD_FACTOR: f64 = 4.0;

/// Remembers an earlier load for lagging reports.
#[derive(Debug, Default)]
pub struct LoadMeter {
    sampled: Option<(Instant, u32)>,
    lagging: u32,
}

impl LoadMeter {
    /// What the header says when `running` calls run.
    pub fn report(&mut self, kind: LoadReport, running: u32, now: Instant) -> u32 {
        self.sample(running, now);
        match kind {
            LoadReport::Honest => running,
            LoadReport::Lagging => self.lagging,
            LoadReport::Misleading => 0,
        }
    }

    fn sample(&mut self, running: u32, now: Instant) {
        match self.sampled {
            Some((at, _)) if now.duration_since(at) < LAG => {}
            earlier => {
                self.lagging = earlier.map_or(0, |(_, load)| load);
                self.sampled = Some((now, running));
            }
        }
    }
}

/// Factor on the service time of an upstream that started `age` ago: falls in a line to 1.
#[must_use]
pub fn cold_factor(age: Duration, cold_start: Duration) -> f64 {
    if age >= cold_start {
        return 1.0;
    }
    let warm = age.as_secs_f64() / cold_start.as_secs_f64();
    COLD_FACTOR - (COLD_FACTOR - 1.0) * warm
}
