//! Tests of the routing table: matching, version order, rollbacks and offsets.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use base::Share;
use ledger::Idempotency;
use ledger::Phase;
use ledger::Rollout;
use ledger::RolloutPolicy;
use ledger::Route;
use ledger::Service;
use ledger::State;
use ledger::TicketRange;
use ledger::TrafficClass;
use protocol::feed::RollbackFact;

use crate::endpoint::EndpointPhase;
use crate::table::InstallOutcome;
use crate::table::LeaseState;
use crate::table::Table;
use crate::table::TableError;
use crate::table::TableSlot;

fn state(share: Share, phase: Phase) -> State {
    let route = Route {
        service: "bookings".into(),
        repeat: Idempotency::AtMostOnce,
        class: TrafficClass::Page,
        timeout: Duration::from_secs(1),
    };
    let service = Service {
        stable: "v1".into(),
        previous: None,
        ticket: 7,
        stable_tickets: TicketRange::default(),
        policy: RolloutPolicy::default(),
        rollout: Some(Rollout {
            ticket: 7,
            first_ticket: 7,
            to: "v2".into(),
            finish_by: None,
            share,
            started: 0,
            phase,
        }),
    };
    let mut state = State::default();
    state.services.insert("bookings".into(), service);
    for prefix in ["/bookings", "/bookings/deposits", "/slash/"] {
        state.routes.insert(prefix.into(), route.clone());
    }
    state
}

fn rollback(ticket: u64) -> RollbackFact {
    RollbackFact {
        ticket,
        service: "bookings".into(),
        reason: "".into(),
    }
}

#[test]
fn longest_prefix_at_a_segment_boundary_matches() {
    let table = Table::build(&state(0, Phase::Ramping), &BTreeSet::new(), []).unwrap();
    let check = |path: &str, want: Option<&str>| {
        let got = table.route(path).map(|found| found.prefix.as_str());
        assert_eq!(got, want, "{path}");
    };
    check("/bookings", Some("/bookings"));
    check("/bookings/", Some("/bookings"));
    check("/bookings?day=3", Some("/bookings"));
    check("/bookings/deposits/4", Some("/bookings/deposits"));
    check("/bookings/depositsX", Some("/bookings"));
    check("/bookingsX", None);
    check("/slash/4", Some("/slash/"));
    check("/slash", None);
    check("/", None);
    check("", None);
}

#[test]
fn root_route_matches_every_path() {
    let mut state = state(0, Phase::Ramping);
    let route = state.routes["/bookings"].clone();
    state.routes.insert("/".into(), route);
    let table = Table::build(&state, &BTreeSet::new(), []).unwrap();
    for path in ["/", "/other", "/bookingsX/3"] {
        assert_eq!(table.route(path).unwrap().prefix, "/", "{path}");
    }
}

#[test]
fn route_without_service_is_an_error() {
    let mut state = state(0, Phase::Ramping);
    state.services.clear();
    let error = Table::build(&state, &BTreeSet::new(), []).unwrap_err();
    assert!(matches!(error, TableError::RouteWithoutService { .. }));
}

#[test]
fn table_with_a_lower_offset_is_not_installed() {
    let mut slot = TableSlot::default();
    let mut check = |offset, want, active_offset| {
        let mut state = state(0, Phase::Ramping);
        state.next = offset;
        let table = Table::build(&state, &BTreeSet::new(), []).unwrap();
        assert_eq!(slot.try_install(table), want, "offset {offset}");
        assert_eq!(slot.current().offset(), active_offset, "offset {offset}");
    };
    check(5, InstallOutcome::Installed, 5);
    check(4, InstallOutcome::Stale, 5);
    check(5, InstallOutcome::Installed, 5);
    check(6, InstallOutcome::Installed, 6);
}

/// Input of one check: state with rollbacks, versions with an instance, lease and random draw.
#[derive(Debug, Clone)]
struct Case {
    state: State,
    rollbacks: BTreeSet<RollbackFact>,
    running_versions: Vec<&'static str>,
    lease: LeaseState,
    draw: Share,
}

impl Case {
    fn new(share: Share, phase: Phase, draw: Share) -> Self {
        Self {
            state: state(share, phase),
            rollbacks: BTreeSet::new(),
            running_versions: vec!["v1", "v2"],
            lease: LeaseState::Fresh,
            draw,
        }
    }

    fn ramping(draw: Share) -> Self {
        Self::new(50, Phase::Ramping, draw)
    }

    /// The rollout is in progress, and ticket 8 requests the same version again.
    fn requested_again() -> Self {
        let mut case = Self::ramping(0);
        let service = case.state.services.get_mut("bookings").unwrap();
        let rollout = service.rollout.as_mut().unwrap();
        rollout.ticket = 8;
        case
    }

    fn watching() -> Self {
        Self::new(1000, Phase::Watching(0), 999)
    }

    fn with_expired_lease(self) -> Self {
        let lease = LeaseState::Expired;
        Self { lease, ..self }
    }

    fn with_rollback(self, ticket: u64) -> Self {
        let rollbacks = BTreeSet::from([rollback(ticket)]);
        Self { rollbacks, ..self }
    }

    fn only_running(self, version: &'static str) -> Self {
        let running_versions = vec![version];
        Self {
            running_versions,
            ..self
        }
    }
}

#[test]
fn version_order_follows_share_lease_and_instances() {
    let check = |case: Case, want: &[&str]| {
        let now = Instant::now();
        let instance = |version: &&str| super::endpoint(version, "suva-a", version, now);
        let endpoints = case.running_versions.iter().map(instance);
        let table = Table::build(&case.state, &case.rollbacks, endpoints).unwrap();
        let service = table.service("bookings").unwrap();
        let order = service.versions_in_order(case.lease, case.draw);
        let got: Vec<_> = order.iter().collect();
        assert_eq!(got, want, "{case:?}");
    };
    check(Case::ramping(49), &["v2", "v1"]);
    // The stable version does not fall back to a ramping one.
    check(Case::ramping(50), &["v1"]);
    check(Case::ramping(0).with_expired_lease(), &["v1"]);
    check(Case::ramping(0).with_rollback(7), &["v1"]);
    check(Case::ramping(0).with_rollback(6), &["v2", "v1"]);
    check(Case::ramping(0).only_running("v1"), &["v1"]);
    check(Case::ramping(999).only_running("v2"), &["v2"]);
    check(
        Case::ramping(49).with_expired_lease().only_running("v2"),
        &["v2"],
    );
    check(
        Case::ramping(49).with_rollback(7).only_running("v2"),
        &["v1"],
    );
    check(Case::requested_again().with_rollback(7), &["v1"]);
    check(Case::watching(), &["v2", "v1"]);
    check(Case::watching().with_expired_lease(), &["v2", "v1"]);
    check(Case::watching().with_rollback(7), &["v1"]);
}

#[test]
fn rollback_of_a_finished_rollout_restores_the_previous_version() {
    let mut state = state(0, Phase::Ramping);
    let service = state.services.get_mut("bookings").unwrap();
    service.rollout = None;
    service.previous = Some("v0".into());
    service.stable_tickets = TicketRange { first: 6, last: 7 };
    let check = |ticket: u64, want: &str| {
        let table = Table::build(&state, &BTreeSet::from([rollback(ticket)]), []).unwrap();
        assert_eq!(table.service("bookings").unwrap().stable, want);
    };
    check(5, "v1");
    // Ticket 6 requested the version first, ticket 7 requested it again.
    check(6, "v0");
    check(7, "v0");
}

#[test]
fn version_whose_only_instance_is_leaving_is_skipped() {
    let now = Instant::now();
    let mut leaving = super::endpoint("b", "suva-a", "v2", now);
    leaving.phase = EndpointPhase::Leaving;
    let endpoints = [super::endpoint("a", "suva-a", "v1", now), leaving];
    let table = Table::build(&state(50, Phase::Ramping), &BTreeSet::new(), endpoints).unwrap();
    let service = table.service("bookings").unwrap();
    assert_eq!(service.versions_in_order(LeaseState::Fresh, 0).first, "v1");
}
