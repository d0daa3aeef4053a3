//! The simulated service: two versions, three routes, four instances of each version.

use std::collections::BTreeMap;

use base::Share;
use base::UnixMillis;
use ledger::Move;
use ledger::MovePolicy;
use ledger::Phase;
use ledger::Record;
use ledger::Service;
use ledger::State;

use crate::controller::Slots;
use crate::trial::is_full;

pub(crate) const CONTROLLER: &str = "suva-a-1";
pub(crate) const SERVICE: &str = "bookings";
pub(crate) const OLD: &str = "v1";
pub(crate) const NEW: &str = "v2";
pub(crate) const INSTANCES: usize = 4;
const TICKET: u64 = 12;
const SLOTS_PER_INSTANCE: u32 = 20;

/// A state in which the move has just been accepted.
pub(crate) fn state(
    policy: MovePolicy,
    started: UnixMillis,
    finish_by: Option<UnixMillis>,
) -> State {
    let moving = Move {
        ticket: TICKET,
        to: NEW.into(),
        finish_by,
        share: 0,
        started,
        phase: Phase::Ramping,
    };
    let service = Service {
        stable: OLD.into(),
        previous: None,
        ticket: TICKET,
        policy,
        moving: Some(moving),
    };
    State {
        ticket: TICKET,
        services: BTreeMap::from([(SERVICE.into(), service)]),
        ..State::default()
    }
}

pub(crate) fn share(state: &State) -> Share {
    state.services[SERVICE]
        .moving
        .as_ref()
        .map_or(0, |moving| moving.share)
}

pub(crate) fn slots(warm_instances: usize) -> Slots {
    let of = |instances: usize| SLOTS_PER_INSTANCE * u32::try_from(instances).unwrap_or(0);
    BTreeMap::from([
        ((SERVICE.into(), OLD.into()), of(INSTANCES)),
        ((SERVICE.into(), NEW.into()), of(warm_instances)),
    ])
}

/// Applies a record; gives the time of the full share when the move ends.
pub(crate) fn apply(state: &mut State, record: &Record, now: UnixMillis) -> Option<UnixMillis> {
    match record {
        Record::Claim { epoch, controller } if *epoch == state.epoch + 1 => {
            state.epoch = *epoch;
            state.controller = Some(controller.clone());
            None
        }
        Record::Step { share, .. } => {
            let moving = state.services.get_mut(SERVICE)?.moving.as_mut()?;
            moving.share = *share;
            if is_full(*share) {
                moving.phase = Phase::Watching(now);
            }
            None
        }
        Record::Finish { .. } => match state.services[SERVICE].moving.as_ref()?.phase {
            Phase::Watching(since) => Some(since),
            Phase::Ramping => None,
        },
        Record::Ticket(_) | Record::Claim { .. } | Record::TakeBack { .. } => None,
    }
}
