//! How the calls of a service are split between its versions.

use base::FULL_SHARE;
use base::Share;
use base::VersionName;

use crate::state::Service;
use crate::state::State;

impl State {
    /// Versions of a service that get calls, with their shares, which sum to [`FULL_SHARE`].
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
    /// Versions that get calls, with their shares, which sum to [`FULL_SHARE`].
    #[must_use]
    pub fn shares(&self) -> Vec<(VersionName, Share)> {
        let Some(moving) = &self.rollout else {
            return vec![(self.stable.clone(), FULL_SHARE)];
        };
        let old = (self.stable.clone(), FULL_SHARE - moving.share);
        let new = (moving.to.clone(), moving.share);
        let mut shares = vec![old, new];
        shares.retain(|(_, share)| *share > 0);
        shares
    }
}
