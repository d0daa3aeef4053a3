//! Merging of reports.

use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::evidence::Evidence;
use crate::evidence::MAX_DAEMONS;
use crate::evidence::MAX_INCARNATIONS;
use crate::evidence::Window;
use crate::simulation::SplitMix64;
use crate::tests::fixture::NEW;
use crate::tests::fixture::OLD;
use crate::tests::fixture::SERVICE;
use crate::tests::fixture::report;

fn window(evidence: &Evidence) -> Window {
    evidence.window(&SERVICE.into(), &OLD.into(), &NEW.into())
}

/// Daemon, incarnation and sequence of each report; the counts are derived from them.
type Reports = Vec<(u8, u8, u8)>;

fn merged(reports: impl Iterator<Item = (u8, u8, u8)>) -> Evidence {
    let mut evidence = Evidence::default();
    for (daemon, incarnation, sequence) in reports {
        let version = if daemon.is_multiple_of(2) { OLD } else { NEW };
        let sequence = u64::from(sequence % 16);
        let mut report = report(
            &format!("d{}", daemon % 8),
            version,
            sequence,
            sequence,
            sequence / 4,
        );
        report.incarnation = u64::from(incarnation % 5);
        evidence.merge(report);
    }
    evidence
}

#[test]
fn reordered_and_duplicate_reports_merge_to_the_same_evidence() {
    fn property(reports: Reports, seed: u64) -> bool {
        let mut shuffled = reports.clone();
        shuffled.extend(reports.iter().take(reports.len() / 2));
        let mut random = SplitMix64::new(seed);
        let mut keyed: Vec<_> = shuffled
            .into_iter()
            .map(|r| (random.next_f64(), r))
            .collect();
        keyed.sort_by(|a, b| a.0.total_cmp(&b.0));
        let shuffled = keyed.into_iter().map(|(_, report)| report);
        window(&merged(reports.into_iter())) == window(&merged(shuffled))
    }
    QuickCheck::new()
        .rng(Gen::new(60))
        .tests(300)
        .quickcheck(property as fn(Reports, u64) -> bool);
}

#[test]
fn later_report_makes_up_for_lost_reports() {
    fn property(sequences: Vec<u8>) -> bool {
        let all = (1..=15).map(|sequence| (1, 1, sequence));
        let some = sequences.into_iter().map(|sequence| (1, 1, sequence));
        window(&merged(all)) == window(&merged(some.chain([(1, 1, 15)])))
    }
    quickcheck::quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn old_version_counts_from_the_first_report_and_new_one_from_its_start() {
    let mut evidence = Evidence::default();
    evidence.merge(report("a", OLD, 1, 1_000, 10));
    evidence.merge(report("a", OLD, 2, 1_007, 11));
    evidence.merge(report("b", NEW, 5, 3, 2));
    let total = window(&evidence).total();
    assert_eq!((total.old.ok, total.old.failed), (7, 1));
    assert_eq!((total.new.ok, total.new.failed), (3, 2));
}

#[test]
fn evidence_stays_bounded() {
    let mut evidence = Evidence::default();
    for daemon in 0..2 * MAX_DAEMONS {
        for incarnation in 0..10 {
            let mut report = report(&format!("d{daemon:05}"), NEW, 1, 1, 0);
            report.incarnation = incarnation;
            evidence.merge(report);
        }
    }
    let kept = usize::try_from(window(&evidence).total().new.ok).unwrap();
    assert_eq!(kept, MAX_DAEMONS * MAX_INCARNATIONS);
}
