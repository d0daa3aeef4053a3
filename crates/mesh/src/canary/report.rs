//! What the daemon beside an instance reports of its answers.

use std::time::Duration;
use std::time::Instant;

use base::FastMap;
use base::Incarnation;

use crate::config::RouteName;
use crate::evidence::Evidence;
use crate::evidence::RouteStats;
use crate::health::Health;

/// Answers that a proof may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofSpan {
    /// All answers since the last reset of the counts.
    Move,
    /// The answers since the move first had a raised share.
    Raised,
    /// The answers since the move entered its present stage.
    Stage,
}

/// Time in which the messages of an instance have told of each of some dozens of routes.
const FIRST_ROTATION: Duration = Duration::from_secs(1);

/// Evidence reported for one instance.
#[derive(Debug)]
pub(super) struct InstanceReport {
    /// Process of the daemon that sent the latest report.
    incarnation: Incarnation,
    /// Sum of the last reports of the earlier processes; each process counts from zero.
    earlier: Evidence,
    /// All answers of the instance, `earlier` included.
    pub(super) latest: Evidence,
    /// Arrival time of the first report.
    first_report: Instant,
    /// Arrival time of the last report.
    pub(super) last_report: Instant,
    /// Evidence at the last reset of the counts; it is subtracted from `latest`.
    pub(super) baseline: Option<Evidence>,
    /// Evidence when the move entered its stage, or in the first report after that.
    pub(super) stage_baseline: Evidence,
    /// Evidence when the move first got a raised share, or in the first report after that.
    pub(super) raised_baseline: Evidence,
    /// Decaying counts of its answers by route, starting after the first report.
    pub(super) recent: FastMap<RouteName, Health>,
}

impl InstanceReport {
    pub(super) fn new(incarnation: Incarnation, evidence: Evidence, now: Instant) -> Self {
        Self {
            incarnation,
            earlier: Evidence {
                routes: Vec::new(),
                ..evidence.clone()
            },
            stage_baseline: evidence.clone(),
            raised_baseline: evidence.clone(),
            latest: evidence,
            first_report: now,
            last_report: now,
            baseline: None,
            recent: FastMap::default(),
        }
    }

    /// Takes over what a message tells, which may be of some routes only.
    pub(super) fn update(&mut self, incarnation: Incarnation, evidence: &Evidence, now: Instant) {
        if incarnation < self.incarnation {
            return;
        }
        self.last_report = now;
        if incarnation > self.incarnation {
            self.incarnation = incarnation;
            self.earlier = self.latest.clone();
        }
        for (route, count) in &evidence.routes {
            self.update_route(route, count, now);
        }
    }

    fn update_route(&mut self, route: &RouteName, count: &RouteStats, now: Instant) {
        let mut total = count.clone();
        if let Some(earlier) = self.earlier.route_stats(route) {
            total.add(earlier);
        }
        let known = self.latest.route_stats(route);
        if known.is_some_and(|known| known.requests() >= total.requests()) {
            return;
        }
        // The first messages of an instance tell one after the other what it has answered before.
        if known.is_none() && now.saturating_duration_since(self.first_report) < FIRST_ROTATION {
            self.stage_baseline.set(route, total.clone());
            self.raised_baseline.set(route, total.clone());
        } else {
            let added = total.delta_since(known);
            let good = added.answers.saturating_sub(added.failures);
            let recent = self.recent.entry(route.clone()).or_default();
            recent.record_all(good, added.failures, now);
        }
        self.latest.set(route, total);
    }

    /// Statistics by route since the last reset of the counts.
    pub(super) fn since_baseline(&self) -> impl Iterator<Item = (&RouteName, RouteStats)> {
        self.since(self.baseline.as_ref())
    }

    fn since(&self, earlier: Option<&Evidence>) -> impl Iterator<Item = (&RouteName, RouteStats)> {
        self.latest.routes.iter().map(move |(route, count)| {
            let earlier = earlier.and_then(|evidence| evidence.route_stats(route));
            (route, count.delta_since(earlier))
        })
    }

    /// Statistics by route for a proof.
    pub(super) fn in_span(
        &self,
        span: ProofSpan,
    ) -> impl Iterator<Item = (&RouteName, RouteStats)> {
        self.since(match span {
            ProofSpan::Move => self.baseline.as_ref(),
            ProofSpan::Raised => Some(&self.raised_baseline),
            ProofSpan::Stage => Some(&self.stage_baseline),
        })
    }
}
