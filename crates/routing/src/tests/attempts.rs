//! The machine of one call, event by event.

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

/// Runs the events; each attempt that is asked for is sent at once. Gives all actions as text.
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
    let mut seen = Vec::new();
    note(&mut machine, &mut seen, actions, events.first());
    for (index, event) in events.iter().enumerate() {
        let actions = machine.on_event(event.clone(), &mut budget, now);
        note(&mut machine, &mut seen, actions, events.get(index + 1));
    }
    seen.join(" ")
}

/// An attempt whose connection fails next is not sent.
fn note(
    machine: &mut CallStateMachine,
    seen: &mut Vec<String>,
    actions: Vec<Action>,
    next: Option<&Event>,
) {
    for action in actions {
        if let Action::Send(attempt) = action
            && !matches!(next, Some(ConnectFailed(_) | NoInstance(..)))
        {
            assert_eq!(machine.permit_send(attempt), Permit::Allowed);
        }
        seen.push(match action {
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
fn at_most_once_needs_proof_before_another_attempt() {
    let check = |events: &[Event], want: &str| {
        assert_eq!(run(Idempotency::AtMostOnce, 10, events), want, "{events:?}");
    };
    let full = || refused(NotRunReason::Overloaded);
    let fenced = || refused(NotRunReason::GivenUp);
    check(&[Replied(0, Reply::Answered)], "send0 Answer(0)");
    check(
        &[Replied(0, full()), Replied(1, Reply::Answered)],
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
    check(&[ConnectionLost(0), Replied(0, full())], "send0 resolve0");
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
    let gone = [ConnectFailed(0), ConnectFailed(1), ConnectFailed(2)];
    check(&gone, "send0 send1 send2 not-run:7ms");
    let none = || NoInstance(1, NotRunReason::NoInstance);
    check(&[Replied(0, full()), none()], "send0 send1 not-run:30ms");
    check(
        &[NoInstance(0, NotRunReason::NoInstance)],
        "send0 not-run:7ms",
    );
}

#[test]
fn idempotent_call_is_sent_again_and_hedged() {
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
    // One attempt may have run, so the call is not called "not run".
    let full = refused(NotRunReason::DeadlineTooShort);
    check(
        &[ConnectionLost(0), Replied(1, full)],
        "send0 send1 Unknown",
    );
}

#[test]
fn spent_budget_ends_the_call_at_once() {
    let check = |repeat, event: Event, want: &str| {
        assert_eq!(run(repeat, 0, &[event]), want);
    };
    let full = refused(NotRunReason::Overloaded);
    check(
        Idempotency::AtMostOnce,
        Replied(0, full),
        "send0 not-run:30ms",
    );
    check(Idempotency::Idempotent, ConnectionLost(0), "send0 Unknown");
    check(Idempotency::Idempotent, HedgeDue, "send0");
}

#[test]
fn long_answer_is_passed_on_whole_or_cut() {
    let check = |repeat, events: &[Event], want: &str| {
        assert_eq!(run(repeat, 10, events), want, "{events:?}");
    };
    let whole = || [Streaming(0), Replied(0, Reply::Answered)];
    check(Idempotency::Idempotent, &whole(), "send0 stream0 Answer(0)");
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
    let handed_over = [
        Streaming(0),
        ConnectionLost(0),
        Resolved(0, Reply::Answered),
    ];
    check(
        Idempotency::AtMostOnce,
        &handed_over,
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
fn nothing_is_sent_after_the_end() {
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
