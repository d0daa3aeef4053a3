//! Memory of attempts and its bounds.

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

fn question(attempt: &AttemptId, incarnation: u64) -> ResolveRequest {
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
fn question_fences_what_has_not_begun() {
    let mut table = table();
    let late = attempt(1, 0);
    assert_eq!(table.resolve(&question(&late, 3)), Resolution::Fenced);
    assert_eq!(table.begin(&late), Begin::Fenced);
    assert_eq!(table.refuse(&late), Refusal::NotRun);
}

#[test]
fn attempt_begins_once_and_its_answer_is_handed_over() {
    let mut table = table();
    let id = attempt(1, 0);
    assert_eq!(table.begin(&id), Begin::Run);
    assert_eq!(table.begin(&id), Begin::Duplicate);
    assert_eq!(table.refuse(&id), Refusal::Unknown);
    assert_eq!(table.resolve(&question(&id, 3)), Resolution::Running);
    table.finish(&id, answered("gown", 4));
    assert_eq!(
        table.resolve(&question(&id, 3)),
        Resolution::Finished(&"gown")
    );
    assert_eq!(table.begin(&id), Begin::Duplicate);
}

#[test]
fn end_of_an_attempt_decides_what_is_said() {
    let check = |ending, want: Resolution<'_, &'static str>, begin| {
        let mut table = table();
        let id = attempt(1, 0);
        table.begin(&id);
        table.finish(&id, ending);
        assert_eq!(table.resolve(&question(&id, 3)), want);
        assert_eq!(table.begin(&id), begin);
    };
    check(Completion::NotRun, Resolution::Fenced, Begin::Fenced);
    check(Completion::NoAnswer, Resolution::Unknown, Begin::Duplicate);
    // The answer is larger than the memory for answers.
    check(answered("long", 11), Resolution::Unknown, Begin::Duplicate);
}

#[test]
fn attempt_sent_to_an_earlier_incarnation_is_unknown() {
    let mut table = table();
    let lost = attempt(1, 0);
    assert_eq!(table.resolve(&question(&lost, 2)), Resolution::Unknown);
    assert_eq!(table.begin(&lost), Begin::Fenced);
    assert_eq!(table.resolve(&question(&lost, 2)), Resolution::Unknown);
    let here = attempt(1, 1);
    table.begin(&here);
    table.finish(&here, answered("gown", 4));
    assert_eq!(
        table.resolve(&question(&here, 2)),
        Resolution::Finished(&"gown")
    );
}

#[test]
fn refused_attempt_finds_no_room_later() {
    let mut table = table();
    let id = attempt(1, 0);
    assert_eq!(table.refuse(&id), Refusal::NotRun);
    assert_eq!(table.begin(&id), Begin::Fenced);
}

#[test]
fn forgotten_attempt_neither_runs_nor_is_called_not_run() {
    let mut table = table();
    let running = attempt(1, 0);
    table.begin(&running);
    for sequence in 2..6 {
        table.begin(&attempt(1, sequence));
        table.finish(&attempt(1, sequence), answered("x", 1));
    }
    assert_eq!(table.ended_count(), 2);
    assert_eq!(table.answer_bytes(), 2);
    // One that ran, and one that was overtaken.
    for sequence in [2, 1] {
        let id = attempt(1, sequence);
        assert_eq!(table.begin(&id), Begin::Evicted, "{sequence}");
        assert_eq!(table.refuse(&id), Refusal::Unknown, "{sequence}");
        assert_eq!(
            table.resolve(&question(&id, 3)),
            Resolution::Unknown,
            "{sequence}"
        );
    }
    assert_eq!(table.resolve(&question(&running, 3)), Resolution::Running);
}

#[test]
fn answers_are_dropped_oldest_first_at_the_bound() {
    let mut table = table();
    for sequence in 0..2 {
        table.begin(&attempt(1, sequence));
        table.finish(&attempt(1, sequence), answered("x", 6));
    }
    assert_eq!(table.answer_bytes(), 6);
    assert_eq!(
        table.resolve(&question(&attempt(1, 0), 3)),
        Resolution::Unknown
    );
    assert_eq!(
        table.resolve(&question(&attempt(1, 1), 3)),
        Resolution::Finished(&"x")
    );
}

#[test]
fn earlier_incarnation_of_a_caller_begins_nothing() {
    let mut table = table();
    table.begin(&attempt(1, 7));
    assert_eq!(table.begin(&attempt(2, 0)), Begin::Run);
    assert_eq!(table.begin(&attempt(1, 8)), Begin::Evicted);
    assert_eq!(
        table.resolve(&question(&attempt(1, 7), 3)),
        Resolution::Running
    );
}

#[test]
fn caller_beyond_the_bound_is_refused_for_good() {
    let mut table = table();
    table.begin(&attempt(1, 0));
    let other = AttemptId {
        caller: "nadi-a-1".into(),
        ..attempt(1, 0)
    };
    assert_eq!(table.begin(&other), Begin::TableFull);
    assert_eq!(table.resolve(&question(&other, 3)), Resolution::Fenced);
    assert_eq!(table.resolve(&question(&other, 2)), Resolution::Unknown);
    assert_eq!(table.begin(&other), Begin::TableFull);
}
