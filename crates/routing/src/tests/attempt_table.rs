//! Tests of the attempt table and its limits.

use protocol::call::AttemptId;
use protocol::call::ResolveRequest;

use super::attempt;
use super::ms;
use crate::attempt_table::AttemptTable;
use crate::attempt_table::AttemptTableLimits;
use crate::attempt_table::Begin;
use crate::attempt_table::Completion;
use crate::attempt_table::Refusal;
use crate::attempt_table::Resolution;

const LIMITS: AttemptTableLimits = AttemptTableLimits {
    max_ended: 2,
    max_callers: 1,
    max_answer_bytes: 10,
};

fn table() -> AttemptTable<&'static str> {
    AttemptTable::new(3, LIMITS)
}

fn resolve_request(attempt: &AttemptId, incarnation: u64) -> ResolveRequest {
    ResolveRequest {
        attempt: attempt.clone(),
        incarnation,
        remaining: ms(100),
    }
}

fn answered(answer: &'static str, bytes: usize) -> Completion<&'static str> {
    Completion::Answered { answer, bytes }
}

#[test]
fn resolve_fences_an_attempt_that_has_not_begun() {
    let mut table = table();
    let unsent = attempt(1, 0);
    assert_eq!(
        table.resolve(&resolve_request(&unsent, 3)),
        Resolution::Fenced
    );
    assert_eq!(table.begin(&unsent), Begin::Fenced);
    assert_eq!(table.refuse(&unsent), Refusal::NotRun);
}

#[test]
fn attempt_begins_once_and_its_answer_is_returned() {
    let mut table = table();
    let id = attempt(1, 0);
    assert_eq!(table.begin(&id), Begin::Run);
    assert_eq!(table.begin(&id), Begin::Duplicate);
    assert_eq!(table.refuse(&id), Refusal::Unknown);
    assert_eq!(table.resolve(&resolve_request(&id, 3)), Resolution::Running);
    table.finish(&id, answered("gown", 4));
    assert_eq!(
        table.resolve(&resolve_request(&id, 3)),
        Resolution::Finished(&"gown")
    );
    assert_eq!(table.begin(&id), Begin::Duplicate);
}

#[test]
fn resolution_follows_from_the_end_of_an_attempt() {
    let check = |completion, want: Resolution<'_, &'static str>, begin| {
        let mut table = table();
        let id = attempt(1, 0);
        table.begin(&id);
        table.finish(&id, completion);
        assert_eq!(table.resolve(&resolve_request(&id, 3)), want);
        assert_eq!(table.begin(&id), begin);
    };
    check(Completion::NotRun, Resolution::Fenced, Begin::Fenced);
    check(Completion::NoAnswer, Resolution::Unknown, Begin::Duplicate);
    // The answer is larger than `max_answer_bytes`.
    check(answered("long", 11), Resolution::Unknown, Begin::Duplicate);
}

#[test]
fn attempt_sent_to_an_earlier_incarnation_is_unknown() {
    let mut table = table();
    let sent_earlier = attempt(1, 0);
    assert_eq!(
        table.resolve(&resolve_request(&sent_earlier, 2)),
        Resolution::Unknown
    );
    assert_eq!(table.begin(&sent_earlier), Begin::Fenced);
    assert_eq!(
        table.resolve(&resolve_request(&sent_earlier, 2)),
        Resolution::Unknown
    );
    let sent_here = attempt(1, 1);
    table.begin(&sent_here);
    table.finish(&sent_here, answered("gown", 4));
    assert_eq!(
        table.resolve(&resolve_request(&sent_here, 2)),
        Resolution::Finished(&"gown")
    );
}

#[test]
fn refused_attempt_cannot_begin_later() {
    let mut table = table();
    let id = attempt(1, 0);
    assert_eq!(table.refuse(&id), Refusal::NotRun);
    assert_eq!(table.begin(&id), Begin::Fenced);
}

#[test]
fn evicted_attempt_neither_runs_nor_is_reported_as_not_run() {
    let mut table = table();
    let running = attempt(1, 0);
    table.begin(&running);
    for sequence in 2..6 {
        table.begin(&attempt(1, sequence));
        table.finish(&attempt(1, sequence), answered("x", 1));
    }
    assert_eq!(table.ended_count(), 2);
    assert_eq!(table.answer_bytes(), 2);
    // Attempt 2 ran; attempt 1 arrives after its successors were evicted.
    for sequence in [2, 1] {
        let id = attempt(1, sequence);
        assert_eq!(table.begin(&id), Begin::BelowWatermark, "{sequence}");
        assert_eq!(table.refuse(&id), Refusal::Unknown, "{sequence}");
        assert_eq!(
            table.resolve(&resolve_request(&id, 3)),
            Resolution::Unknown,
            "{sequence}"
        );
    }
    assert_eq!(
        table.resolve(&resolve_request(&running, 3)),
        Resolution::Running
    );
}

#[test]
fn answers_beyond_the_limit_are_evicted_oldest_first() {
    let mut table = table();
    for sequence in 0..2 {
        table.begin(&attempt(1, sequence));
        table.finish(&attempt(1, sequence), answered("x", 6));
    }
    assert_eq!(table.answer_bytes(), 6);
    assert_eq!(
        table.resolve(&resolve_request(&attempt(1, 0), 3)),
        Resolution::Unknown
    );
    assert_eq!(
        table.resolve(&resolve_request(&attempt(1, 1), 3)),
        Resolution::Finished(&"x")
    );
}

#[test]
fn earlier_incarnation_of_a_caller_cannot_begin_attempts() {
    let mut table = table();
    table.begin(&attempt(1, 7));
    assert_eq!(table.begin(&attempt(2, 0)), Begin::Run);
    assert_eq!(table.begin(&attempt(1, 8)), Begin::BelowWatermark);
    assert_eq!(
        table.resolve(&resolve_request(&attempt(1, 7), 3)),
        Resolution::Running
    );
}

#[test]
fn caller_beyond_the_limit_is_refused_permanently() {
    let mut table = table();
    table.begin(&attempt(1, 0));
    let other = AttemptId {
        caller: "nadi-a-1".into(),
        ..attempt(1, 0)
    };
    assert_eq!(table.begin(&other), Begin::TableFull);
    assert_eq!(
        table.resolve(&resolve_request(&other, 3)),
        Resolution::Fenced
    );
    assert_eq!(
        table.resolve(&resolve_request(&other, 2)),
        Resolution::Unknown
    );
    assert_eq!(table.begin(&other), Begin::TableFull);
}
