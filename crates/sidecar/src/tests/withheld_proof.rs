//! When it is told that reads of the operator's records prove nothing.

use std::time::Duration;
use std::time::Instant;

use crate::knowledge::WithheldProof;

/// Guards against keys that stop for long behind a single log line.
#[test]
fn a_proof_that_stays_withheld_is_told_again_at_a_bounded_rate() {
    let start = Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let mut withheld = WithheldProof::default();
    let mut lasted = |offset, second| {
        let notice = withheld.next(offset, at(second));
        notice.map(|notice| notice.lasted.as_secs())
    };
    assert_eq!(lasted(None, 0), None);
    assert_eq!(lasted(Some(7), 5), Some(0));
    assert_eq!(lasted(Some(7), 14), None);
    assert_eq!(lasted(Some(7), 15), Some(10));
    assert_eq!(lasted(Some(7), 24), None);
    assert_eq!(lasted(Some(9), 24), Some(19));
    assert_eq!(lasted(None, 30), Some(25));
    assert_eq!(lasted(None, 60), None);
    assert_eq!(lasted(Some(11), 70), Some(0));
}
