//! The lease on the share of an unproven version.

use std::time::Duration;
use std::time::Instant;

use protocol::feed::Lease;

use crate::lease::LEASE_DURATION;
use crate::lease::LeaseUpdate;
use crate::lease::LeaseWatch;

/// An event at a given second; the table also says whether the lease is fresh afterwards.
enum Event {
    Lease(u64, u64, LeaseUpdate),
    EpochAdvanced(u64),
    Elapsed,
}

fn check(name: &str, events: &[(u64, Event, bool)]) {
    let origin = Instant::now();
    let mut watch = LeaseWatch::default();
    for (second, event, is_fresh) in events {
        let now = origin + Duration::from_secs(*second);
        match event {
            Event::Lease(epoch, sequence, update) => {
                let lease = Lease {
                    epoch: *epoch,
                    sequence: *sequence,
                };
                assert_eq!(watch.observe(lease, now), *update, "{name} at {second} s");
            }
            Event::EpochAdvanced(epoch) => watch.advance_epoch(*epoch),
            Event::Elapsed => {}
        }
        assert_eq!(watch.is_fresh(now), *is_fresh, "{name} at {second} s");
    }
}

#[test]
fn only_renewals_of_the_newest_epoch_keep_the_lease_fresh() {
    let duration = LEASE_DURATION.as_secs();
    check(
        "renewed, then no more renewals",
        &[
            (0, Event::Lease(1, 1, LeaseUpdate::NewEpoch), false),
            (1, Event::Lease(1, 2, LeaseUpdate::Renewed), true),
            (duration, Event::Elapsed, true),
            (1 + duration, Event::Elapsed, false),
        ],
    );
    check(
        "last lease of a failed holder, received by a joining daemon",
        &[
            (0, Event::Lease(3, 57, LeaseUpdate::NewEpoch), false),
            (1, Event::Lease(3, 57, LeaseUpdate::Stale), false),
        ],
    );
    check(
        "paused holder resumes after a higher epoch is in force",
        &[
            (0, Event::Lease(1, 1, LeaseUpdate::NewEpoch), false),
            (1, Event::Lease(1, 2, LeaseUpdate::Renewed), true),
            (9, Event::EpochAdvanced(2), false),
            (10, Event::Lease(1, 3, LeaseUpdate::Stale), false),
            (11, Event::Lease(1, 4, LeaseUpdate::Stale), false),
            (12, Event::Lease(2, 1, LeaseUpdate::NewEpoch), false),
            (13, Event::Lease(2, 2, LeaseUpdate::Renewed), true),
            (14, Event::Lease(1, 99, LeaseUpdate::Stale), true),
        ],
    );
}
