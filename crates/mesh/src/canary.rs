//! Canary analysis: the verdict on the target version of a move, from the evidence of all daemons.
//!
//! Compares the better half of the target's instances, by all of their answers and by their recent
//! ones, with the other versions of the service over the same time. `new` stands for the target and
//! `old` for the other versions. While the other versions fail as well, the analysis is
//! inconclusive.

mod judge;
mod report;
mod samples;

use std::collections::hash_map::Entry;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;
use base::Incarnation;
use base::ServiceName;
use base::UnixMillis;
use base::VersionName;
use rollout::sequential::Batch;

use crate::canary::judge::is_alarm;
use crate::canary::judge::judge_route;
use crate::canary::judge::total_failure_rate;
use crate::canary::report::InstanceReport;
pub use crate::canary::report::ProofSpan;
use crate::canary::samples::RecentAnswers;
use crate::canary::samples::RecentPair;
use crate::canary::samples::sum_all;
use crate::canary::samples::sum_better_half;
use crate::canary::samples::sum_but_worst_quarter;
use crate::config::RouteName;
use crate::evidence::Evidence;
use crate::evidence::RouteStats;
use crate::health::Health;
use crate::route_proof::BadRate;
use crate::route_proof::RouteProof;
use crate::route_proof::RouteSample;

/// Time after which an instance that sends no evidence no longer counts as reporting; some rounds
/// of gossip.
const EVIDENCE_TTL: Duration = Duration::from_secs(2);

/// Minimum answers of the target for a good verdict, and so for a step beyond the first share: with
/// fewer, a failure rate of a tenth is not distinguishable from none.
const MIN_ANSWERS: u32 = 12;

/// Minimum failures on one route for a bad verdict: an eighth of the fifty failures after which the
/// users allow five seconds for the rollback.
const MIN_FAILURES: u32 = 6;

/// Failure rate above which a version is bad, whatever the rate of the old one: it fails more often
/// than it succeeds.
const MAX_FAILURE_RATE: f64 = 0.5;

/// Minimum answers on one route for comparing latencies; the error of the mean is then below a
/// quarter.
pub(crate) const MIN_LATENCY_ANSWERS: u32 = 20;

/// Ratio to the old version's mean latency above which the target is bad. At full share its
/// instances are busier than the old ones were, so twice the latency is no sign of a bad version.
pub(crate) const MAX_LATENCY_RATIO: f64 = 3.0;

/// Latencies below this, in milliseconds, are compared as this value: queues and scheduling add as much.
pub(crate) const MIN_COMPARED_MS: f64 = 10.0;

/// Ratio to the old version's mean latency above which an answer is slow; fewer than 1% of the
/// answers of a good version are.
pub(crate) const SLOW_ANSWER_RATIO: f64 = 4.0;

/// Failure rate that is expected of a good version at least: the users' instances fail up to 1% of requests
/// in normal operation.
const EXPECTED_FAILURE_RATE: f64 = 0.01;

/// Verdict on the target of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Too few answers or reporting instances.
    InsufficientData,
    /// No fault shows, but some routes have too few answers to rule one out.
    Unproven,
    /// As [`Self::Unproven`], with some faults on one of these routes.
    Suspicious,
    /// The counts show no fault of the target.
    Good,
    /// The target fails or is slow.
    Bad,
    /// The other versions fail as well, so the versions cannot be compared.
    Inconclusive,
}

/// A route on which the target lacks proof.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnprovenRoute {
    /// Name of the route.
    pub name: RouteName,
    /// What its answers show.
    pub proof: RouteProof,
    /// Whether it has few of the service's requests.
    pub is_quiet: bool,
    /// Its part of the service's requests, in thousandths.
    pub requests_permille: u32,
}

/// Instances whose answers a proof uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofInstances {
    /// All but the worst quarter, so that a few with faults of their own do not hold a move up.
    Most,
    /// All of them.
    All,
}

type InstanceKey = (ServiceName, VersionName, UnixMillis, DaemonId);

/// Evidence of all instances, as reported by their daemons.
#[derive(Debug, Default)]
pub struct CanaryAnalysis {
    instances: FastMap<InstanceKey, InstanceReport>,
}

impl CanaryAnalysis {
    /// Merges the evidence that a process of a daemon reported for its instance.
    pub fn merge(
        &mut self,
        daemon: &DaemonId,
        incarnation: Incarnation,
        evidence: Evidence,
        now: Instant,
    ) {
        let key = (
            evidence.service.clone(),
            evidence.version.clone(),
            evidence.born,
            daemon.clone(),
        );
        match self.instances.entry(key) {
            Entry::Occupied(occupied) => occupied.into_mut().update(incarnation, &evidence, now),
            Entry::Vacant(vacant) => {
                vacant.insert(InstanceReport::new(incarnation, evidence, now));
            }
        }
    }

    /// Discards the evidence of versions of a service that are not to be compared with: their instances get no
    /// requests any more.
    pub fn discard_versions(&mut self, service: &ServiceName, versions: &[VersionName]) {
        if !versions.is_empty() {
            self.instances.retain(|(key_service, version, ..), _| {
                key_service != service || !versions.contains(version)
            });
        }
    }

    /// Judges the target of a move, which has `instances` instances, against the other versions of
    /// its service. The verdict is not good while less than half of the instances report: a daemon
    /// that is partitioned from the others must not increase the target's share.
    #[must_use]
    pub fn verdict(
        &self,
        service: &ServiceName,
        target: &VersionName,
        instances: usize,
        now: Instant,
    ) -> Verdict {
        let new = self.counts_by_instance(service, target, ProofSpan::Move);
        let at_stage = self.counts_by_instance(service, target, ProofSpan::Stage);
        let old = self.counts(service, |version| version != target);
        let verdicts: Vec<Verdict> = new
            .iter()
            .filter(|(route, _)| !self.has_always_failed(service, target, route))
            .map(|(route, counts)| {
                let recent = RecentPair {
                    new: sum_better_half(self.recent(service, route, |v| v == target)),
                    old: sum_all(self.recent(service, route, |v| v != target).iter()),
                };
                let at_stage = at_stage.get(route).map_or(&[][..], Vec::as_slice);
                judge_route(counts, at_stage, old.get(route), recent)
            })
            .collect();
        let is_comparable = !verdicts.contains(&Verdict::Inconclusive);
        let all_routes = self.all_routes(service, target, ProofSpan::Stage);
        let all_old = sum_all(old.values());
        if is_comparable && is_alarm(&all_routes, total_failure_rate(&all_old)) {
            return Verdict::Bad;
        }
        for verdict in [Verdict::Bad, Verdict::Inconclusive] {
            if verdicts.contains(&verdict) {
                return verdict;
            }
        }
        let answers: u32 = new.values().flatten().map(|count| count.answers).sum();
        if answers < MIN_ANSWERS || self.reporting(service, target, now) * 2 < instances {
            return Verdict::InsufficientData;
        }
        Verdict::Good
    }

    /// Returns the routes on which the answers of the target in `span` do not prove that its rate of
    /// faulty ones is below the bad one, `busy` or `quiet` after the route's share of the requests, and
    /// what they show. Sorted by name.
    #[must_use]
    pub fn unproven_routes(
        &self,
        service: &ServiceName,
        target: &VersionName,
        span: ProofSpan,
        busy: BadRate,
        quiet: BadRate,
    ) -> Vec<UnprovenRoute> {
        let new = self.counts_by_instance(service, target, span);
        let old = self.counts(service, |version| version != target);
        let all = self.counts(service, |_| true);
        let service_requests = all.values().map(RouteStats::requests).sum();
        let mut unproven: Vec<UnprovenRoute> = all
            .into_keys()
            .map(|route| {
                let counts = new.get(&route).cloned().unwrap_or_default();
                let sample = RouteSample {
                    new: &sum_but_worst_quarter(counts),
                    old: old.get(&route),
                    compares_latency: true,
                    service_requests,
                };
                UnprovenRoute {
                    proof: sample.proof(busy, quiet),
                    is_quiet: sample.is_quiet(),
                    requests_permille: sample.requests_permille(),
                    name: route,
                }
            })
            .filter(|route| route.proof != RouteProof::Proven)
            .collect();
        unproven.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        unproven
    }

    /// Whether the answers of the target in `span` on all routes prove together that its rate of failed and
    /// missing ones is below the bad one.
    #[must_use]
    pub fn is_proven(
        &self,
        service: &ServiceName,
        target: &VersionName,
        span: ProofSpan,
        instances: ProofInstances,
        bad: BadRate,
    ) -> bool {
        let by_instance = self.all_routes(service, target, span);
        let new = match instances {
            ProofInstances::Most => sum_but_worst_quarter(by_instance),
            ProofInstances::All => sum_all(by_instance.iter()),
        };
        let old = self.counts(service, |version| version != target);
        let sample = RouteSample {
            new: &new,
            old: Some(&sum_all(old.values())),
            compares_latency: false,
            service_requests: new.requests(),
        };
        sample.proof(bad, bad) == RouteProof::Proven
    }

    /// Returns what the failures of the target on all routes since the move entered its present stage show
    /// together: whether their rate is below the bad one.
    #[must_use]
    pub fn failure_proof(
        &self,
        service: &ServiceName,
        target: &VersionName,
        bad: BadRate,
    ) -> RouteProof {
        let old = self.counts(service, |version| version != target);
        let expected = total_failure_rate(&sum_all(old.values()))
            .clamp(EXPECTED_FAILURE_RATE, MAX_FAILURE_RATE);
        let new = sum_but_worst_quarter(self.all_routes(service, target, ProofSpan::Stage));
        let batch = Batch {
            faulty: u64::from(new.failures),
            calls: u64::from(new.answers),
            expected,
            bad: bad.rate.max(expected + bad.margin),
        };
        if batch.is_proof() {
            RouteProof::Proven
        } else if new.failures >= MIN_FAILURES && batch.is_suspicious() {
            RouteProof::Suspicious
        } else {
            RouteProof::Open
        }
    }

    /// Marks the time from which on [`ProofSpan::Stage`] counts the answers of a service, and
    /// [`ProofSpan::Raised`] if no share was raised before.
    pub fn begin_stage(&mut self, service: &ServiceName, is_first_raised: bool) {
        let reports = self.instances.iter_mut();
        for (_, report) in reports.filter(|((key_service, ..), _)| key_service == service) {
            report.stage_baseline = report.latest.clone();
            if is_first_raised {
                report.raised_baseline = report.latest.clone();
            }
        }
    }

    /// Returns the sum over all routes of each instance of a version.
    fn all_routes(
        &self,
        service: &ServiceName,
        version: &VersionName,
        span: ProofSpan,
    ) -> Vec<RouteStats> {
        self.reports(service, |other| other == version)
            .map(|report| {
                let counts: Vec<RouteStats> = report.in_span(span).map(|(_, c)| c).collect();
                sum_all(counts.iter())
            })
            .collect()
    }

    fn counts_by_instance(
        &self,
        service: &ServiceName,
        version: &VersionName,
        span: ProofSpan,
    ) -> FastMap<RouteName, Vec<RouteStats>> {
        let mut counts: FastMap<RouteName, Vec<RouteStats>> = FastMap::default();
        let reports = self.reports(service, |other| other == version);
        for (route, count) in reports.flat_map(|report| report.in_span(span)) {
            counts.entry(route.clone()).or_default().push(count);
        }
        counts
    }

    /// Returns the number of a version's instances that report evidence.
    #[must_use]
    pub fn reporting(&self, service: &ServiceName, version: &VersionName, now: Instant) -> usize {
        self.reports(service, |other| other == version)
            .filter(|report| now.saturating_duration_since(report.last_report) < EVIDENCE_TTL)
            .count()
    }

    /// Returns the number of answers of a version since the move entered its present stage.
    #[must_use]
    pub fn answers_at_stage(&self, service: &ServiceName, version: &VersionName) -> u32 {
        let counts = self.counts_by_instance(service, version, ProofSpan::Stage);
        counts.values().flatten().map(|count| count.answers).sum()
    }

    /// Discards the counts of a service up to now, as after an inconclusive verdict.
    pub fn reset_counts(&mut self, service: &ServiceName) {
        let reports = self.instances.iter_mut();
        for (_, report) in reports.filter(|((key_service, ..), _)| key_service == service) {
            report.baseline = Some(report.latest.clone());
            report.stage_baseline = report.latest.clone();
            report.raised_baseline = report.latest.clone();
        }
    }

    /// Whether most answers of the versions other than the target on a route have been failures since the
    /// start of their instances, as with a timeout below the service time. Such a route tells nothing of
    /// the target, nor that the service is degraded.
    fn has_always_failed(
        &self,
        service: &ServiceName,
        target: &VersionName,
        route: &RouteName,
    ) -> bool {
        let reports = self.reports(service, |version| version != target);
        let counts = reports.filter_map(|report| report.latest.route_stats(route));
        let old: RouteStats = sum_all(counts);
        old.answers >= MIN_FAILURES && total_failure_rate(&old) > MAX_FAILURE_RATE
    }

    /// Returns the reports of the instances of `service` whose version satisfies `keep`.
    fn reports(
        &self,
        service: &ServiceName,
        keep: impl Fn(&VersionName) -> bool,
    ) -> impl Iterator<Item = &InstanceReport> {
        self.instances
            .iter()
            .filter(move |((key_service, version, ..), _)| key_service == service && keep(version))
            .map(|(_, report)| report)
    }

    /// Returns the recent answers on one route of each instance of some versions, decayed to the
    /// time of the last answer of any of them: an instance that left loses its weight, and a
    /// version without requests keeps its counts.
    fn recent(
        &self,
        service: &ServiceName,
        route: &RouteName,
        keep: impl Fn(&VersionName) -> bool,
    ) -> Vec<RecentAnswers> {
        let healths: Vec<&Health> = self
            .reports(service, keep)
            .filter_map(|report| report.recent.get(route))
            .collect();
        let latest = healths
            .iter()
            .filter_map(|health| health.last_recorded())
            .max();
        let Some(latest) = latest else {
            return Vec::new();
        };
        healths
            .iter()
            .map(|health| RecentAnswers::of(health, latest))
            .collect()
    }

    /// Returns the statistics of the target and of the other versions by route, in this order, for
    /// the log.
    #[must_use]
    pub fn compare(
        &self,
        service: &ServiceName,
        target: &VersionName,
    ) -> Vec<(RouteName, RouteStats, RouteStats)> {
        let mut old = self.counts(service, |version| version != target);
        let new = self.counts(service, |version| version == target);
        new.into_iter()
            .map(|(route, count)| {
                let other = old.remove(&route).unwrap_or_default();
                (route, count, other)
            })
            .collect()
    }

    fn counts(
        &self,
        service: &ServiceName,
        keep: impl Fn(&VersionName) -> bool,
    ) -> FastMap<RouteName, RouteStats> {
        let mut sums: FastMap<RouteName, RouteStats> = FastMap::default();
        for (route, count) in self
            .reports(service, keep)
            .flat_map(InstanceReport::since_baseline)
        {
            sums.entry(route.clone()).or_default().add(&count);
        }
        sums
    }
}
