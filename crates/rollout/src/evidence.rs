//! Merge of the daemons' cumulative reports, and the window in which versions are compared.

use std::collections::BTreeMap;

use base::DaemonId;
use base::Incarnation;
use base::RoutePrefix;
use base::ServiceName;
use base::VersionName;
use protocol::evidence::CallCounts;
use protocol::evidence::EvidenceReport;

/// ReportsByDaemon that are kept for one version of a service.
pub const MAX_DAEMONS: usize = 256;

/// Incarnations that are kept for one daemon and version; the highest ones stay.
pub const MAX_INCARNATIONS: usize = 3;

/// Routes that are kept of one report.
pub const MAX_ROUTES: usize = 64;

/// Reports by daemon and incarnation.
///
/// A merge keeps the report with the lowest and the one with the highest sequence, so reports
/// may come crossed, twice or not at all: the same set of reports gives the same evidence.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    versions: BTreeMap<(ServiceName, VersionName), ReportsByDaemon>,
}

type ReportsByDaemon = BTreeMap<DaemonId, BTreeMap<Incarnation, ReportRange>>;

/// The earliest and the latest report of one incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ReportRange {
    first: EvidenceReport,
    latest: EvidenceReport,
}

/// What calls did on the old and the new version of one service since the window began.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Window {
    /// Counts by route.
    pub routes: BTreeMap<RoutePrefix, VersionCounts>,
    /// Calls that lately ran at once, over the instances of both versions.
    pub in_flight: u64,
}

/// Counts of both versions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// The version that served before.
    pub old: CallCounts,
    /// The version that is judged.
    pub new: CallCounts,
}

impl Evidence {
    /// Takes a report in.
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

    /// Drops the reports on all versions but those that `is_needed` names.
    pub fn retain(&mut self, is_needed: impl Fn(&ServiceName, &VersionName) -> bool) {
        self.versions
            .retain(|(service, version), _| is_needed(service, version));
    }

    /// Drops everything, so that a new window begins with the next reports.
    pub fn clear(&mut self) {
        self.versions.clear();
    }

    /// The window of one service.
    ///
    /// The new version counts from the start of each incarnation, since all its calls belong to
    /// the move; the old version counts from the first report that came in.
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
    /// Counts over all routes.
    #[must_use]
    pub fn total(&self) -> VersionCounts {
        let mut total = VersionCounts::default();
        for pair in self.routes.values() {
            total.old += pair.old;
            total.new += pair.new;
        }
        total
    }

    /// Counts of one route.
    #[must_use]
    pub fn route(&self, route: &RoutePrefix) -> VersionCounts {
        self.routes.get(route).copied().unwrap_or_default()
    }
}

impl VersionCounts {
    /// What was counted after `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            old: self.old.since(&earlier.old),
            new: self.new.since(&earlier.new),
        }
    }
}
