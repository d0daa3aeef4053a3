//! Evidence for canary analysis: results and latencies of calls by service, version and route.

use std::collections::BTreeMap;
use std::ops::AddAssign;
use std::time::Duration;

use base::DaemonId;
use base::Incarnation;
use base::RoutePrefix;
use base::ServiceName;
use base::VersionName;
use serde::Deserialize;
use serde::Serialize;

/// Latency bounds of [`CallCounts::slower`], in microseconds. Each is about 1.4 times the one
/// before; the last is twice.
pub const LATENCY_BOUNDS_MICROS: [u64; 24] = [
    1_000, 1_400, 2_000, 2_800, 4_000, 5_600, 8_000, 11_000, 16_000, 22_000, 32_000, 45_000,
    64_000, 90_000, 128_000, 180_000, 256_000, 360_000, 512_000, 720_000, 1_024_000, 1_440_000,
    2_048_000, 4_096_000,
];

/// Call counts of one daemon for one version, cumulative since the start of the daemon's
/// incarnation.
///
/// Each call counts once. The upstream-side daemon counts the calls that its upstream ran. The
/// caller-side daemon may count only calls that no upstream side saw, such as those sent on a
/// connection that stopped responding.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Daemon that counted.
    pub daemon: DaemonId,
    /// Incarnation of that daemon; each one starts its counters at zero.
    pub incarnation: Incarnation,
    /// Increases with each report; a report that arrives after one with a higher number is ignored.
    pub sequence: u64,
    /// Service that the counts are about.
    pub service: ServiceName,
    /// Version of the service that the counts are about.
    pub version: VersionName,
    /// Mean number of concurrent calls on the instance since the previous report.
    pub in_flight: u32,
    /// Counts by the route prefix that the calls matched.
    pub routes: BTreeMap<RoutePrefix, CallCounts>,
}

/// Counts of finished calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls answered with a status other than 5xx.
    pub ok: u64,
    /// Calls that ended with a 5xx response, a broken connection or a timeout.
    pub failed: u64,
    /// Calls among `ok` whose latency was recorded: those after the instance's cold start.
    pub timed: u64,
    /// Calls among `timed` that took longer than each of [`LATENCY_BOUNDS_MICROS`].
    pub slower: [u64; LATENCY_BOUNDS_MICROS.len()],
}

/// Whether an instance has completed its cold start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmth {
    /// The announced cold start is not over; latencies do not represent the version yet.
    Cold,
    /// The instance runs at full speed.
    Warm,
}

impl CallCounts {
    /// Counts a successful call; its latency `took` only if the instance is warm.
    pub fn add_ok(&mut self, took: Duration, warmth: Warmth) {
        self.ok += 1;
        if warmth == Warmth::Cold {
            return;
        }
        self.timed += 1;
        for (count, bound) in self.slower.iter_mut().zip(LATENCY_BOUNDS_MICROS) {
            if took > Duration::from_micros(bound) {
                *count += 1;
            }
        }
    }

    /// Counts a failed call; its latency is not recorded.
    pub fn add_failed(&mut self) {
        self.failed += 1;
    }

    /// Returns the number of successful and failed calls.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.ok.saturating_add(self.failed)
    }

    /// Returns the counts added after `earlier`; zero where a counter decreased.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let mut slower = self.slower;
        for (count, before) in slower.iter_mut().zip(earlier.slower) {
            *count = count.saturating_sub(before);
        }
        Self {
            ok: self.ok.saturating_sub(earlier.ok),
            failed: self.failed.saturating_sub(earlier.failed),
            timed: self.timed.saturating_sub(earlier.timed),
            slower,
        }
    }
}

impl AddAssign for CallCounts {
    fn add_assign(&mut self, other: Self) {
        self.ok = self.ok.saturating_add(other.ok);
        self.failed = self.failed.saturating_add(other.failed);
        self.timed = self.timed.saturating_add(other.timed);
        for (count, more) in self.slower.iter_mut().zip(other.slower) {
            *count = count.saturating_add(more);
        }
    }
}
