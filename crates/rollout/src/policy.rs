//! Default rollout policies of the customers.

use std::time::Duration;

use ledger::Preference;
use ledger::RolloutPolicy;

/// Tanoa's default: a version that can't be judged finishes late rather than unproven, since a
/// doubled or lost booking costs more than a late cut-over.
#[must_use]
pub fn tanoa() -> RolloutPolicy {
    RolloutPolicy {
        prefer: Preference::Safety,
        probe_share: 50,
        probe_calls: 200,
        watch: Duration::from_mins(1),
    }
}

/// Glykotheke's default: the cut-over happens by the ticket's deadline. With too few calls at
/// night, the rollout proceeds in small steps as long as no alarm is near.
#[must_use]
pub fn glykotheke() -> RolloutPolicy {
    RolloutPolicy {
        prefer: Preference::OnTime,
        probe_share: 50,
        probe_calls: 200,
        watch: Duration::from_mins(2),
    }
}
