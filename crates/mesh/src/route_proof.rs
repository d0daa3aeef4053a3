//! Proof, from the answers on one route, that the target of a move is no bad version.
//!
//! [`crate::canary`] finds faults that show. A route with few answers shows none, so a move also
//! needs this proof on each route before its next stage.

use rollout::sequential::Batch;

use crate::canary::MAX_LATENCY_RATIO;
use crate::canary::MIN_COMPARED_MS;
use crate::canary::MIN_LATENCY_ANSWERS;
use crate::canary::SLOW_ANSWER_RATIO;
use crate::evidence::RouteStats;

/// Faulty rate of the answers that is expected of a good version at least: the users' instances
/// fail up to 1% of their requests, and lose some answers in faults.
const EXPECTED_FAULTY_RATE: f64 = 0.03;

/// Requests of all versions on a route from which on it may need a proof.
const MIN_ROUTE_REQUESTS: u32 = 4;

/// A route needs a proof only with more than one in this many of the service's requests: with fewer,
/// the proof would take longer than moves last.
const RARE_ROUTE_DIVISOR: u32 = 50;

/// A route with fewer than one in this many of the service's requests is quiet.
const QUIET_ROUTE_DIVISOR: u32 = 10;

/// Faulty answers from which on a rare route needs a proof too: a single one says little.
const MIN_FAULTY: u32 = 2;

/// Rate of faulty answers of the other versions above which a route says nothing of the target: most of
/// its requests fail whatever the version, as with a timeout below the service time.
const MAX_OLD_FAULTY_RATE: f64 = 0.5;

/// Rate of faulty answers that a proof rules out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BadRate {
    /// The rate, at least.
    pub rate: f64,
    /// Its distance from the expected rate, at least.
    pub margin: f64,
}

/// What the answers on a route show of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteProof {
    /// It is not bad, or the route is not waited for.
    Proven,
    /// Too few answers.
    Open,
    /// Some faults, which point to a bad version, and too few for a verdict.
    Suspicious,
}

/// Answers on one route, or the sum over several.
#[derive(Debug, Clone, Copy)]
pub struct RouteSample<'a> {
    /// Answers of the target.
    pub new: &'a RouteStats,
    /// Answers of the other versions, if there are any.
    pub old: Option<&'a RouteStats>,
    /// Whether slow answers are faulty; on a sum over routes the latency depends on their mix.
    pub compares_latency: bool,
    /// Requests of the service on all routes.
    pub service_requests: u32,
}

impl RouteSample<'_> {
    /// Returns whether the answers prove that the target's faulty rate is below the bad one: `busy` on a
    /// route with many of the service's requests, `quiet` on another.
    #[must_use]
    pub fn proof(&self, busy: BadRate, quiet: BadRate) -> RouteProof {
        let old_rate = self.old.map_or(0.0, |old| self.faulty_rate(old));
        if old_rate > MAX_OLD_FAULTY_RATE {
            return RouteProof::Proven;
        }
        let expected = old_rate.max(EXPECTED_FAULTY_RATE);
        let bad = if self.is_quiet() { quiet } else { busy };
        let faulty = self.faulty(self.new);
        let batch = Batch {
            faulty: u64::from(faulty),
            calls: u64::from(self.new.requests()),
            expected,
            bad: bad.rate.max(expected + bad.margin),
        };
        if batch.is_proof() && !self.is_slow() {
            return RouteProof::Proven;
        }
        if faulty >= MIN_FAULTY && batch.is_proof_of_bad() {
            return RouteProof::Suspicious;
        }
        if self.has_share_of(RARE_ROUTE_DIVISOR) {
            RouteProof::Open
        } else {
            RouteProof::Proven
        }
    }

    /// Whether the mean latency is that of a bad version, and there may be too few answers for that verdict. The
    /// histogram tells slow answers from others for some latencies only.
    fn is_slow(&self) -> bool {
        let baseline = self
            .old
            .filter(|old| self.compares_latency && old.answers >= MIN_LATENCY_ANSWERS);
        baseline.is_some_and(|old| {
            self.new.mean_ms() > MAX_LATENCY_RATIO * old.mean_ms().max(MIN_COMPARED_MS)
        })
    }

    /// Whether the route has too few requests for a proof at the first share within the time of a move.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        !self.has_share_of(QUIET_ROUTE_DIVISOR)
    }

    /// Returns the route's part of the service's requests, in thousandths.
    #[must_use]
    pub fn requests_permille(&self) -> u32 {
        let part = u64::from(self.seen()) * 1000 / u64::from(self.service_requests.max(1));
        u32::try_from(part).unwrap_or(u32::MAX)
    }

    /// Whether the route has more than one in `divisor` of the service's requests.
    fn has_share_of(&self, divisor: u32) -> bool {
        let seen = self.seen();
        seen >= MIN_ROUTE_REQUESTS && seen * divisor >= self.service_requests
    }

    /// Requests on the route.
    fn seen(&self) -> u32 {
        self.new.requests() + self.old.map_or(0, RouteStats::requests)
    }

    fn faulty_rate(&self, stats: &RouteStats) -> f64 {
        f64::from(self.faulty(stats)) / f64::from(stats.requests().max(1))
    }

    /// Returns the number of requests that failed, got no answer or a slow one.
    fn faulty(&self, stats: &RouteStats) -> u32 {
        let baseline = self
            .old
            .filter(|old| self.compares_latency && old.answers >= MIN_LATENCY_ANSWERS);
        let slow = baseline.map_or(0, |old| {
            stats.count_slower_than(SLOW_ANSWER_RATIO * old.mean_ms().max(MIN_COMPARED_MS))
        });
        (stats.failures + stats.missing + slow).min(stats.requests())
    }
}
