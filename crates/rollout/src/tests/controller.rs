//! Claims, pauses, log outages and append retries of the controller core.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use ledger::Entry;
use ledger::Record;
use ledger::State;
use ledger::TicketRange;
use protocol::feed::RollbackFact;

use crate::controller::APPEND_RETRY_INTERVAL;
use crate::controller::Action;
use crate::controller::ClusterView;
use crate::controller::Controller;
use crate::controller::LogHealth;
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

/// A controller core with the inputs of its daemon.
struct Harness {
    controller: Controller,
    state: State,
    members: Vec<DaemonId>,
    lease: LeaseWatch,
    rollbacks: Vec<RollbackFact>,
    log: LogHealth,
    origin: Instant,
    second: u64,
}

impl Harness {
    fn new(me: &str, state: State) -> Self {
        Self {
            controller: Controller::new(me.into(), 1),
            state,
            members: vec!["a".into(), "b".into(), "c".into()],
            lease: LeaseWatch::default(),
            rollbacks: Vec::new(),
            log: LogHealth::Up,
            origin: Instant::now(),
            second: 0,
        }
    }

    /// Creates a harness whose controller holds epoch 1.
    fn with_epoch(state: State) -> Self {
        let mut harness = Self::new("a", state);
        harness.members = vec!["a".into()];
        for _ in 0..10 {
            for action in harness.tick_after(1) {
                if let Action::Claim { entry, .. } = action {
                    simulation::fold(&mut harness.state, &entry.record);
                }
            }
        }
        assert_eq!(harness.controller.epoch(), Some(1));
        harness
    }

    /// Runs a tick the given number of seconds after the last one.
    fn tick_after(&mut self, seconds: u64) -> Vec<Action> {
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
            rollbacks: &self.rollbacks,
            warm_slots: &slots,
            log: self.log,
        };
        self.controller.on_tick(now, &view, &self.lease)
    }

    /// Sends reports of both versions; all calls on the new version failed.
    fn report_failures(&mut self, sequence: u64, failed: u64) {
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

fn is_rollback(entry: &Entry) -> bool {
    matches!(&entry.record, Record::Rollback { ticket, .. } if *ticket == TICKET)
}

fn has_broadcast(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::BroadcastRollback(_)))
}

fn has_renewal(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Renew(_)))
}

#[test]
fn one_candidate_claims_before_the_others() {
    let mut harnesses: Vec<Harness> = ["a", "b", "c"]
        .into_iter()
        .map(|me| Harness::new(me, state(0)))
        .collect();
    let mut first = Vec::new();
    for second in 0..30 {
        let claims = harnesses
            .iter_mut()
            .map(|harness| harness.tick_after(1))
            .filter(|actions| matches!(actions.first(), Some(Action::Claim { .. })))
            .count();
        if claims > 0 && first.is_empty() {
            first = vec![second, claims];
        }
    }
    assert_eq!(
        first,
        [4, 1],
        "second of the first claim, and number of claims in it"
    );
}

#[test]
fn one_of_two_racing_claims_holds_the_epoch() {
    let mut a = Harness::new("a", state(0));
    let mut b = Harness::new("b", state(0));
    a.members = vec!["a".into()];
    b.members = vec!["b".into()];
    let mut claims = Vec::new();
    for _ in 0..5 {
        claims.extend(a.tick_after(1));
        claims.extend(b.tick_after(1));
    }
    assert_eq!(claims.len(), 2);
    for harness in [&mut a, &mut b] {
        for action in &claims {
            if let Action::Claim { entry, .. } = action {
                simulation::fold(&mut harness.state, &entry.record);
            }
        }
    }
    a.tick_after(1);
    b.tick_after(1);
    assert_eq!(
        (a.controller.epoch(), b.controller.epoch()),
        (Some(1), None)
    );
}

#[test]
fn controller_stops_at_a_higher_epoch() {
    let mut harness = Harness::with_epoch(state(50));
    harness.report_failures(1, 0);
    harness.tick_after(1);
    harness.state.epoch = 2;
    harness.state.controller = Some("b".into());
    harness.report_failures(2, 50);
    assert_eq!(harness.tick_after(1), []);
    assert_eq!(harness.controller.epoch(), None);
}

#[test]
fn controller_paused_past_its_lease_appends_and_renews_nothing() {
    let mut harness = Harness::with_epoch(state(50));
    harness.report_failures(1, 0);
    harness.tick_after(1);
    harness.report_failures(2, 50);
    // After the pause, the state does not show the higher epoch yet.
    assert_eq!(harness.tick_after(30), []);
    assert_eq!(harness.tick_after(1), []);
    assert_eq!(harness.controller.epoch(), None);
}

#[test]
fn evidence_from_before_a_pause_decides_nothing() {
    let mut harness = Harness::with_epoch(state(50));
    harness.report_failures(1, 0);
    harness.tick_after(1);
    harness.report_failures(2, 50);
    let actions = harness.tick_after(3);
    assert!(
        !has_broadcast(&actions) && appended(&actions).is_empty(),
        "{actions:?}"
    );
    assert!(has_renewal(&actions), "a short pause keeps the epoch");
    harness.report_failures(3, 60);
    assert!(
        has_broadcast(&harness.tick_after(1)),
        "evidence from after the pause decides"
    );
}

#[test]
fn rollback_is_broadcast_once_and_appended_until_folded() {
    let mut harness = Harness::with_epoch(state(50));
    harness.report_failures(1, 50);
    let actions = harness.tick_after(1);
    assert!(has_broadcast(&actions));
    let first = appended(&actions)[0].clone();
    assert!(is_rollback(&first));
    let mut repeats = Vec::new();
    for _ in 0..APPEND_RETRY_INTERVAL.as_secs() {
        repeats.extend(harness.tick_after(1));
    }
    assert!(!has_broadcast(&repeats), "a rollback is broadcast once");
    assert_eq!(appended(&repeats), [&first], "retried with the same id");
    harness.state.services.get_mut(SERVICE).unwrap().rollout = None;
    for _ in 0..6 {
        assert_eq!(appended(&harness.tick_after(1)).len(), 0);
    }
}

#[test]
fn log_outage_stops_steps_but_not_rollbacks() {
    let mut harness = Harness::with_epoch(state(0));
    harness.log = LogHealth::Down;
    for sequence in 1..20 {
        let ok = report("o", OLD, sequence, sequence * 100, 0);
        harness.controller.on_report(ok);
        let actions = harness.tick_after(1);
        assert_eq!(appended(&actions).len(), 0);
        assert!(has_renewal(&actions));
    }
    harness.report_failures(20, 50);
    assert!(has_broadcast(&harness.tick_after(1)));
    harness.log = LogHealth::Up;
    let actions = harness.tick_after(1);
    let entries = appended(&actions);
    assert!(entries.len() == 1 && is_rollback(entries[0]), "{entries:?}");
}

#[test]
fn rollback_of_another_daemon_is_appended() {
    let mut harness = Harness::with_epoch(state(50));
    harness.rollbacks.push(RollbackFact {
        ticket: TICKET,
        service: SERVICE.into(),
        reason: "calls fail".into(),
    });
    let actions = harness.tick_after(1);
    assert!(is_rollback(appended(&actions)[0]));
    assert!(!has_broadcast(&actions), "its sender has broadcast it");
}

#[test]
fn fault_after_the_finish_is_rolled_back_while_the_old_version_has_instances() {
    let mut state = state(1000);
    let service = state.services.get_mut(SERVICE).unwrap();
    service.rollout = None;
    service.previous = Some(OLD.into());
    service.stable = NEW.into();
    service.stable_tickets = TicketRange {
        first: TICKET,
        last: TICKET,
    };
    let mut harness = Harness::with_epoch(state);
    harness.report_failures(1, 50);
    assert!(has_broadcast(&harness.tick_after(1)));
}
