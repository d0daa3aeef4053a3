//! Values shared by several tests.

use std::collections::BTreeMap;
use std::time::Duration;

use base::Share;
use ledger::State;
use protocol::evidence::CallCounts;
use protocol::evidence::EvidenceReport;
use protocol::evidence::Warmth;

use crate::simulation;

pub(super) const NEW: &str = "v2";
pub(super) const OLD: &str = "v1";
pub(super) const SERVICE: &str = "bookings";
pub(super) const TICKET: u64 = 12;

/// A state with a rollout at `share`.
pub(super) fn state(share: Share) -> State {
    let mut state = simulation::rollout_state(&crate::policy::tanoa(), 0, None);
    let service = state.services.get_mut(SERVICE).unwrap();
    service.rollout.as_mut().unwrap().share = share;
    state
}

/// A report with `ok` successful and `failed` failed calls on one route.
pub(super) fn report(
    daemon: &str,
    version: &str,
    sequence: u64,
    ok: u64,
    failed: u64,
) -> EvidenceReport {
    let mut counts = CallCounts::default();
    (0..ok).for_each(|_| counts.add_ok(Duration::from_millis(5), Warmth::Warm));
    (0..failed).for_each(|_| counts.add_failed());
    EvidenceReport {
        daemon: daemon.into(),
        incarnation: 1,
        sequence,
        service: SERVICE.into(),
        version: version.into(),
        in_flight: 0,
        routes: BTreeMap::from([("/book".into(), counts)]),
    }
}
