//! Election of the controller: when a daemon claims the next epoch.

use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::Epoch;
use base::UnixMillis;
use base::hash;
use ledger::Entry;
use ledger::Record;
use smol_str::format_smolstr;

use crate::controller::APPEND_RETRY_INTERVAL;
use crate::controller::Action;
use crate::controller::ClusterView;
use crate::controller::LogHealth;
use crate::controller::TickTime;
use crate::lease::LEASE_DURATION;
use crate::lease::LeaseWatch;

/// Delay between the claims of successive candidates: the time that a claim takes through the log
/// to the other candidates.
pub const CLAIM_STAGGER: Duration = Duration::from_secs(2);

#[derive(Debug)]
pub(crate) struct Candidate {
    me: DaemonId,
    nonce: u64,
    /// When this daemon began to wait for a renewal.
    waiting_since: Option<Instant>,
    /// The epoch last seen in force.
    epoch: Epoch,
    claim: Option<Claim>,
}

#[derive(Debug)]
struct Claim {
    epoch: Epoch,
    at: UnixMillis,
    last_append: Instant,
}

impl Candidate {
    pub(crate) fn new(me: DaemonId, nonce: u64) -> Self {
        Self {
            me,
            nonce,
            waiting_since: None,
            epoch: 0,
            claim: None,
        }
    }

    /// Restarts the wait for a renewal.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.waiting_since = Some(now);
        self.claim = None;
    }

    /// Whether this process claimed the epoch; clears the claim.
    pub(crate) fn take_claimed(&mut self, epoch: Epoch) -> bool {
        self.claim.take_if(|claim| claim.epoch == epoch).is_some()
    }

    /// Claims the next epoch once the lease has expired and this daemon's delay has passed.
    pub(crate) fn on_tick(
        &mut self,
        now: TickTime,
        view: &ClusterView<'_>,
        lease: &LeaseWatch,
    ) -> Option<Action> {
        self.update_epoch(view.state.epoch, now.monotonic);
        if view.log == LogHealth::Down {
            return None;
        }
        if let Some(claim) = &mut self.claim {
            let is_due =
                now.monotonic.saturating_duration_since(claim.last_append) >= APPEND_RETRY_INTERVAL;
            return is_due.then(|| {
                claim.last_append = now.monotonic;
                claim_action(&self.me, self.nonce, claim)
            });
        }
        if self.time_without_renewal(now.monotonic, lease) < self.claim_timeout(view) {
            return None;
        }
        let claim = Claim {
            epoch: self.epoch + 1,
            at: now.wall,
            last_append: now.monotonic,
        };
        let action = claim_action(&self.me, self.nonce, &claim);
        self.claim = Some(claim);
        Some(action)
    }

    /// Gives the holder of a new epoch a full lease duration for its first renewal.
    fn update_epoch(&mut self, epoch: Epoch, now: Instant) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.restart(now);
        }
        self.waiting_since.get_or_insert(now);
    }

    fn time_without_renewal(&self, now: Instant, lease: &LeaseWatch) -> Duration {
        let waiting = self
            .waiting_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        lease.age(now).map_or(waiting, |age| age.min(waiting))
    }

    fn claim_timeout(&self, view: &ClusterView<'_>) -> Duration {
        LEASE_DURATION + CLAIM_STAGGER * rank(&self.me, self.epoch + 1, view.members)
    }
}

/// Position of a daemon among the candidates for an epoch; equal for equal member lists.
pub(crate) fn rank(me: &DaemonId, epoch: Epoch, members: &[DaemonId]) -> u32 {
    let key = |member: &DaemonId| hash::stable(&[&epoch.to_le_bytes(), member.as_bytes()]);
    let mine = (key(me), me);
    let before = members
        .iter()
        .filter(|member| (key(member), *member) < mine);
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}

fn claim_action(me: &DaemonId, nonce: u64, claim: &Claim) -> Action {
    let epoch = claim.epoch;
    Action::Claim {
        epoch,
        entry: Entry {
            id: format_smolstr!("claim/{epoch}/{me}/{nonce}"),
            at: claim.at,
            record: Record::Claim {
                epoch,
                controller: me.clone(),
            },
        },
    }
}
