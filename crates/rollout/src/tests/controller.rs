//! Claims, pauses, outages of the log, and repeats.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use ledger::Asked;
use ledger::Entry;
use ledger::Record;
use ledger::State;
use protocol::feed::TakeBackFact;

use crate::controller::Action;
use crate::controller::ClusterView;
use crate::controller::Controller;
use crate::controller::LogHealth;
use crate::controller::REPEAT_EVERY;
use crate::controller::TickTime;
use crate::controller::WarmSlots;
use crate::lease::LeaseWatch;
use crate::simulation;
use crate::tests::fixture::NEW;
use crate::tests::fixture::OLD;
use crate::tests::fixture::SERVICE;
use crate::tests::fixture::TICKET;
use crate::tests::fixture::report;
use crate::tests::fixture::state;

/// One controller with what its daemon sees.
struct Bench {
    controller: Controller,
    state: State,
    members: Vec<DaemonId>,
    lease: LeaseWatch,
    facts: Vec<TakeBackFact>,
    log: LogHealth,
    origin: Instant,
    second: u64,
}

impl Bench {
    fn new(me: &str, state: State) -> Self {
        Self {
            controller: Controller::new(me.into(), 1),
            state,
            members: vec!["a".into(), "b".into(), "c".into()],
            lease: LeaseWatch::default(),
            facts: Vec::new(),
            log: LogHealth::Up,
            origin: Instant::now(),
            second: 0,
        }
    }

    /// A bench whose controller holds epoch 1.
    fn holding(state: State) -> Self {
        let mut bench = Self::new("a", state);
        bench.members = vec!["a".into()];
        for _ in 0..10 {
            for action in bench.after(1) {
                if let Action::Claim { entry, .. } = action {
                    simulation::fold(&mut bench.state, &entry.record);
                }
            }
        }
        assert_eq!(bench.controller.epoch(), Some(1));
        bench
    }

    /// A tick that comes some seconds after the last one.
    fn after(&mut self, seconds: u64) -> Vec<Action> {
        self.second += seconds;
        let now = TickTime {
            monotonic: self.origin + Duration::from_secs(self.second),
            wall: self.second * 1000,
        };
        let key = |version: &str| (SERVICE.into(), version.into());
        let slots: WarmSlots = BTreeMap::from([(key(OLD), 80), (key(NEW), 80)]);
        let view = ClusterView {
            state: &self.state,
            members: &self.members,
            take_backs: &self.facts,
            warm_slots: &slots,
            log: self.log,
        };
        self.controller.on_tick(now, &view, &self.lease)
    }

    /// Reports of both versions; the new one had failed calls only.
    fn hear_failures(&mut self, sequence: u64, failed: u64) {
        self.controller
            .on_report(report("o", OLD, sequence, sequence * 100, 0));
        self.controller
            .on_report(report("n", NEW, sequence, 0, failed));
    }
}

fn appended(actions: &[Action]) -> Vec<&Entry> {
    let mut entries = Vec::new();
    for action in actions {
        if let Action::Append(entry) = action {
            entries.push(entry);
        }
    }
    entries
}

fn is_take_back(entry: &Entry) -> bool {
    matches!(&entry.record, Record::TakeBack { ticket, .. } if *ticket == TICKET)
}

fn has_fact(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::BroadcastTakeBack(_)))
}

fn has_renewal(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Renew(_)))
}

#[test]
fn one_candidate_claims_before_the_others() {
    let mut benches: Vec<Bench> = ["a", "b", "c"]
        .into_iter()
        .map(|me| Bench::new(me, state(0)))
        .collect();
    let mut first = Vec::new();
    for second in 0..30 {
        let claims = benches
            .iter_mut()
            .map(|bench| bench.after(1))
            .filter(|actions| matches!(actions.first(), Some(Action::Claim { .. })))
            .count();
        if claims > 0 && first.is_empty() {
            first = vec![second, claims];
        }
    }
    assert_eq!(first, [4, 1], "first claim, and how many came with it");
}

#[test]
fn of_two_that_race_for_an_epoch_one_holds_it() {
    let mut a = Bench::new("a", state(0));
    let mut b = Bench::new("b", state(0));
    a.members = vec!["a".into()];
    b.members = vec!["b".into()];
    let mut claims = Vec::new();
    for _ in 0..5 {
        claims.extend(a.after(1));
        claims.extend(b.after(1));
    }
    assert_eq!(claims.len(), 2);
    for bench in [&mut a, &mut b] {
        for action in &claims {
            if let Action::Claim { entry, .. } = action {
                simulation::fold(&mut bench.state, &entry.record);
            }
        }
    }
    a.after(1);
    b.after(1);
    assert_eq!(
        (a.controller.epoch(), b.controller.epoch()),
        (Some(1), None)
    );
}

#[test]
fn controller_stops_at_a_higher_epoch() {
    let mut bench = Bench::holding(state(50));
    bench.hear_failures(1, 0);
    bench.after(1);
    bench.state.epoch = 2;
    bench.state.controller = Some("b".into());
    bench.hear_failures(2, 50);
    assert_eq!(bench.after(1), []);
    assert_eq!(bench.controller.epoch(), None);
}

#[test]
fn controller_frozen_past_its_lease_writes_and_renews_nothing() {
    let mut bench = Bench::holding(state(50));
    bench.hear_failures(1, 0);
    bench.after(1);
    bench.hear_failures(2, 50);
    // It wakes with a state that does not show the higher epoch yet.
    assert_eq!(bench.after(30), []);
    assert_eq!(bench.after(1), []);
    assert_eq!(bench.controller.epoch(), None);
}

#[test]
fn evidence_from_before_a_pause_decides_nothing() {
    let mut bench = Bench::holding(state(50));
    bench.hear_failures(1, 0);
    bench.after(1);
    bench.hear_failures(2, 50);
    let actions = bench.after(3);
    assert!(
        !has_fact(&actions) && appended(&actions).is_empty(),
        "{actions:?}"
    );
    assert!(has_renewal(&actions), "a short pause keeps the epoch");
    bench.hear_failures(3, 60);
    assert!(has_fact(&bench.after(1)), "fresh evidence decides");
}

#[test]
fn take_back_spreads_as_a_fact_and_is_appended_until_folded() {
    let mut bench = Bench::holding(state(50));
    bench.hear_failures(1, 50);
    let actions = bench.after(1);
    assert!(has_fact(&actions));
    let first = appended(&actions)[0].clone();
    assert!(is_take_back(&first));
    let mut repeats = Vec::new();
    for _ in 0..REPEAT_EVERY.as_secs() {
        repeats.extend(bench.after(1));
    }
    assert!(!has_fact(&repeats), "one fact is enough");
    assert_eq!(appended(&repeats), [&first], "repeated with the same id");
    bench.state.services.get_mut(SERVICE).unwrap().moving = None;
    for _ in 0..6 {
        assert_eq!(appended(&bench.after(1)).len(), 0);
    }
}

#[test]
fn with_the_log_down_facts_spread_and_shares_stay() {
    let mut bench = Bench::holding(state(0));
    bench.log = LogHealth::Down;
    for sequence in 1..20 {
        let ok = report("o", OLD, sequence, sequence * 100, 0);
        bench.controller.on_report(ok);
        let actions = bench.after(1);
        assert_eq!(appended(&actions).len(), 0);
        assert!(has_renewal(&actions));
    }
    bench.hear_failures(20, 50);
    assert!(has_fact(&bench.after(1)));
    bench.log = LogHealth::Up;
    let actions = bench.after(1);
    let entries = appended(&actions);
    assert!(
        entries.len() == 1 && is_take_back(entries[0]),
        "{entries:?}"
    );
}

#[test]
fn fact_of_another_daemon_is_written_down() {
    let mut bench = Bench::holding(state(50));
    bench.facts.push(TakeBackFact {
        ticket: TICKET,
        service: SERVICE.into(),
        reason: "calls fail".into(),
    });
    let actions = bench.after(1);
    assert!(is_take_back(appended(&actions)[0]));
    assert!(!has_fact(&actions), "it spreads already");
}

#[test]
fn late_fault_after_the_end_is_taken_back_while_the_old_version_lives() {
    let mut state = state(1000);
    let service = state.services.get_mut(SERVICE).unwrap();
    service.moving = None;
    service.previous = Some(OLD.into());
    service.stable = NEW.into();
    service.stable_asked = Asked {
        first: TICKET,
        last: TICKET,
    };
    let mut bench = Bench::holding(state);
    bench.hear_failures(1, 50);
    assert!(has_fact(&bench.after(1)));
}
