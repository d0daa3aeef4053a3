//! The simulated service: two versions with four instances each, on three routes.

use std::collections::BTreeMap;

use base::Share;
use base::TicketNumber;
use base::UnixMillis;
use ledger::Entry;
use ledger::Record;
use ledger::RolloutPolicy;
use ledger::ServiceSpec;
use ledger::StampedRecord;
use ledger::State;
use ledger::Ticket;
use smol_str::format_smolstr;

use crate::controller::WarmSlots;

pub(crate) const CONTROLLER: &str = "suva-a-1";
pub(crate) const SERVICE: &str = "bookings";
pub(crate) const OLD: &str = "v1";
pub(crate) const NEW: &str = "v2";
pub(crate) const INSTANCES: usize = 4;
const OLD_TICKET: TicketNumber = 11;
const NEW_TICKET: TicketNumber = 12;
const SLOTS_PER_INSTANCE: u32 = 20;

/// A state in which the rollout has just been accepted.
pub(crate) fn state(
    policy: &RolloutPolicy,
    started: UnixMillis,
    finish_by: Option<UnixMillis>,
) -> State {
    let mut state = State::default();
    for (number, version) in [(OLD_TICKET, OLD), (NEW_TICKET, NEW)] {
        let spec = ServiceSpec {
            version: version.into(),
            finish_by,
            policy: policy.clone(),
        };
        let ticket = Ticket {
            ticket: number,
            services: BTreeMap::from([(SERVICE.into(), spec)]),
            routes: BTreeMap::new(),
            remove_services: Vec::new(),
            remove_routes: Vec::new(),
        };
        apply(&mut state, Record::Ticket(ticket), started);
    }
    state
}

pub(crate) fn share(state: &State) -> Share {
    state.services[SERVICE]
        .rollout
        .as_ref()
        .map_or(0, |rollout| rollout.share)
}

pub(crate) fn slots(warm_instances: usize) -> WarmSlots {
    let slots_of = |instances: usize| SLOTS_PER_INSTANCE * u32::try_from(instances).unwrap_or(0);
    BTreeMap::from([
        ((SERVICE.into(), OLD.into()), slots_of(INSTANCES)),
        ((SERVICE.into(), NEW.into()), slots_of(warm_instances)),
    ])
}

/// Folds a record as if it had just been appended.
pub(crate) fn apply(state: &mut State, record: Record, at: UnixMillis) {
    let entry = Entry {
        id: format_smolstr!("simulation/{}", state.next),
        at,
        record,
    };
    state.apply(&StampedRecord {
        offset: state.next,
        entry: Some(entry),
    });
}
