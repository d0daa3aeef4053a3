//! Configuration of failure detection and gossip.

use std::time::Duration;

/// Configuration of one [`super::Swim`].
#[derive(Debug, Clone)]
pub struct SwimConfig {
    /// Protocol period: one probe starts per period.
    pub period: Duration,
    /// Time to wait for a direct ack before the indirect probes start.
    pub ack_timeout: Duration,
    /// Number of helpers that probe an unresponsive target indirectly.
    pub indirect_probes: usize,
    /// Fixed part of the time in which a suspect can refute; see [`Self::suspicion_timeout_for`].
    pub suspicion_timeout: Duration,
    /// Interval between gossip rounds while updates are queued.
    pub gossip_interval: Duration,
    /// Number of members addressed in each gossip round.
    pub gossip_fanout: usize,
    /// Limit on the bytes of queued updates sent per second, piggybacked or as gossip.
    pub update_bytes_per_second: u32,
    /// Each update is sent this many times the binary logarithm of the number of members.
    pub retransmit_factor: u32,
    /// Interval between digests to a random member, before jitter.
    pub digest_interval: Duration,
    /// How long the tombstone of a removed member rejects older updates.
    pub tombstone_ttl: Duration,
    /// How long the address of a dead member is retried, so that a partition can heal.
    pub lost_address_ttl: Duration,
    /// A gap above this between two ticks or received messages means that this process was paused.
    pub stall_threshold: Duration,
    /// Time without any message after which a member may itself be isolated and suspects nobody.
    pub uncertain_after: Duration,
    /// Time without any message after which it removes unresponsive members from its own view only.
    pub isolated_after: Duration,
    /// Initial and maximum backoff between join attempts, before jitter.
    pub join_backoff: (Duration, Duration),
    /// Consecutive probes acknowledged only through a helper before the peer is quarantined.
    pub quarantine_after: u8,
}

impl Default for SwimConfig {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            ack_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(3),
            gossip_interval: Duration::from_millis(200),
            gossip_fanout: 2,
            update_bytes_per_second: 2560,
            retransmit_factor: 2,
            digest_interval: Duration::from_secs(10),
            tombstone_ttl: Duration::from_mins(2),
            lost_address_ttl: Duration::from_hours(3),
            stall_threshold: Duration::from_secs(1),
            uncertain_after: Duration::from_secs(3),
            isolated_after: Duration::from_secs(10),
            join_backoff: (Duration::from_millis(500), Duration::from_secs(10)),
            quarantine_after: 3,
        }
    }
}

impl SwimConfig {
    /// Scales the default configuration to another period; retention times, counts and the byte
    /// rate stay.
    #[must_use]
    pub fn with_period(period: Duration, suspicion_timeout: Duration) -> Self {
        Self {
            period,
            suspicion_timeout,
            ack_timeout: period * 3 / 10,
            gossip_interval: period / 5,
            digest_interval: period * 10,
            stall_threshold: period,
            uncertain_after: period * 3,
            isolated_after: period * 10,
            join_backoff: (period / 2, period * 10),
            ..Self::default()
        }
    }

    /// Returns the time in which a suspect among `members` can refute. It grows with the logarithm
    /// of `members`, since the suspicion has to reach the suspect and the refutation to return.
    #[must_use]
    pub fn suspicion_timeout_for(&self, members: usize) -> Duration {
        self.suspicion_timeout + self.gossip_interval * 2 * log2(members)
    }

    /// Returns how many times one update is sent among `members`.
    #[must_use]
    pub fn retransmits(&self, members: usize) -> u32 {
        self.retransmit_factor * log2(members)
    }
}

fn log2(members: usize) -> u32 {
    (members + 2).next_power_of_two().ilog2()
}
