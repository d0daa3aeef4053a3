//! The lease that the controller holds on the share of an unproven version.
//!
//! The controller renews the lease. Proxies that receive no renewal for [`LEASE_DURATION`] send new
//! calls to the old version, so an unproven version gets no calls without a controller.

use std::time::Duration;
use std::time::Instant;

use base::Epoch;
use protocol::feed::Lease;

/// Interval between two renewals.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Time from the last renewal to the expiry of the lease.
pub const LEASE_DURATION: Duration = Duration::from_secs(4);

/// Issues the renewals of one epoch; kept by the controller.
#[derive(Debug, Clone)]
pub struct LeaseHolder {
    lease: Lease,
}

impl LeaseHolder {
    /// Creates the lease of an epoch; no renewal is issued yet.
    #[must_use]
    pub fn new(epoch: Epoch) -> Self {
        Self {
            lease: Lease { epoch, sequence: 0 },
        }
    }

    /// The epoch of the lease.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.lease.epoch
    }

    /// Issues the next renewal, with the next higher sequence.
    pub fn renew(&mut self) -> Lease {
        self.lease.sequence += 1;
        self.lease
    }
}

/// Tracks the newest lease received, and when it was last renewed.
#[derive(Debug, Clone, Default)]
pub struct LeaseWatch {
    newest: Lease,
    last_renewal: Option<Instant>,
}

/// Effect of a received lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseUpdate {
    /// The first lease of an epoch. It may be a delayed one from a failed holder, so it renews
    /// nothing.
    NewEpoch,
    /// A renewal of the newest lease.
    Renewed,
    /// Not newer than the newest lease.
    Stale,
}

impl LeaseWatch {
    /// Merges a received lease.
    pub fn observe(&mut self, lease: Lease, now: Instant) -> LeaseUpdate {
        if lease <= self.newest {
            return LeaseUpdate::Stale;
        }
        let is_renewal = lease.epoch == self.newest.epoch && self.newest.sequence > 0;
        self.newest = lease;
        if !is_renewal {
            return LeaseUpdate::NewEpoch;
        }
        self.last_renewal = Some(now);
        LeaseUpdate::Renewed
    }

    /// Records the epoch of a claim in force; leases of lower epochs become stale.
    pub fn advance_epoch(&mut self, epoch: Epoch) {
        if epoch > self.newest.epoch {
            self.newest = Lease { epoch, sequence: 0 };
        }
    }

    /// Whether a renewal was received within [`LEASE_DURATION`].
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < LEASE_DURATION)
    }

    /// Time since the last renewal; `None` before the first.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.last_renewal?))
    }

    /// Time of the last renewal; `None` before the first.
    #[must_use]
    pub fn renewed_at(&self) -> Option<Instant> {
        self.last_renewal
    }

    /// The newest lease received, for the answers to other daemons.
    #[must_use]
    pub fn newest(&self) -> Lease {
        self.newest
    }
}
