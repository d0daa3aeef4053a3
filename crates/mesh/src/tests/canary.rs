//! Verdicts on good and bad versions.

use std::time::Duration;
use std::time::Instant;

use crate::canary::CanaryAnalysis;
use crate::canary::Verdict;
use crate::evidence::Evidence;
use crate::evidence::RouteStats;

pub fn evidence(version: &str, routes: &[(&str, u32, u32, u64)]) -> Evidence {
    Evidence {
        service: "catalogue".into(),
        version: version.into(),
        born: 1,
        routes: routes
            .iter()
            .map(|(route, answers, failures, mean_ms)| {
                let mut count = RouteStats::default();
                for answer in 0..*answers {
                    count.record_answer(Duration::from_millis(*mean_ms), answer < *failures);
                }
                ((*route).into(), count)
            })
            .collect(),
    }
}

#[test]
fn verdict_considers_each_route() {
    let check = |new: &[(&str, u32, u32, u64)], expected: Verdict| {
        let mut canary = CanaryAnalysis::default();
        let old = [("browse", 1000, 2, 90), ("hold", 400, 2, 120)];
        canary.merge(&"a".into(), 1, evidence("v1", &old), Instant::now());
        canary.merge(&"b".into(), 1, evidence("v2", new), Instant::now());
        let verdict = canary.verdict(&"catalogue".into(), &"v2".into(), 1, Instant::now());
        assert_eq!(verdict, expected, "{new:?}");
    };
    check(&[], Verdict::InsufficientData);
    check(&[("browse", 10, 0, 90)], Verdict::InsufficientData);
    check(&[("browse", 60, 0, 95)], Verdict::Good);
    check(&[("browse", 60, 1, 120)], Verdict::Good);
    check(&[("browse", 20, 8, 90)], Verdict::Bad);
    check(
        &[("browse", 200, 0, 90), ("hold", 20, 8, 120)],
        Verdict::Bad,
    );
    check(&[("browse", 40, 0, 300)], Verdict::Bad);
    // Busy instances take twice as long.
    check(&[("browse", 400, 0, 190)], Verdict::Good);
}

#[test]
fn few_missing_answers_do_not_make_a_version_bad() {
    let check = |missing: u32, expected: Verdict| {
        let mut canary = CanaryAnalysis::default();
        canary.merge(
            &"a".into(),
            1,
            evidence("v1", &[("browse", 7623, 12, 98)]),
            Instant::now(),
        );
        let mut evidence = evidence("v2", &[("browse", 748, 0, 100)]);
        evidence.routes[0].1.missing = missing;
        canary.merge(&"b".into(), 1, evidence, Instant::now());
        let verdict = canary.verdict(&"catalogue".into(), &"v2".into(), 1, Instant::now());
        assert_eq!(verdict, expected, "{missing} missing");
    };
    // Connections that broke for a second at full share of the target.
    check(37, Verdict::Good);
    check(500, Verdict::Bad);
}

#[test]
fn a_version_that_is_slow_for_some_requests_is_bad() {
    let check = |slow: u32, expected: Verdict| {
        let mut canary = CanaryAnalysis::default();
        canary.merge(
            &"a".into(),
            1,
            evidence("v1", &[("browse", 1000, 0, 90)]),
            Instant::now(),
        );
        let mut evidence = evidence("v2", &[("browse", 100 - slow, 0, 90)]);
        for _ in 0..slow {
            evidence.routes[0]
                .1
                .record_answer(Duration::from_millis(700), false);
        }
        canary.merge(&"b".into(), 1, evidence, Instant::now());
        let verdict = canary.verdict(&"catalogue".into(), &"v2".into(), 1, Instant::now());
        assert_eq!(verdict, expected, "{slow} slow of 100");
    };
    check(0, Verdict::Good);
    check(5, Verdict::Good);
    check(15, Verdict::Bad);
    check(32, Verdict::Bad);
}

/// A few milliseconds more on a route that is answered at once are no fault.
#[test]
fn latencies_of_few_milliseconds_are_not_compared() {
    let check = |old_ms: u64, new_ms: u64, expected: Verdict| {
        let mut canary = CanaryAnalysis::default();
        let now = Instant::now();
        let old = evidence("v1", &[("probe", 87, 0, old_ms), ("browse", 900, 0, 220)]);
        let new = evidence("v2", &[("probe", 40, 0, new_ms), ("browse", 60, 0, 220)]);
        canary.merge(&"a".into(), 1, old, now);
        canary.merge(&"b".into(), 1, new, now);
        let verdict = canary.verdict(&"catalogue".into(), &"v2".into(), 1, now);
        assert_eq!(verdict, expected, "{old_ms} ms, then {new_ms} ms");
    };
    check(0, 1, Verdict::Good);
    check(1, 12, Verdict::Good);
    check(1, 80, Verdict::Bad);
    check(90, 300, Verdict::Bad);
}

#[test]
fn duplicate_evidence_counts_once() {
    let mut canary = CanaryAnalysis::default();
    for answers in [20, 60, 40, 60] {
        canary.merge(
            &"b".into(),
            1,
            evidence("v2", &[("browse", answers, 4, 90)]),
            Instant::now(),
        );
    }
    // Four failures are too few for a bad verdict, however often they are reported.
    let verdict = canary.verdict(&"catalogue".into(), &"v2".into(), 1, Instant::now());
    assert_eq!(verdict, Verdict::Good);
}

/// A daemon that restarts beside a living instance counts from zero.
#[test]
fn evidence_after_a_restart_of_the_daemon_counts() {
    let mut canary = CanaryAnalysis::default();
    let now = Instant::now();
    let old = evidence("v1", &[("browse", 1000, 2, 90)]);
    canary.merge(&"a".into(), 1, old, now);
    let before = evidence("v2", &[("browse", 200, 0, 90)]);
    canary.merge(&"b".into(), 1, before.clone(), now);
    let after = evidence("v2", &[("browse", 60, 40, 90)]);
    canary.merge(&"b".into(), 2, after, now);
    // A late datagram of the former process.
    canary.merge(&"b".into(), 1, before, now);
    let verdict = canary.verdict(&"catalogue".into(), &"v2".into(), 1, now);
    assert_eq!(verdict, Verdict::Bad);
}

#[test]
fn a_few_failing_instances_do_not_make_a_version_bad() {
    let check = |instances: &[(u32, u32, u64)], expected: Verdict| {
        let mut canary = CanaryAnalysis::default();
        canary.merge(
            &"a".into(),
            1,
            evidence("v1", &[("browse", 2816, 191, 217)]),
            Instant::now(),
        );
        for (index, (answers, failures, mean_ms)) in instances.iter().enumerate() {
            let daemon = format!("b{index}").into();
            let counts = [("browse", *answers, *failures, *mean_ms)];
            canary.merge(&daemon, 1, evidence("v2", &counts), Instant::now());
        }
        let verdict = canary.verdict(&"catalogue".into(), &"v2".into(), 1, Instant::now());
        assert_eq!(verdict, expected, "{instances:?}");
    };
    // Two of five instances of a good version fail: 57 failures in 156 answers.
    let two_failing = [
        (33, 1, 242),
        (33, 0, 242),
        (30, 0, 242),
        (30, 28, 20),
        (30, 28, 20),
    ];
    check(&two_failing, Verdict::Good);
    check(&[(30, 0, 230), (30, 0, 900)], Verdict::Good);
    check(&[(20, 10, 200), (20, 8, 200), (20, 9, 200)], Verdict::Bad);
    check(&[(20, 0, 900), (20, 0, 800), (20, 0, 900)], Verdict::Bad);
    // All instances count where the better half has too few answers.
    check(&[(4, 0, 200), (20, 16, 200)], Verdict::Bad);
    check(&[(20, 16, 200)], Verdict::Bad);
}

/// From 11.2 s of the move on, all instances of the old version fail more than half of their
/// requests, and so do those of the target, which also fails under load. The versions cannot be
/// compared then, so the verdict is inconclusive and the share is reduced.
#[test]
fn failures_of_the_whole_service_make_the_verdict_inconclusive() {
    let start = Instant::now();
    let mut canary = CanaryAnalysis::default();
    let service = "catalogue".into();
    let report_and_judge =
        |canary: &mut CanaryAnalysis, at_ms: u64, old: (u32, u32), new: (u32, u32)| {
            let now = start + Duration::from_millis(at_ms);
            let old = evidence("v1", &[("browse", old.0, old.1, 260)]);
            let new = evidence("v2", &[("browse", new.0, new.1, 300)]);
            canary.merge(&"a".into(), 1, old, now);
            canary.merge(&"b".into(), 1, new, now);
            canary.verdict(&"catalogue".into(), &"v2".into(), 1, now)
        };
    let good = report_and_judge(&mut canary, 11_100, (11_600, 200), (277, 13));
    assert_eq!(good, Verdict::Good);
    let good = report_and_judge(&mut canary, 11_286, (11_775, 221), (287, 15));
    assert_eq!(good, Verdict::Good);
    let inconclusive = report_and_judge(&mut canary, 11_500, (11_950, 322), (318, 37));
    assert_eq!(inconclusive, Verdict::Inconclusive);
    canary.reset_counts(&service);
    let inconclusive = report_and_judge(&mut canary, 11_600, (12_124, 524), (322, 40));
    assert_eq!(inconclusive, Verdict::Inconclusive);
    canary.reset_counts(&service);
    // After the recovery only the counts since the reset matter.
    let good = report_and_judge(&mut canary, 20_000, (15_000, 530), (362, 41));
    assert_eq!(good, Verdict::Good);
    // A target that fails while the old version does not is bad.
    let bad = report_and_judge(&mut canary, 20_500, (15_400, 540), (420, 80));
    assert_eq!(bad, Verdict::Bad);
}

#[test]
fn failures_of_a_departed_old_instance_do_not_degrade_the_service() {
    let start = Instant::now();
    let mut canary = CanaryAnalysis::default();
    for (at_ms, departed, live, new) in [
        (0, (400, 10), (1000, 10), (10, 0)),
        (500, (700, 300), (1040, 10), (12, 0)),
        (20_000, (700, 300), (1500, 14), (60, 1)),
        (20_500, (700, 300), (1520, 14), (80, 1)),
    ] {
        let now = start + Duration::from_millis(at_ms);
        let browse = |count: (u32, u32)| [("browse", count.0, count.1, 90)];
        canary.merge(
            &"departed".into(),
            1,
            evidence("v1", &browse(departed)),
            now,
        );
        canary.merge(&"live".into(), 1, evidence("v1", &browse(live)), now);
        canary.merge(&"new".into(), 1, evidence("v2", &browse(new)), now);
    }
    let now = start + Duration::from_millis(20_500);
    let verdict = canary.verdict(&"catalogue".into(), &"v2".into(), 1, now);
    assert_eq!(verdict, Verdict::Good);
}

#[test]
fn verdict_needs_reports_of_half_of_the_target_instances() {
    let now = Instant::now();
    let mut canary = CanaryAnalysis::default();
    canary.merge(
        &"a".into(),
        1,
        evidence("v1", &[("browse", 900, 1, 90)]),
        now,
    );
    canary.merge(
        &"b".into(),
        1,
        evidence("v2", &[("browse", 60, 0, 90)]),
        now,
    );
    let check = |instances: usize, later_ms: u64, expected: Verdict| {
        let now = now + Duration::from_millis(later_ms);
        let verdict = canary.verdict(&"catalogue".into(), &"v2".into(), instances, now);
        assert_eq!(
            verdict, expected,
            "{instances} instances, {later_ms} ms later"
        );
    };
    check(1, 100, Verdict::Good);
    check(2, 100, Verdict::Good);
    check(3, 100, Verdict::InsufficientData);
    check(1, 3000, Verdict::InsufficientData);
}

/// Guards against a route that is left out for good because the others failed there at first.
#[test]
fn a_route_on_which_the_others_have_recovered_is_judged() {
    let start = Instant::now();
    let mut canary = CanaryAnalysis::default();
    let mut judge = |at_s: u64, old: (u32, u32), new: (u32, u32)| {
        let now = start + Duration::from_secs(at_s);
        let old = evidence("v1", &[("browse", old.0, old.1, 90), ("hold", 900, 0, 90)]);
        let new = evidence("v2", &[("browse", new.0, new.1, 90), ("hold", 40, 0, 90)]);
        canary.merge(&"a".into(), 1, old, now);
        canary.merge(&"b".into(), 1, new, now);
        canary.verdict(&"catalogue".into(), &"v2".into(), 1, now)
    };
    assert_eq!(judge(0, (10, 10), (2, 2)), Verdict::Good);
    assert_eq!(judge(1, (500, 490), (10, 10)), Verdict::Good);
    assert_eq!(judge(40, (640, 491), (24, 24)), Verdict::Bad);
}

/// Guards against a good version that is bad by the failures of a trouble of the whole service that has ended.
#[test]
fn failures_of_a_trouble_of_the_service_do_not_count_once_it_has_ended() {
    let start = Instant::now();
    let mut canary = CanaryAnalysis::default();
    let (service, target) = ("catalogue".into(), "v2".into());
    let (mut old, mut new) = ((0, 0), (0, 0));
    let mut verdicts = Vec::new();
    for second in 0..40 {
        let now = start + Duration::from_secs(second);
        let failed = if (5..15).contains(&second) { 3 } else { 0 };
        old = (old.0 + 100, old.1 + failed * 20);
        new = (new.0 + 20, new.1 + failed * 4);
        let browse = |count: (u32, u32)| [("browse", count.0, count.1, 90)];
        canary.merge(&"a".into(), 1, evidence("v1", &browse(old)), now);
        canary.merge(&"b".into(), 1, evidence("v2", &browse(new)), now);
        let verdict = canary.verdict(&service, &target, 1, now);
        if verdict == Verdict::Inconclusive {
            canary.reset_counts(&service);
        }
        verdicts.push(verdict);
    }
    assert!(verdicts.contains(&Verdict::Inconclusive), "{verdicts:?}");
    assert!(!verdicts.contains(&Verdict::Bad), "{verdicts:?}");
    assert_eq!(verdicts.last(), Some(&Verdict::Good));
}
