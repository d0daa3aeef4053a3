//! Merges the daemons' cumulative call reports into the window in which two versions are compared.

use std::collections::BTreeMap;

use base::DaemonId;
use base::Incarnation;
use base::RoutePrefix;
use base::ServiceName;
use base::VersionName;
use protocol::evidence::CallCounts;
use protocol::evidence::EvidenceReport;

/// Upper limit of daemons kept per version of a service.
pub const MAX_DAEMONS: usize = 256;

/// Upper limit of incarnations kept per daemon and version; the lowest is evicted first.
pub const MAX_INCARNATIONS: usize = 3;

/// Upper limit of routes kept per report.
pub const MAX_ROUTES: usize = 64;

/// Cumulative reports by version, daemon and incarnation.
///
/// For each incarnation, the reports with the lowest and the highest sequence are kept, so the
/// result does not depend on the order of reports, on duplicates or on lost reports in between.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    versions: BTreeMap<(ServiceName, VersionName), ReportsByDaemon>,
}

type ReportsByDaemon = BTreeMap<DaemonId, BTreeMap<Incarnation, ReportRange>>;

/// The reports of one incarnation with the lowest and the highest sequence.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ReportRange {
    first: EvidenceReport,
    latest: EvidenceReport,
}

/// Call counts of the old and the new version of one service since the window began.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Window {
    /// Counts by route.
    pub routes: BTreeMap<RoutePrefix, VersionCounts>,
    /// Concurrent calls in the latest reports, summed over the instances of both versions.
    pub in_flight: u64,
}

/// Call counts of both versions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// Counts of the version that served before the rollout.
    pub old: CallCounts,
    /// Counts of the version under analysis.
    pub new: CallCounts,
}

impl Evidence {
    /// Merges one report, and evicts what exceeds the limits.
    pub fn merge(&mut self, mut report: EvidenceReport) {
        while report.routes.len() > MAX_ROUTES {
            report.routes.pop_last();
        }
        let key = (report.service.clone(), report.version.clone());
        let daemons = self.versions.entry(key).or_default();
        let incarnations = daemons.entry(report.daemon.clone()).or_default();
        match incarnations.get_mut(&report.incarnation) {
            Some(range) => range.merge(report),
            None => {
                incarnations.insert(report.incarnation, ReportRange::new(report));
            }
        }
        if incarnations.len() > MAX_INCARNATIONS {
            incarnations.pop_first();
        }
        if daemons.len() > MAX_DAEMONS {
            daemons.pop_last();
        }
    }

    /// Drops the reports on all versions for which `is_needed` returns false.
    pub fn retain(&mut self, is_needed: impl Fn(&ServiceName, &VersionName) -> bool) {
        self.versions
            .retain(|(service, version), _| is_needed(service, version));
    }

    /// Drops all reports; the next window begins with the reports that follow.
    pub fn clear(&mut self) {
        self.versions.clear();
    }

    /// Returns the window of one service.
    ///
    /// All calls on the new version belong to the rollout, so they count from the start of each
    /// incarnation. Calls on the old version count from the first report received.
    #[must_use]
    pub fn window(&self, service: &ServiceName, old: &VersionName, new: &VersionName) -> Window {
        let mut window = Window::default();
        for range in self.ranges(service, old) {
            for (route, counts) in &range.latest.routes {
                let before = range.first.routes.get(route).copied().unwrap_or_default();
                window.routes.entry(route.clone()).or_default().old += counts.since(&before);
            }
        }
        for range in self.ranges(service, new) {
            for (route, counts) in &range.latest.routes {
                window.routes.entry(route.clone()).or_default().new += *counts;
            }
        }
        window.in_flight = self.in_flight(service, old) + self.in_flight(service, new);
        window
    }

    fn ranges(
        &self,
        service: &ServiceName,
        version: &VersionName,
    ) -> impl Iterator<Item = &ReportRange> {
        self.versions
            .get(&(service.clone(), version.clone()))
            .into_iter()
            .flat_map(BTreeMap::values)
            .flat_map(BTreeMap::values)
    }

    fn in_flight(&self, service: &ServiceName, version: &VersionName) -> u64 {
        self.versions
            .get(&(service.clone(), version.clone()))
            .into_iter()
            .flat_map(BTreeMap::values)
            .filter_map(|incarnations| incarnations.last_key_value())
            .map(|(_, range)| u64::from(range.latest.in_flight))
            .sum()
    }
}

impl ReportRange {
    fn new(report: EvidenceReport) -> Self {
        Self {
            first: report.clone(),
            latest: report,
        }
    }

    fn merge(&mut self, report: EvidenceReport) {
        if report.sequence < self.first.sequence {
            self.first = report;
        } else if report.sequence > self.latest.sequence {
            self.latest = report;
        }
    }
}

impl Window {
    /// Sums the counts over all routes.
    #[must_use]
    pub fn total(&self) -> VersionCounts {
        let mut total = VersionCounts::default();
        for pair in self.routes.values() {
            total.old += pair.old;
            total.new += pair.new;
        }
        total
    }

    /// Returns the counts of one route; zeros for an unknown route.
    #[must_use]
    pub fn route(&self, route: &RoutePrefix) -> VersionCounts {
        self.routes.get(route).copied().unwrap_or_default()
    }
}

impl VersionCounts {
    /// Returns the counts added since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            old: self.old.since(&earlier.old),
            new: self.new.since(&earlier.new),
        }
    }
}
