//! Settings of failure detection and gossip.

use std::time::Duration;

/// Settings of one [`super::Swim`].
#[derive(Debug, Clone)]
pub struct SwimConfig {
    /// One probe is begun in each period.
    pub period: Duration,
    /// Time for a direct answer before helpers are asked.
    pub ack_timeout: Duration,
    /// Helpers that are asked for one probe.
    pub helpers: usize,
    /// Fixed part of the time that a suspect has to refute.
    pub suspicion: Duration,
    /// Time between two rounds of gossip while there is news.
    pub gossip_every: Duration,
    /// Members that get each round of gossip.
    pub gossip_fanout: usize,
    /// Bytes of updates that may be sent each second, piggybacked or alone.
    pub update_bytes_per_second: u32,
    /// Sends of one update are this times the binary logarithm of the number of members.
    pub retransmit_factor: u32,
    /// Time between two digests to a random member, before jitter.
    pub digest_every: Duration,
    /// How long a statement about a gone member bars older ones.
    pub tombstone_ttl: Duration,
    /// How long the address of a gone member is tried again, for the end of a partition.
    pub lost_address_ttl: Duration,
    /// A tick that comes this much late shows that this process stood still.
    pub late_tick: Duration,
    /// Without any message for this long, a member takes itself for cut off and accuses nobody.
    pub deaf_after: Duration,
    /// Without any message for this long, it takes the others for gone.
    pub alone_after: Duration,
    /// First and longest delay between tries to join.
    pub join_backoff: (Duration, Duration),
    /// Direct probes in a row that only a helper could complete before a peer is quarantined.
    pub half_open_after: u8,
}

impl Default for SwimConfig {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            ack_timeout: Duration::from_millis(300),
            helpers: 3,
            suspicion: Duration::from_secs(3),
            gossip_every: Duration::from_millis(200),
            gossip_fanout: 2,
            update_bytes_per_second: 2560,
            retransmit_factor: 2,
            digest_every: Duration::from_secs(10),
            tombstone_ttl: Duration::from_mins(2),
            lost_address_ttl: Duration::from_hours(3),
            late_tick: Duration::from_secs(1),
            deaf_after: Duration::from_secs(3),
            alone_after: Duration::from_secs(10),
            join_backoff: (Duration::from_millis(500), Duration::from_secs(10)),
            half_open_after: 3,
        }
    }
}

impl SwimConfig {
    /// The default settings at another pace: all spans but the long ones follow the period.
    #[must_use]
    pub fn with_period(period: Duration, suspicion: Duration) -> Self {
        Self {
            period,
            suspicion,
            ack_timeout: period * 3 / 10,
            gossip_every: period / 5,
            digest_every: period * 10,
            late_tick: period,
            deaf_after: period * 3,
            alone_after: period * 10,
            join_backoff: (period / 2, period * 10),
            ..Self::default()
        }
    }

    /// Time that a suspect has to refute among `members`: the word has to reach it and to return.
    #[must_use]
    pub fn suspicion_for(&self, members: usize) -> Duration {
        self.suspicion + self.gossip_every * 2 * log2(members)
    }

    /// How often one update is sent among `members`.
    #[must_use]
    pub fn retransmits(&self, members: usize) -> u32 {
        self.retransmit_factor * log2(members)
    }
}

fn log2(members: usize) -> u32 {
    (members + 2).next_power_of_two().ilog2()
}
