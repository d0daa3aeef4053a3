//! Steps and decisions of the plan.

use std::time::Duration;

use base::Share;
use ledger::Phase;
use ledger::RolloutPolicy;

use crate::canary::Verdict;
use crate::plan;
use crate::plan::Capacity;
use crate::plan::Decision;
use crate::plan::EvidenceSummary;
use crate::plan::PlanInput;
use crate::policy;
use crate::tests::fixture::SERVICE;
use crate::tests::fixture::state;

/// Inputs of one decision; times are in seconds.
struct Case {
    policy: RolloutPolicy,
    share: Share,
    time_in_step: u64,
    now: u64,
    finish_by: Option<u64>,
    summary: EvidenceSummary,
    capacity: Capacity,
}

fn case(share: Share) -> Case {
    Case {
        policy: policy::tanoa(),
        share,
        time_in_step: 30,
        now: 30,
        finish_by: None,
        summary: EvidenceSummary {
            verdict: Verdict::Good,
            was_proven: true,
            are_routes_proven: true,
            alarm_level: 0.0,
            new_calls: 100,
            rate: 10.0,
        },
        capacity: Capacity {
            old_slots: 80,
            new_slots: 80,
            in_flight: 20,
        },
    }
}

fn unproven(share: Share) -> Case {
    let mut case = case(share);
    case.summary.verdict = Verdict::Undecided { calls_needed: 50 };
    case.summary.was_proven = false;
    case
}

fn check(name: &str, case: &Case, want: Option<Share>) {
    let state = state(case.share);
    let mut rollout = state.services[SERVICE].rollout.clone().unwrap();
    rollout.finish_by = case.finish_by.map(|second| second * 1000);
    let cx = PlanInput {
        rollout: &rollout,
        policy: &case.policy,
        summary: &case.summary,
        capacity: case.capacity,
        time_in_step: Duration::from_secs(case.time_in_step),
        now: case.now * 1000,
    };
    let want = match want {
        Some(share) => Decision::Step(share),
        None => Decision::Hold {
            until: case.now * 1000 + 1000,
        },
    };
    assert_eq!(plan::decide(&cx), want, "{name}");
}

#[test]
fn first_step_is_capped_by_share_and_calls() {
    check("probe share", &case(0), Some(50));
    let mut busy = case(0);
    busy.summary.rate = 5_000.0;
    check("probe calls", &busy, Some(5));
    let mut early = case(0);
    early.time_in_step = 1;
    check("call rate not measured yet", &early, None);
    let mut cold = case(0);
    cold.capacity.new_slots = 0;
    check("no warm instance", &cold, None);
}

#[test]
fn share_stays_within_the_capacity_of_warm_slots() {
    let mut few = case(200);
    few.capacity.new_slots = 8;
    check("8 slots for 20 calls in flight", &few, Some(320));
    let mut full = case(320);
    full.capacity.new_slots = 8;
    check("at the limit", &full, None);
}

#[test]
fn unproven_share_holds_under_safety_and_grows_under_on_time() {
    check("safety holds without a deadline", &unproven(50), None);
    let mut late = unproven(50);
    late.finish_by = Some(31);
    check("safety holds at the deadline", &late, None);

    let on_time = |now, alarm_level| {
        let mut case = unproven(50);
        case.policy = policy::glykotheke();
        case.finish_by = Some(300);
        case.now = now;
        case.summary.alarm_level = alarm_level;
        case
    };
    check("step not due", &on_time(10, 0.0), None);
    check("step due", &on_time(200, 0.0), Some(75));
    check("an alarm is near", &on_time(200, 0.6), None);
}

#[test]
fn proven_share_grows_faster_when_time_is_short() {
    let due = |finish_by| {
        let mut case = case(50);
        case.finish_by = Some(finish_by);
        case.time_in_step = 10;
        case
    };
    check("far deadline", &due(600), None);
    check("near deadline", &due(70), Some(100));
    check("nearest deadline", &due(40), Some(200));
    let mut unproven_route = case(200);
    unproven_route.summary.are_routes_proven = false;
    check("a route is not proven", &unproven_route, Some(250));
    let mut alarmed = case(200);
    alarmed.summary.alarm_level = 0.6;
    check("an alarm is near", &alarmed, None);
}

#[test]
fn spent_probe_budget_rolls_the_version_back_under_safety() {
    let mut spent = unproven(50);
    spent.summary.new_calls = 200;
    let state = state(50);
    let cx = PlanInput {
        rollout: state.services[SERVICE].rollout.as_ref().unwrap(),
        policy: &spent.policy,
        summary: &spent.summary,
        capacity: spent.capacity,
        time_in_step: Duration::from_secs(30),
        now: 0,
    };
    assert_eq!(
        plan::decide(&cx),
        Decision::RollBack("not proven within 200 calls".into())
    );
}

#[test]
fn rollout_finishes_after_the_watch_time() {
    let state = state(1000);
    let mut rollout = state.services[SERVICE].rollout.clone().unwrap();
    rollout.phase = Phase::Watching(0);
    let case = case(1000);
    let mut cx = PlanInput {
        rollout: &rollout,
        policy: &case.policy,
        summary: &case.summary,
        capacity: case.capacity,
        time_in_step: Duration::from_secs(59),
        now: 0,
    };
    assert_eq!(plan::decide(&cx), Decision::Hold { until: 1000 });
    cx.time_in_step = Duration::from_mins(1);
    assert_eq!(plan::decide(&cx), Decision::Finish);
}
