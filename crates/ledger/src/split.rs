//! Traffic split between the versions of a service.

use base::FULL_SHARE;
use base::Share;
use base::VersionName;

use crate::state::Service;
use crate::state::State;

impl State {
    /// Returns the versions of a service that receive calls, with their shares, which sum to
    /// [`FULL_SHARE`].
    ///
    /// Empty for an unknown service.
    #[must_use]
    pub fn shares_of(&self, service: &str) -> Vec<(VersionName, Share)> {
        self.services
            .get(service)
            .map(Service::shares)
            .unwrap_or_default()
    }
}

impl Service {
    /// Returns the versions that receive calls, with their shares, which sum to [`FULL_SHARE`].
    #[must_use]
    pub fn shares(&self) -> Vec<(VersionName, Share)> {
        let Some(rollout) = &self.rollout else {
            return vec![(self.stable.clone(), FULL_SHARE)];
        };
        let old = (self.stable.clone(), FULL_SHARE - rollout.share);
        let new = (rollout.to.clone(), rollout.share);
        let mut shares = vec![old, new];
        shares.retain(|(_, share)| *share > 0);
        shares
    }
}
