//! Properties of the fold over random records.
//!
//! The generator looks at the state so far, so that most records are nearly valid: live tickets
//! and services, the epoch in force or the one before.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::Share;
use base::TicketNumber;
use base::VersionName;
use quickcheck::quickcheck;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::Applied;
use crate::Record;
use crate::Snapshot;
use crate::StampedRecord;
use crate::State;
use crate::tests::route;
use crate::tests::stamped;
use crate::tests::ticket;

/// One record to be made: its kind and two choices.
type Op = (u8, u8, u8);

const SERVICES: [&str; 3] = ["a", "b", "c"];
const VERSIONS: [&str; 4] = ["v1", "v2", "v3", "v4"];
const SHARES: [Share; 4] = [10, 50, 500, 1000];

fn records(ops: &[Op]) -> Vec<StampedRecord> {
    let mut state = State::default();
    let mut records = Vec::new();
    for op in ops {
        let record = stamped(state.next, record(&state, *op));
        state.apply(&record);
        records.push(record);
    }
    records
}

fn record(state: &State, (kind, x, y): Op) -> Record {
    let service = SmolStr::new(SERVICES[usize::from(x) % 3]);
    let epoch = state.epoch.saturating_sub(u64::from(y.is_multiple_of(5)));
    let live = live_ticket(state, &service, y);
    match kind % 8 {
        0 | 1 => Record::Ticket(random_ticket(state, x, y)),
        2 => Record::Claim {
            epoch: epoch + 1,
            controller: format_smolstr!("d{x}"),
        },
        3 | 4 => Record::Step {
            epoch,
            ticket: live,
            service,
            share: SHARES[usize::from(y) % 4],
        },
        5 | 6 => Record::Finish {
            epoch,
            ticket: live,
            service,
        },
        _ => Record::Rollback {
            ticket: live,
            service,
            reason: "errors".into(),
        },
    }
}

fn live_ticket(state: &State, service: &str, choice: u8) -> TicketNumber {
    let moving = state.services.get(service).and_then(|s| s.rollout.as_ref());
    match moving {
        Some(moving) if !choice.is_multiple_of(4) => moving.ticket,
        _ => state.ticket.saturating_sub(u64::from(choice % 3)),
    }
}

fn random_ticket(state: &State, x: u8, y: u8) -> crate::Ticket {
    // One in four is a race that comes too late.
    let number = if y.is_multiple_of(4) {
        state.ticket.saturating_sub(u64::from(x % 3)).max(1)
    } else {
        state.ticket + 1
    };
    let mut ticket = ticket(number, &[]);
    for (i, name) in SERVICES.iter().enumerate() {
        match (x >> (2 * i)) % 4 {
            0 => {}
            1 if y.is_multiple_of(3) => ticket.remove_services.push((*name).into()),
            _ => {
                let version = VERSIONS[(usize::from(y) + i) % 4];
                ticket
                    .services
                    .insert((*name).into(), crate::tests::spec(version));
            }
        }
        if (y >> i).is_multiple_of(3) {
            ticket
                .routes
                .insert(format_smolstr!("/{name}"), route(name));
        } else if x.is_multiple_of(5) {
            ticket.remove_routes.push(format_smolstr!("/{name}"));
        }
    }
    ticket
}

fn fold(records: &[StampedRecord]) -> State {
    let mut state = State::default();
    for record in records {
        state.apply(record);
    }
    state
}

/// What a state decides, without its place in the log.
fn decided(state: &State) -> State {
    let verdicts = state.verdicts.iter().cloned().map(|mut verdict| {
        verdict.offset = 0;
        verdict
    });
    State {
        next: 0,
        verdicts: verdicts.collect(),
        ..state.clone()
    }
}

/// What daemons act on.
fn configuration(state: &State) -> State {
    State {
        verdicts: VecDeque::new(),
        recent_ids: VecDeque::new(),
        ..decided(state)
    }
}

/// Puts copies of earlier records between the records and numbers all anew.
fn with_copies(records: &[StampedRecord], copies: &[u8]) -> Vec<StampedRecord> {
    let mut log = Vec::new();
    for (i, record) in records.iter().enumerate() {
        log.push(record.clone());
        let back = copies.get(i % copies.len().max(1)).copied().unwrap_or(0);
        log.push(records[i.saturating_sub(usize::from(back) % 16)].clone());
    }
    for (record, offset) in log.iter_mut().zip(0..) {
        record.offset = offset;
    }
    log
}

fn is_closed(state: &State) -> bool {
    let has_service = |route: &crate::Route| state.services.contains_key(&route.service);
    state.routes.values().all(has_service)
}

fn names_bad_version(state: &State) -> bool {
    state.services.iter().any(|(name, service)| {
        let moving = service.rollout.as_ref().map(|moving| &moving.to);
        [Some(&service.stable), service.previous.as_ref(), moving]
            .into_iter()
            .flatten()
            .any(|version| state.rolled_back.contains(&(name.clone(), version.clone())))
    })
}

/// Shares of the moves under way, by service, new version and first ticket.
fn moves(state: &State) -> BTreeMap<(SmolStr, VersionName, TicketNumber), Share> {
    let moves = state.services.iter().filter_map(|(name, service)| {
        let moving = service.rollout.as_ref()?;
        let key = (name.clone(), moving.to.clone(), moving.first_ticket);
        Some((key, moving.share))
    });
    moves.collect()
}

fn has_part_of(state: &State, ticket: TicketNumber) -> bool {
    state.services.values().any(|service| {
        let moves = service.rollout.as_ref().is_some_and(|m| m.ticket == ticket);
        moves || (service.previous.is_some() && service.stable_tickets.last == ticket)
    })
}

/// Folds record by record and asks the question of each pair of neighbouring states.
fn at_each_step(
    ops: &[Op],
    holds: impl Fn(&State, &StampedRecord, &Applied, &State) -> bool,
) -> bool {
    let mut state = State::default();
    records(ops).iter().all(|record| {
        let before = state.clone();
        let applied = state.apply(record);
        holds(&before, record, &applied, &state)
    })
}

quickcheck! {
    fn copies_of_records_change_nothing(ops: Vec<Op>, copies: Vec<u8>) -> bool {
        // Longer runs pass the bound on remembered ids.
        let records = records(&ops[..ops.len().min(100)]);
        let copied = with_copies(&records, &copies);
        decided(&fold(&records)) == decided(&fold(&copied))
    }

    fn copies_past_the_bound_on_remembered_ids_change_nothing(ops: Vec<Op>) -> bool {
        let mut state = State::default();
        records(&ops).iter().all(|record| {
            let applied = state.apply(record);
            let mut forgetful = state.clone();
            forgetful.recent_ids.clear();
            let copy = StampedRecord { offset: state.next, ..record.clone() };
            forgetful.apply(&copy);
            // What had no effect may have one later, like a record that is written anew.
            let had_effect = !matches!(applied, Applied::Ignored(_) | Applied::Rejected(_));
            !had_effect || configuration(&forgetful) == configuration(&state)
        })
    }

    fn a_restart_from_a_snapshot_ends_in_the_same_state(ops: Vec<Op>, cut: usize) -> bool {
        let records = records(&ops);
        let cut = cut % (records.len() + 1);
        let snapshot = Snapshot { state: fold(&records[..cut]) };
        let mut state = Snapshot::from_text(&snapshot.to_text()).expect("a snapshot").state;
        // The tail overlaps, as one does that was asked for before the snapshot was known.
        for record in &records[cut.saturating_sub(3)..] {
            state.apply(record);
        }
        state == fold(&records)
    }

    fn every_state_is_closed(ops: Vec<Op>) -> bool {
        at_each_step(&ops, |_, _, _, after| is_closed(after))
    }

    fn tickets_and_epochs_never_fall(ops: Vec<Op>) -> bool {
        at_each_step(&ops, |before, _, _, after| {
            after.ticket >= before.ticket && after.epoch >= before.epoch
        })
    }

    fn a_stale_epoch_changes_nothing(ops: Vec<Op>) -> bool {
        at_each_step(&ops, |before, record, _, after| {
            let entry = record.entry.as_ref().expect("an entry");
            let is_stale = match entry.record {
                Record::Claim { epoch, .. } => epoch != before.epoch + 1,
                Record::Step { epoch, .. } | Record::Finish { epoch, .. } => epoch != before.epoch,
                Record::Ticket(_) | Record::Rollback { .. } => false,
            };
            let mut before = decided(before);
            before.recent_ids.clone_from(&after.recent_ids);
            !is_stale || before == decided(after)
        })
    }

    fn nothing_names_a_bad_version(ops: Vec<Op>) -> bool {
        at_each_step(&ops, |_, _, _, after| !names_bad_version(after))
    }

    fn a_take_back_leaves_no_part_of_its_ticket(ops: Vec<Op>) -> bool {
        at_each_step(&ops, |_, record, _, after| {
            match record.entry.as_ref().map(|entry| &entry.record) {
                Some(Record::Rollback { ticket, .. }) => !has_part_of(after, *ticket),
                _ => true,
            }
        })
    }

    fn shares_of_a_move_never_fall(ops: Vec<Op>) -> bool {
        at_each_step(&ops, |before, _, _, after| {
            let after = moves(after);
            moves(before).iter().all(|(key, share)| {
                after.get(key).is_none_or(|later| later >= share)
            })
        })
    }

    fn shares_sum_to_the_whole(ops: Vec<Op>) -> bool {
        at_each_step(&ops, |_, _, _, after| {
            after.services.keys().all(|name| {
                let shares = after.shares_of(name);
                shares.iter().map(|(_, share)| share).sum::<Share>() == base::FULL_SHARE
            })
        })
    }

    fn a_rejected_ticket_changes_no_service_or_route(ops: Vec<Op>) -> bool {
        at_each_step(&ops, |before, _, applied, after| {
            !matches!(applied, Applied::Rejected(_))
                || (before.services == after.services && before.routes == after.routes)
        })
    }
}
