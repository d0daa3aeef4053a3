//! Evidence: what calls did, by service, version and route.

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

/// Bounds of the latency counts, in microseconds; each is about 1.4 times the one before.
pub const LATENCY_BOUNDS_MICROS: [u64; 24] = [
    1_000, 1_400, 2_000, 2_800, 4_000, 5_600, 8_000, 11_000, 16_000, 22_000, 32_000, 45_000,
    64_000, 90_000, 128_000, 180_000, 256_000, 360_000, 512_000, 720_000, 1_024_000, 1_440_000,
    2_048_000, 4_096_000,
];

/// Evidence of one daemon about one version, cumulative since the daemon's incarnation began.
///
/// A daemon counts the calls that its upstream ran, and the calls that it sent as the caller side
/// and that no upstream side saw, such as those on a connection that went silent. A call that
/// both sides saw is counted by the upstream side alone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Who counted.
    pub daemon: DaemonId,
    /// Its incarnation; counters begin at zero with it.
    pub incarnation: Incarnation,
    /// Rises with each report; a lower one that comes later is ignored.
    pub sequence: u64,
    /// Service.
    pub service: ServiceName,
    /// Version that the counts are about.
    pub version: VersionName,
    /// Calls that ran at once on the instance, as the mean since the report before.
    pub in_flight: u32,
    /// Counts by route.
    pub routes: BTreeMap<RoutePrefix, CallCounts>,
}

/// Counts of finished calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls that were answered without a fault.
    pub ok: u64,
    /// Calls that failed: a 5xx answer, a cut connection or a timeout.
    pub failed: u64,
    /// Calls among `ok` whose latency was counted: those outside the instance's cold start.
    pub timed: u64,
    /// Calls among `timed` that took longer than each of [`LATENCY_BOUNDS_MICROS`].
    pub slower: [u64; LATENCY_BOUNDS_MICROS.len()],
}

/// Whether an instance is at full speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmth {
    /// The announced cold start is not over; latencies say nothing yet.
    Cold,
    /// The instance is at full speed.
    Warm,
}

impl CallCounts {
    /// Counts a call that was answered without a fault.
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

    /// Counts a call that failed.
    pub fn add_failed(&mut self) {
        self.failed += 1;
    }

    /// All calls.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.ok.saturating_add(self.failed)
    }

    /// What was counted after `earlier`; zero where a count fell.
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
