//! The verdict on a version by its answers on one route, and by its failures over all of them.

use rollout::sequential::Batch;

use crate::canary::EXPECTED_FAILURE_RATE;
use crate::canary::MAX_FAILURE_RATE;
use crate::canary::MAX_LATENCY_RATIO;
use crate::canary::MIN_ANSWERS;
use crate::canary::MIN_COMPARED_MS;
use crate::canary::MIN_FAILURES;
use crate::canary::MIN_LATENCY_ANSWERS;
use crate::canary::SLOW_ANSWER_RATIO;
use crate::canary::Verdict;
use crate::canary::samples::RecentPair;
use crate::canary::samples::Sample;
use crate::canary::samples::sum_all;
use crate::canary::samples::sum_better_half;
use crate::canary::samples::sum_but_worst_quarter;
use crate::evidence::RouteStats;

/// Ratio to the old version's failure rate above which the target is bad. A smaller ratio would be
/// within the variance of a few answers.
const MAX_FAILURE_RATIO: f64 = 5.0;

/// Failure rate that is always accepted: the users' instances fail up to 1% of requests in normal
/// operation.
const ACCEPTED_FAILURE_RATE: f64 = 0.03;

/// Recent failure rate of the old version above which the whole service counts as degraded, so that
/// the target may be affected as well; a release or a lost machine causes less.
const DEGRADED_FAILURE_RATE: f64 = 0.15;

/// Share of requests without an answer above which a version is bad. Smaller shares come from
/// faults of instances and connections, which affect good versions too; at full share the old
/// version gets no requests to compare with.
const MAX_MISSING_SHARE: f64 = 0.3;

/// Share of slow answers that is always accepted: about two of [`MIN_LATENCY_ANSWERS`].
const ACCEPTED_SLOW_SHARE: f64 = 0.08;

/// Ratio to the old version's share of slow answers, on top of [`ACCEPTED_SLOW_SHARE`], above which
/// the target is bad; leaves room for busier instances.
const MAX_SLOW_SHARE_RATIO: f64 = 4.0;

/// Failure rates of bad versions that many answers prove, at least.
const ALARM_RATES: [f64; 3] = [0.05, 0.1, 0.2];

/// Distance of these rates from the expected one, at least.
const ALARM_MARGIN: f64 = 0.04;

/// Judges the target by the answers of its instances on one route, since the last reset and at the present
/// stage.
pub(super) fn judge_route(
    by_instance: &[RouteStats],
    at_stage: &[RouteStats],
    old: Option<&RouteStats>,
    recent: RecentPair,
) -> Verdict {
    let new = &sum_better_half(by_instance.to_vec());
    let missing = f64::from(new.missing) / f64::from((new.answers + new.missing).max(1));
    if new.missing >= MIN_FAILURES && missing > MAX_MISSING_SHARE {
        return Verdict::Bad;
    }
    let old_failure_rate = old.map_or(0.0, total_failure_rate);
    let allowed =
        (old_failure_rate * MAX_FAILURE_RATIO).clamp(ACCEPTED_FAILURE_RATE, MAX_FAILURE_RATE);
    let fails_since_start = new.failures >= MIN_FAILURES && total_failure_rate(new) > allowed;
    // A version that fails only under load shows in its recent answers first.
    let fails_now =
        recent.new.failed >= f64::from(MIN_FAILURES) && recent.new.failure_rate() > allowed;
    let expected = old_failure_rate.max(recent.old.failure_rate());
    let is_alarm = is_alarm(by_instance, expected) || is_alarm(at_stage, expected);
    let failure_rate = if fails_now {
        recent.new.failure_rate()
    } else {
        total_failure_rate(new)
    };
    let is_service_degraded = recent.old.answers() >= f64::from(MIN_ANSWERS)
        && recent.old.failure_rate() > DEGRADED_FAILURE_RATE;
    let is_explained_by_service =
        is_service_degraded && failure_rate <= f64::midpoint(recent.old.failure_rate(), 1.0);
    if (fails_since_start || fails_now || is_alarm) && !is_explained_by_service {
        return Verdict::Bad;
    }
    if is_service_degraded {
        return Verdict::Inconclusive;
    }
    let Some(old) = old.filter(|old| old.answers >= MIN_LATENCY_ANSWERS) else {
        return Verdict::Good;
    };
    if new.answers < MIN_LATENCY_ANSWERS {
        return Verdict::Good;
    }
    let old_ms = old.mean_ms().max(MIN_COMPARED_MS);
    let slow_ms = SLOW_ANSWER_RATIO * old_ms;
    let allowed = ACCEPTED_SLOW_SHARE + MAX_SLOW_SHARE_RATIO * old.share_slower_than(slow_ms);
    if new.mean_ms() > MAX_LATENCY_RATIO * old_ms || new.share_slower_than(slow_ms) > allowed {
        return Verdict::Bad;
    }
    Verdict::Good
}

/// Whether the failures of the target prove that it fails more often than expected, however often that is, and
/// this does not hold for its worst instances only.
pub(super) fn is_alarm(by_instance: &[RouteStats], expected: f64) -> bool {
    let expected = expected.max(EXPECTED_FAILURE_RATE);
    let all = sum_all(by_instance.iter());
    if expected > MAX_FAILURE_RATE || all.failures < MIN_FAILURES {
        return false;
    }
    let most = sum_but_worst_quarter(by_instance.to_vec());
    ALARM_RATES.iter().any(|rate| {
        let batch = |counts: &RouteStats| Batch {
            faulty: u64::from(counts.failures),
            calls: u64::from(counts.answers),
            expected,
            bad: rate.max(expected + ALARM_MARGIN),
        };
        batch(&all).is_alarm(ALARM_RATES.len()) && batch(&most).is_suspicious()
    })
}

pub(super) fn total_failure_rate(count: &RouteStats) -> f64 {
    f64::from(count.failures) / f64::from(count.answers.max(1))
}
