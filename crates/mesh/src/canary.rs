//! The verdict on the target of a move, from the evidence of all gates.
//!
//! The target is judged against the other versions in the
//! same time: by the better half of its instances, by all that they answered, and by their latest
//! answers. Where the other versions are in trouble as well, nothing can be told.

use std::collections::hash_map::Entry;
use std::time::Duration;
use std::time::Instant;

use base::FastMap;
use base::ServiceName;
use base::UnixMillis;
use base::VersionName;

use crate::config::RouteName;
use crate::evidence::Evidence;
use crate::evidence::RouteStats;
use crate::health::Health;

/// Time after which an instance whose evidence no longer comes is not heard; some rounds of gossip.
const EVIDENCE_LIFE: Duration = Duration::from_secs(2);

/// Answers of the target without which no step beyond the first is taken: fewer scatter too much to
/// tell a failure of a tenth from none.
const MIN_ANSWERS: u32 = 12;

/// Failures on one route before a version can be called bad: an eighth of the fifty after which the
/// users' five seconds begin.
const MIN_FAILURES: u32 = 6;

/// A version is bad when its share of failures is this many times that of the old one. Fewer
/// leave no room for the scatter of a few answers.
const FAILURE_RATIO: f64 = 5.0;

/// Share of failures that any version may have: the users' instances fail up to 1% when nothing is
/// wrong.
const FAILURE_FLOOR: f64 = 0.03;

/// Share of failures from which a version is bad, whatever the old one fails: it fails more often than
/// not.
const FAILURE_CEILING: f64 = 0.5;

/// Share of failures among the latest answers of the old version from which its service is in trouble
/// that the target may share; a release or a lost machine costs less.
const TROUBLED_SHARE: f64 = 0.15;

/// Share of requests without an answer from which a version is bad. Below it they are the instance's
/// or its connections' trouble, which comes to good versions too, while the old one gets no requests
/// to compare with.
const MISSING_LIMIT: f64 = 0.3;

/// Answers on one route before its times are compared; their mean is then within a quarter.
const MIN_TIMED: u32 = 20;

/// A version is bad when its answers take this many times those of the old one. While it gets all
/// requests its instances are fuller than the old ones were, so twice the time tells nothing.
const SLOW_RATIO: f64 = 3.0;

/// An answer is slow when it takes this many times the mean of the old version; less than one good
/// answer in a hundred does.
const SLOW_ANSWER: f64 = 4.0;

/// Share of slow answers that any version may have: two of the fewest answers that are compared.
const SLOW_FLOOR: f64 = 0.08;

/// A version is bad when its share of slow answers, beyond the floor, is this many times that of
/// the old one, which leaves room for fuller instances.
const SLOW_SHARE_RATIO: f64 = 4.0;

/// What the counts say about the target of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Too few answers.
    InsufficientData,
    /// Nothing speaks against it.
    Good,
    /// It fails or is slow.
    Bad,
    /// The old version is in trouble as well, so nothing can be told.
    Inconclusive,
}

type InstanceKey = (ServiceName, VersionName, UnixMillis, base::DaemonId);

/// Evidence of all instances, by the daemon that counted.
#[derive(Debug, Default)]
pub struct CanaryAnalysis {
    instances: FastMap<InstanceKey, Witness>,
}

/// What one instance told so far.
#[derive(Debug)]
struct Witness {
    latest: Evidence,
    /// When its evidence arrived last.
    heard: Instant,
    /// What was counted before the evidence was forgotten.
    forgotten: Option<Evidence>,
    /// Its latest answers by route, since it was heard first.
    recent: FastMap<RouteName, Health>,
}

impl Witness {
    fn new(evidence: Evidence, now: Instant) -> Self {
        Self {
            latest: evidence,
            heard: now,
            forgotten: None,
            recent: FastMap::default(),
        }
    }

    fn tell(&mut self, evidence: Evidence, now: Instant) {
        self.heard = now;
        if self.latest.answers() >= evidence.answers() {
            return;
        }
        for (route, count) in &evidence.routes {
            let fresh = count.since(self.latest.route(route));
            let good = fresh.answers.saturating_sub(fresh.failures);
            let recent = self.recent.entry(route.clone()).or_default();
            recent.record_all(good, fresh.failures, now);
        }
        self.latest = evidence;
    }

    /// What it counted by route since the evidence was forgotten.
    fn fresh(&self) -> impl Iterator<Item = (&RouteName, RouteStats)> {
        self.latest.routes.iter().map(|(route, count)| {
            let before = self.forgotten.as_ref();
            let before = before.and_then(|evidence| evidence.route(route));
            (route, count.since(before))
        })
    }
}

impl CanaryAnalysis {
    /// Takes in the counts of one instance.
    pub fn merge(&mut self, daemon: &base::DaemonId, evidence: Evidence, now: Instant) {
        let key = (
            evidence.service.clone(),
            evidence.version.clone(),
            evidence.born,
            daemon.clone(),
        );
        match self.instances.entry(key) {
            Entry::Occupied(known) => known.into_mut().tell(evidence, now),
            Entry::Vacant(place) => {
                place.insert(Witness::new(evidence, now));
            }
        }
    }

    /// Judges the target of a move, which has so many instances, against the other versions of its
    /// service. Nothing speaks for it while less than half of its instances are heard: a daemon that
    /// is cut off from the others must not take its share on.
    #[must_use]
    pub fn verdict(
        &self,
        service: &ServiceName,
        target: &VersionName,
        instances: usize,
        now: Instant,
    ) -> Verdict {
        let mut new: FastMap<RouteName, Vec<RouteStats>> = FastMap::default();
        let counts = self.witnesses(service, |version| version == target);
        for (route, count) in counts.flat_map(Witness::fresh) {
            new.entry(route.clone()).or_default().push(count);
        }
        let old = self.counts(service, |version| version != target);
        let verdicts: Vec<Verdict> = new
            .iter()
            .map(|(route, counts)| {
                let recent = RecentPair {
                    new: better_half(self.recent(service, route, |v| v == target)),
                    old: total(self.recent(service, route, |v| v != target).iter()),
                };
                judge(&better_half(counts.clone()), old.get(route), recent)
            })
            .collect();
        for verdict in [Verdict::Bad, Verdict::Inconclusive] {
            if verdicts.contains(&verdict) {
                return verdict;
            }
        }
        let answers: u32 = new.values().flatten().map(|count| count.answers).sum();
        let heard = self
            .witnesses(service, |version| version == target)
            .filter(|witness| now.saturating_duration_since(witness.heard) < EVIDENCE_LIFE);
        if answers < MIN_ANSWERS || heard.count() * 2 < instances {
            return Verdict::InsufficientData;
        }
        Verdict::Good
    }

    /// Forgets what was counted for a service until now, since it tells nothing of its versions.
    pub fn reset_counts(&mut self, service: &ServiceName) {
        let witnesses = self.instances.iter_mut();
        for (_, witness) in witnesses.filter(|((of, ..), _)| of == service) {
            witness.forgotten = Some(witness.latest.clone());
        }
    }

    /// Instances of some versions of a service.
    fn witnesses(
        &self,
        service: &ServiceName,
        keep: impl Fn(&VersionName) -> bool,
    ) -> impl Iterator<Item = &Witness> {
        self.instances
            .iter()
            .filter(move |((of, version, ..), _)| of == service && keep(version))
            .map(|(_, witness)| witness)
    }

    /// The latest answers on one route of each instance of some versions, as they were when one of them
    /// answered last: an instance that left fades, and a version that gets no requests stays as it was.
    fn recent(
        &self,
        service: &ServiceName,
        route: &RouteName,
        keep: impl Fn(&VersionName) -> bool,
    ) -> Vec<Recent> {
        let kept: Vec<&Health> = self
            .witnesses(service, keep)
            .filter_map(|witness| witness.recent.get(route))
            .collect();
        let latest = kept
            .iter()
            .filter_map(|health| health.last_recorded())
            .max();
        let Some(latest) = latest else {
            return Vec::new();
        };
        kept.iter()
            .map(|health| Recent::of(health, latest))
            .collect()
    }

    /// Counts of the target and of the other versions by route, for the log.
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
        for (route, count) in self.witnesses(service, keep).flat_map(Witness::fresh) {
            sums.entry(route.clone()).or_default().add(&count);
        }
        sums
    }
}

/// Answers of one instance, or of several together.
trait Sample: Default {
    /// Number of the answers.
    fn answers(&self) -> f64;

    /// Order of instances, the best first.
    fn badness(&self) -> f64;

    /// Adds those of another instance.
    fn add(&mut self, other: &Self);
}

/// Sum of the better half of a version's instances, since a few that fail or are slow are the trouble
/// of their machines and not of the version; of all where the better half answered too little.
fn better_half<S: Sample>(mut samples: Vec<S>) -> S {
    samples.sort_by(|a, b| a.badness().total_cmp(&b.badness()));
    let half = total(samples[..samples.len().div_ceil(2)].iter());
    if half.answers() >= f64::from(MIN_ANSWERS) {
        half
    } else {
        total(samples.iter())
    }
}

fn total<'a, S: Sample + 'a>(samples: impl Iterator<Item = &'a S>) -> S {
    samples.fold(S::default(), |mut sum, sample| {
        sum.add(sample);
        sum
    })
}

/// A mean time, in milliseconds, that weighs as much as a failure of each request; clients wait for
/// less.
const SLOWEST_MS: f64 = 10_000.0;

impl Sample for RouteStats {
    fn answers(&self) -> f64 {
        f64::from(self.answers)
    }

    /// First by the share of requests that failed, then by their time.
    fn badness(&self) -> f64 {
        let failed = f64::from(self.failures + self.missing);
        let share = failed / f64::from((self.answers + self.missing).max(1));
        share + mean_ms(self) / SLOWEST_MS
    }

    fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.missing += other.missing;
        self.total_ms += other.total_ms;
        for (sum, count) in self.times.iter_mut().zip(other.times) {
            *sum += count;
        }
    }
}

/// Weights of the latest answers of one route, fading.
#[derive(Debug, Clone, Copy, Default)]
struct Recent {
    good: f64,
    failed: f64,
}

/// The latest answers of the target and of the other versions.
#[derive(Debug, Clone, Copy, Default)]
struct RecentPair {
    new: Recent,
    old: Recent,
}

impl Recent {
    fn of(health: &Health, then: Instant) -> Self {
        let (good, failed) = health.decayed_counts(then);
        Self { good, failed }
    }

    fn share(self) -> f64 {
        self.failed / self.answers().max(1.0)
    }
}

impl Sample for Recent {
    fn answers(&self) -> f64 {
        self.good + self.failed
    }

    fn badness(&self) -> f64 {
        self.share()
    }

    fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.failed += other.failed;
    }
}

/// Judges the answers of one route.
fn judge(new: &RouteStats, old: Option<&RouteStats>, recent: RecentPair) -> Verdict {
    let missing = f64::from(new.missing) / f64::from((new.answers + new.missing).max(1));
    if new.missing >= MIN_FAILURES && missing > MISSING_LIMIT {
        return Verdict::Bad;
    }
    let old_failures = old.map_or(0.0, failure_share);
    let allowed = (old_failures * FAILURE_RATIO).clamp(FAILURE_FLOOR, FAILURE_CEILING);
    let fails_since_start = new.failures >= MIN_FAILURES && failure_share(new) > allowed;
    // A version that is bad under load only shows in its latest answers first.
    let fails_now = recent.new.failed >= f64::from(MIN_FAILURES) && recent.new.share() > allowed;
    let share = if fails_now {
        recent.new.share()
    } else {
        failure_share(new)
    };
    let is_troubled =
        recent.old.answers() >= f64::from(MIN_ANSWERS) && recent.old.share() > TROUBLED_SHARE;
    let is_shared = is_troubled && share <= f64::midpoint(recent.old.share(), 1.0);
    if (fails_since_start || fails_now) && !is_shared {
        return Verdict::Bad;
    }
    if is_troubled {
        return Verdict::Inconclusive;
    }
    let Some(old) = old.filter(|old| old.answers >= MIN_TIMED) else {
        return Verdict::Good;
    };
    if new.answers < MIN_TIMED {
        return Verdict::Good;
    }
    let slow = SLOW_ANSWER * mean_ms(old);
    let allowed = SLOW_FLOOR + SLOW_SHARE_RATIO * old.share_above(slow);
    if mean_ms(new) > SLOW_RATIO * mean_ms(old) || new.share_above(slow) > allowed {
        return Verdict::Bad;
    }
    Verdict::Good
}

fn failure_share(count: &RouteStats) -> f64 {
    f64::from(count.failures) / f64::from(count.answers.max(1))
}

#[allow(clippy::cast_precision_loss)]
fn mean_ms(count: &RouteStats) -> f64 {
    count.total_ms as f64 / f64::from(count.answers.max(1))
}
