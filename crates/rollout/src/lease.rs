//! The lease on the share of a new version.
//!
//! The controller renews it; proxies that have heard no renewal for [`LEASE_DURATION`] send new
//! calls to the old version.

use std::time::Duration;
use std::time::Instant;

use base::Epoch;
use protocol::feed::Lease;

/// Time between two renewals.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a lease that was not renewed has lapsed.
pub const LEASE_DURATION: Duration = Duration::from_secs(4);

/// The controller's side.
#[derive(Debug, Clone)]
pub struct LeaseHolder {
    lease: Lease,
}

impl LeaseHolder {
    /// Begins the renewals of an epoch.
    #[must_use]
    pub fn new(epoch: Epoch) -> Self {
        Self {
            lease: Lease { epoch, sequence: 0 },
        }
    }

    /// The epoch that is renewed.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.lease.epoch
    }

    /// The next renewal.
    pub fn renew(&mut self) -> Lease {
        self.lease.sequence += 1;
        self.lease
    }
}

/// The side of all others: which lease is the newest, and whether it lives.
#[derive(Debug, Clone, Default)]
pub struct LeaseWatch {
    newest: Lease,
    last_renewal: Option<Instant>,
}

/// What a heard lease was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseUpdate {
    /// The first of an epoch; it may be an old one that comes late, so it renews nothing.
    NewEpoch,
    /// A renewal.
    Renewed,
    /// Not newer than what was heard before.
    Stale,
}

impl LeaseWatch {
    /// Takes a lease in.
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

    /// Notes an epoch that a claim put in force; leases of older ones no longer count.
    pub fn advance_epoch(&mut self, epoch: Epoch) {
        if epoch > self.newest.epoch {
            self.newest = Lease { epoch, sequence: 0 };
        }
    }

    /// Whether a renewal was heard within [`LEASE_DURATION`].
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < LEASE_DURATION)
    }

    /// Time since the last renewal; `None` before the first.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.last_renewal?))
    }

    /// When the last renewal was heard; `None` before the first.
    #[must_use]
    pub fn renewed_at(&self) -> Option<Instant> {
        self.last_renewal
    }

    /// The newest lease, for those who ask.
    #[must_use]
    pub fn newest(&self) -> Lease {
        self.newest
    }
}
