//! Properties of the fold over random records.
//!
//! The generator reads the current state, so that most records are nearly valid: they name
//! tickets of current rollouts, existing services, and the current or previous epoch.

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

/// Input for one generated record: its kind and two choices.
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
    let current = current_ticket(state, &service, y);
    match kind % 8 {
        0 | 1 => Record::Ticket(random_ticket(state, x, y)),
        2 => Record::Claim {
            epoch: epoch + 1,
            controller: format_smolstr!("d{x}"),
        },
        3 | 4 => Record::Step {
            epoch,
            ticket: current,
            service,
            share: SHARES[usize::from(y) % 4],
        },
        5 | 6 => Record::Finish {
            epoch,
            ticket: current,
            service,
        },
        _ => Record::Rollback {
            ticket: current,
            service,
            reason: "errors".into(),
        },
    }
}

fn current_ticket(state: &State, service: &str, choice: u8) -> TicketNumber {
    let rollout = state.services.get(service).and_then(|s| s.rollout.as_ref());
    match rollout {
        Some(rollout) if !choice.is_multiple_of(4) => rollout.ticket,
        _ => state.ticket.saturating_sub(u64::from(choice % 3)),
    }
}

fn random_ticket(state: &State, x: u8, y: u8) -> crate::Ticket {
    // One ticket in four loses a race: its number is taken.
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

/// Returns the state without offsets, which differ when the log holds duplicates.
fn without_offsets(state: &State) -> State {
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

/// Returns the part of the state that daemons act on.
fn configuration(state: &State) -> State {
    State {
        verdicts: VecDeque::new(),
        recent_ids: VecDeque::new(),
        ..without_offsets(state)
    }
}

/// Inserts duplicates of earlier records and assigns new offsets.
fn with_duplicates(records: &[StampedRecord], duplicates: &[u8]) -> Vec<StampedRecord> {
    let mut log = Vec::new();
    for (i, record) in records.iter().enumerate() {
        log.push(record.clone());
        let back = duplicates
            .get(i % duplicates.len().max(1))
            .copied()
            .unwrap_or(0);
        log.push(records[i.saturating_sub(usize::from(back) % 16)].clone());
    }
    for (record, offset) in log.iter_mut().zip(0..) {
        record.offset = offset;
    }
    log
}

fn routes_have_services(state: &State) -> bool {
    let has_service = |route: &crate::Route| state.services.contains_key(&route.service);
    state.routes.values().all(has_service)
}

fn uses_rolled_back_version(state: &State) -> bool {
    state.services.iter().any(|(name, service)| {
        let rollout = service.rollout.as_ref().map(|rollout| &rollout.to);
        [Some(&service.stable), service.previous.as_ref(), rollout]
            .into_iter()
            .flatten()
            .any(|version| state.rolled_back.contains(&(name.clone(), version.clone())))
    })
}

/// Shares of the rollouts in progress, by service, target version and first ticket.
fn rollout_shares(state: &State) -> BTreeMap<(SmolStr, VersionName, TicketNumber), Share> {
    let share_by_rollout = state.services.iter().filter_map(|(name, service)| {
        let rollout = service.rollout.as_ref()?;
        let key = (name.clone(), rollout.to.clone(), rollout.first_ticket);
        Some((key, rollout.share))
    });
    share_by_rollout.collect()
}

fn has_version_of(state: &State, ticket: TicketNumber) -> bool {
    state.services.values().any(|service| {
        let in_progress = service.rollout.as_ref().is_some_and(|r| r.ticket == ticket);
        in_progress || (service.previous.is_some() && service.stable_tickets.last == ticket)
    })
}

/// Applies the records one by one and checks the property on the states before and after each.
fn holds_at_each_record(
    ops: &[Op],
    property: impl Fn(&State, &StampedRecord, &Applied, &State) -> bool,
) -> bool {
    let mut state = State::default();
    records(ops).iter().all(|record| {
        let before = state.clone();
        let applied = state.apply(record);
        property(&before, record, &applied, &state)
    })
}

quickcheck! {
    fn duplicate_records_change_nothing(ops: Vec<Op>, duplicates: Vec<u8>) -> bool {
        // 200 records at most, so that no id is evicted.
        let records = records(&ops[..ops.len().min(100)]);
        let duplicated = with_duplicates(&records, &duplicates);
        without_offsets(&fold(&records)) == without_offsets(&fold(&duplicated))
    }

    fn duplicates_with_evicted_ids_change_nothing(ops: Vec<Op>) -> bool {
        let mut state = State::default();
        records(&ops).iter().all(|record| {
            let applied = state.apply(record);
            let mut without_ids = state.clone();
            without_ids.recent_ids.clear();
            let copy = StampedRecord { offset: state.next, ..record.clone() };
            without_ids.apply(&copy);
            // A record without effect may have one later, so its duplicate is not checked.
            let had_effect = !matches!(applied, Applied::Ignored(_) | Applied::Rejected(_));
            !had_effect || configuration(&without_ids) == configuration(&state)
        })
    }

    fn replay_from_a_snapshot_gives_the_same_state(ops: Vec<Op>, cut: usize) -> bool {
        let records = records(&ops);
        let cut = cut % (records.len() + 1);
        let snapshot = Snapshot { state: fold(&records[..cut]) };
        let mut state = Snapshot::from_text(&snapshot.to_text()).expect("valid snapshot").state;
        // The tail overlaps, as it does when it was requested before the snapshot was loaded.
        for record in &records[cut.saturating_sub(3)..] {
            state.apply(record);
        }
        state == fold(&records)
    }

    fn routes_always_have_a_service(ops: Vec<Op>) -> bool {
        holds_at_each_record(&ops, |_, _, _, after| routes_have_services(after))
    }

    fn tickets_and_epochs_never_decrease(ops: Vec<Op>) -> bool {
        holds_at_each_record(&ops, |before, _, _, after| {
            after.ticket >= before.ticket && after.epoch >= before.epoch
        })
    }

    fn records_of_a_stale_epoch_change_nothing(ops: Vec<Op>) -> bool {
        holds_at_each_record(&ops, |before, record, _, after| {
            let entry = record.entry.as_ref().expect("an entry");
            let is_stale = match entry.record {
                Record::Claim { epoch, .. } => epoch != before.epoch + 1,
                Record::Step { epoch, .. } | Record::Finish { epoch, .. } => epoch != before.epoch,
                Record::Ticket(_) | Record::Rollback { .. } => false,
            };
            let mut before = without_offsets(before);
            before.recent_ids.clone_from(&after.recent_ids);
            !is_stale || before == without_offsets(after)
        })
    }

    fn no_service_uses_a_rolled_back_version(ops: Vec<Op>) -> bool {
        holds_at_each_record(&ops, |_, _, _, after| !uses_rolled_back_version(after))
    }

    fn a_rollback_leaves_no_version_of_its_ticket(ops: Vec<Op>) -> bool {
        holds_at_each_record(&ops, |_, record, _, after| {
            match record.entry.as_ref().map(|entry| &entry.record) {
                Some(Record::Rollback { ticket, .. }) => !has_version_of(after, *ticket),
                _ => true,
            }
        })
    }

    fn the_share_of_a_rollout_never_decreases(ops: Vec<Op>) -> bool {
        holds_at_each_record(&ops, |before, _, _, after| {
            let after = rollout_shares(after);
            rollout_shares(before).iter().all(|(key, share)| {
                after.get(key).is_none_or(|later| later >= share)
            })
        })
    }

    fn shares_sum_to_the_full_share(ops: Vec<Op>) -> bool {
        holds_at_each_record(&ops, |_, _, _, after| {
            after.services.keys().all(|name| {
                let shares = after.shares_of(name);
                shares.iter().map(|(_, share)| share).sum::<Share>() == base::FULL_SHARE
            })
        })
    }

    fn a_rejected_ticket_changes_no_service_or_route(ops: Vec<Op>) -> bool {
        holds_at_each_record(&ops, |before, _, applied, after| {
            !matches!(applied, Applied::Rejected(_))
                || (before.services == after.services && before.routes == after.routes)
        })
    }
}
