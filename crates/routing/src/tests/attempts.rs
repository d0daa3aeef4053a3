//! Tests of the call state machine: sequences of events and the resulting actions.

use std::time::Instant;

use ledger::Idempotency;
use protocol::call::NotRun;
use protocol::call::NotRunReason;

use super::ms;
use crate::attempts::Action;
use crate::attempts::CallPlan;
use crate::attempts::CallStateMachine;
use crate::attempts::Event;
use crate::attempts::Event::ClientDisconnected;
use crate::attempts::Event::ConnectFailed;
use crate::attempts::Event::ConnectionLost;
use crate::attempts::Event::DeadlinePassed;
use crate::attempts::Event::HedgeDue;
use crate::attempts::Event::NoInstance;
use crate::attempts::Event::Replied;
use crate::attempts::Event::ResolveFailed;
use crate::attempts::Event::Resolved;
use crate::attempts::Event::Streaming;
use crate::attempts::FinalOutcome;
use crate::attempts::Permit;
use crate::attempts::Reply;
use crate::budget::RetryBudget;
use crate::budget::RetryBudgetConfig;

/// Feeds the events to a call with `retries` extra attempts; returns all actions as text.
fn run(repeat: Idempotency, retries: u64, events: &[Event]) -> String {
    let now = Instant::now();
    let cfg = RetryBudgetConfig {
        per_thousand: 0,
        floor_per_second: 0,
        burst: retries,
    };
    let mut budget = RetryBudget::new(cfg, now);
    let plan = CallPlan {
        repeat,
        deadline: now + ms(100),
        max_attempts: 3,
        retry_after: ms(7),
    };
    let (mut machine, actions) = CallStateMachine::start(plan, &mut budget);
    let mut trace = Vec::new();
    record_actions(&mut machine, &mut trace, actions, events.first());
    for (index, event) in events.iter().enumerate() {
        let actions = machine.on_event(event.clone(), &mut budget, now);
        record_actions(&mut machine, &mut trace, actions, events.get(index + 1));
    }
    trace.join(" ")
}

/// Appends the actions to the trace. Each requested attempt counts as sent at once, unless the
/// next event reports that it has no instance or no connection.
fn record_actions(
    machine: &mut CallStateMachine,
    trace: &mut Vec<String>,
    actions: Vec<Action>,
    next: Option<&Event>,
) {
    for action in actions {
        if let Action::Send(attempt) = action
            && !matches!(next, Some(ConnectFailed(_) | NoInstance(..)))
        {
            assert_eq!(machine.permit_send(attempt), Permit::Allowed);
        }
        trace.push(match action {
            Action::Send(attempt) => format!("send{attempt}"),
            Action::Resolve(attempt) => format!("resolve{attempt}"),
            Action::Cancel(attempt) => format!("cancel{attempt}"),
            Action::Stream(attempt) => format!("stream{attempt}"),
            Action::Finish(FinalOutcome::NotRun(not_run)) => {
                format!("not-run:{:?}", not_run.retry_after.unwrap())
            }
            Action::Finish(end) => format!("{end:?}"),
        });
    }
}

fn refused(reason: NotRunReason) -> Reply {
    Reply::NotRun(NotRun {
        reason,
        retry_after: Some(ms(30)),
    })
}

#[test]
fn at_most_once_call_is_retried_only_after_proof_that_it_did_not_run() {
    let check = |events: &[Event], want: &str| {
        assert_eq!(run(Idempotency::AtMostOnce, 10, events), want, "{events:?}");
    };
    let overloaded = || refused(NotRunReason::Overloaded);
    let fenced = || refused(NotRunReason::GivenUp);
    check(&[Replied(0, Reply::Answered)], "send0 Answer(0)");
    check(
        &[Replied(0, overloaded()), Replied(1, Reply::Answered)],
        "send0 send1 Answer(1)",
    );
    check(&[Replied(0, Reply::Unknown)], "send0 Unknown");
    check(
        &[ConnectionLost(0), Resolved(0, Reply::Answered)],
        "send0 resolve0 Answer(0)",
    );
    check(
        &[ConnectionLost(0), Resolved(0, fenced())],
        "send0 resolve0 send1",
    );
    check(
        &[ConnectionLost(0), Resolved(0, Reply::Unknown)],
        "send0 resolve0 Unknown",
    );
    check(
        &[ConnectionLost(0), ResolveFailed(0)],
        "send0 resolve0 Unknown",
    );
    check(&[ConnectionLost(0), ConnectionLost(0)], "send0 resolve0");
    check(
        &[ConnectionLost(0), Replied(0, overloaded())],
        "send0 resolve0",
    );
    check(
        &[ConnectionLost(0), DeadlinePassed],
        "send0 resolve0 cancel0 Unknown",
    );
    check(&[HedgeDue], "send0");
    check(
        &[DeadlinePassed, Replied(0, Reply::Answered)],
        "send0 cancel0 Unknown",
    );
    check(&[ClientDisconnected], "send0 cancel0 Discard");
    check(&[ConnectFailed(0), ConnectFailed(1)], "send0 send1 send2");
    let unreachable = [ConnectFailed(0), ConnectFailed(1), ConnectFailed(2)];
    check(&unreachable, "send0 send1 send2 not-run:7ms");
    let no_instance = || NoInstance(1, NotRunReason::NoInstance);
    check(
        &[Replied(0, overloaded()), no_instance()],
        "send0 send1 not-run:30ms",
    );
    check(
        &[NoInstance(0, NotRunReason::NoInstance)],
        "send0 not-run:7ms",
    );
}

#[test]
fn idempotent_call_is_retried_and_hedged() {
    let check = |events: &[Event], want: &str| {
        assert_eq!(run(Idempotency::Idempotent, 10, events), want, "{events:?}");
    };
    check(
        &[ConnectionLost(0), Replied(1, Reply::Answered)],
        "send0 send1 Answer(1)",
    );
    check(
        &[HedgeDue, Replied(0, Reply::Answered)],
        "send0 send1 cancel1 Answer(0)",
    );
    check(&[HedgeDue, ConnectionLost(0)], "send0 send1");
    check(&[HedgeDue, HedgeDue, HedgeDue], "send0 send1 send2");
    // The first attempt may have run, so the call is not reported as not run.
    let too_short = refused(NotRunReason::DeadlineTooShort);
    check(
        &[ConnectionLost(0), Replied(1, too_short)],
        "send0 send1 Unknown",
    );
}

#[test]
fn exhausted_budget_ends_the_call_immediately() {
    let check = |repeat, event: Event, want: &str| {
        assert_eq!(run(repeat, 0, &[event]), want);
    };
    let overloaded = refused(NotRunReason::Overloaded);
    check(
        Idempotency::AtMostOnce,
        Replied(0, overloaded),
        "send0 not-run:30ms",
    );
    check(Idempotency::Idempotent, ConnectionLost(0), "send0 Unknown");
    check(Idempotency::Idempotent, HedgeDue, "send0");
}

#[test]
fn streamed_answer_is_completed_or_aborted() {
    let check = |repeat, events: &[Event], want: &str| {
        assert_eq!(run(repeat, 10, events), want, "{events:?}");
    };
    let complete = || [Streaming(0), Replied(0, Reply::Answered)];
    check(
        Idempotency::Idempotent,
        &complete(),
        "send0 stream0 Answer(0)",
    );
    check(
        Idempotency::Idempotent,
        &[Streaming(0), ConnectionLost(0)],
        "send0 stream0 Abort",
    );
    check(
        Idempotency::Idempotent,
        &[HedgeDue, Streaming(1)],
        "send0 send1 cancel0 stream1",
    );
    let recovered = [
        Streaming(0),
        ConnectionLost(0),
        Resolved(0, Reply::Answered),
    ];
    check(
        Idempotency::AtMostOnce,
        &recovered,
        "send0 stream0 resolve0 Answer(0)",
    );
    let lost = [Streaming(0), ConnectionLost(0), ResolveFailed(0)];
    check(
        Idempotency::AtMostOnce,
        &lost,
        "send0 stream0 resolve0 Abort",
    );
}

#[test]
fn no_attempt_is_sent_after_the_end_of_the_call() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(RetryBudgetConfig::default(), now);
    let plan = CallPlan {
        repeat: Idempotency::AtMostOnce,
        deadline: now + ms(100),
        max_attempts: 3,
        retry_after: ms(7),
    };
    let (mut machine, _) = CallStateMachine::start(plan, &mut budget);
    let actions = machine.on_event(DeadlinePassed, &mut budget, now);
    assert!(matches!(
        actions[..],
        [Action::Cancel(0), Action::Finish(FinalOutcome::NotRun(_))]
    ));
    assert_eq!(machine.permit_send(0), Permit::Denied);
}
