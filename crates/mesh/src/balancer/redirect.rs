//! Whether a request that would wait beside a full instance goes back to its caller, since another
//! instance of the zone has room.
//!
//! Handles instances that are overrun in turns: between two reports some callers always choose one that
//! has filled up meanwhile, and only the daemon beside it knows at once. The request has not run, so it
//! takes nothing from the retry budget. Its caller allows this for its first attempt only.

use std::time::Duration;
use std::time::Instant;

use protocol::call::Load;

use crate::balancer::Balancer;
use crate::balancer::present::present_load;
use crate::balancer::slots;
use crate::directory::Entry;

/// Part of the time to the full value of an answer that a request waits rather than being redirected;
/// short waits cost less than another hop.
const MIN_WAIT_DIVISOR: u32 = 10;

/// Expected free slots of an instance that counts as one with room, so that it does not fill up before
/// the request arrives there.
const MIN_FREE_SLOTS: f64 = 3.0;

/// Age up to which a report shows room: two gossip rounds.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);

impl Balancer {
    /// Whether a request for the local instance goes back to its caller. `others` are the instances of
    /// the service, `full_value_left` is the time until its answer loses value.
    #[must_use]
    pub fn redirects(
        &self,
        own: &Entry,
        others: &[&Entry],
        own_load: Load,
        full_value_left: Duration,
        now: Instant,
    ) -> bool {
        let is_full = own_load.running >= own_load.slots || own_load.queued > 0;
        is_full
            && self.expected_wait(own, own_load, now) > full_value_left / MIN_WAIT_DIVISOR
            && others.iter().any(|other| self.has_room(own, other, now))
    }

    /// Returns the time until a request that arrives at an instance now gets a slot.
    fn expected_wait(&self, own: &Entry, load: Load, now: Instant) -> Duration {
        let service_time = self
            .service_time(own)
            .mul_f64(self.relative_latency(own, now));
        service_time.saturating_mul(load.queued + 1) / load.slots.max(1)
    }

    /// Whether another instance of the same zone and version is expected to have free slots now.
    fn has_room(&self, own: &Entry, other: &Entry, now: Instant) -> bool {
        let version = |entry: &Entry| {
            entry
                .member
                .instance
                .as_ref()
                .map(|info| info.version.clone())
        };
        if other.member.daemon == own.member.daemon
            || other.member.zone != own.member.zone
            || version(other) != version(own)
            || self.is_paused(other, now)
            || self.failure_rate(other, now) > self.cfg.tolerated_failure_rate
        {
            return false;
        }
        let Some(stats) = self.current_stats(other) else {
            return false;
        };
        let is_recent = stats
            .reported
            .is_some_and(|reported| reported.age(now) <= MAX_REPORT_AGE);
        let slots = slots(other);
        let load = present_load(stats, slots, None, self.drain_time(other), now);
        is_recent && load + MIN_FREE_SLOTS <= slots
    }

    /// Whether an instance states how long work takes on its machine. Its service is one of unlike
    /// instances, in which redirects are worth their hop.
    #[must_use]
    pub fn states_work_time(&self, entry: &Entry) -> bool {
        let reported = self.current_stats(entry).and_then(|stats| stats.reported);
        reported.is_some_and(|reported| reported.report.work_time_permille.is_some())
    }
}
