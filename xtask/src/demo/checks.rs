//! Checks of the system's guarantees by counts over the observations of a demo.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ledger::RolloutOutcome;
use ledger::State;
use protocol::status::Status;
use smol_str::SmolStr;
use standin_caller::CallRecord;
use standin_caller::Outcome;
use standin_caller::Summary;

use crate::demo::tickets::BAD;
use crate::demo::tickets::GOOD;
use crate::demo::watcher::WatchCounts;

/// Maximum share of payments that may reach the bad version, in percent.
const BAD_SHARE_PERCENT: u64 = 10;

/// Everything that a demo observed.
pub struct Observations {
    /// All calls, as recorded by their callers.
    pub records: Vec<CallRecord>,
    /// Number of runs by call id, summed over all upstreams.
    pub runs: BTreeMap<SmolStr, u32>,
    /// Final status of each daemon.
    pub statuses: Vec<Status>,
    /// Total runs of the bad version shortly after its rollback, and at the end of the demo.
    pub bad_runs: [u64; 2],
    /// Number of stopped daemons, and of those that exited with code 0.
    pub stops: [u64; 2],
    /// Counts of the statuses that were read during the demo.
    pub watched: WatchCounts,
    /// Number of faulty tickets, and of those that were refused.
    pub refusals: [u64; 2],
}

/// Result of one check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// Name, which states the condition.
    pub name: &'static str,
    /// Counts that the condition was evaluated on.
    pub counted: String,
    /// Whether the condition held.
    pub held: Held,
}

/// Whether a check held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Held {
    /// The condition held.
    Yes,
    /// The condition did not hold.
    No,
}

impl From<bool> for Held {
    fn from(held: bool) -> Self {
        if held { Self::Yes } else { Self::No }
    }
}

fn check(name: &'static str, counted: String, held: bool) -> Check {
    Check {
        name,
        counted,
        held: held.into(),
    }
}

/// Runs all checks.
pub fn all(observed: &Observations) -> Vec<Check> {
    let mut checks = call_checks(observed);
    checks.extend(run_checks(observed));
    checks.extend(ticket_checks(observed));
    checks
}

fn call_checks(observed: &Observations) -> Vec<Check> {
    let summary = Summary::from_records(&observed.records);
    let [stopped, clean] = observed.stops;
    vec![
        check(
            "calls answered",
            format!("{} of {}", summary.ok, summary.calls),
            summary.ok * 2 > summary.calls,
        ),
        check(
            "answers cut short or crossed",
            summary.wrong.to_string(),
            summary.wrong == 0,
        ),
        check("requests cut", summary.cut.to_string(), summary.cut == 0),
        check(
            "calls without an answer in time",
            (summary.late + summary.unreachable + summary.rejected).to_string(),
            summary.late + summary.unreachable + summary.rejected == 0,
        ),
        check(
            "calls of unknown outcome",
            summary.unknown.to_string(),
            summary.unknown == 0,
        ),
        check(
            "refusals without Retry-After",
            format!(
                "{} of {}",
                summary.refused_without_retry_after, summary.refused
            ),
            summary.refused_without_retry_after == 0,
        ),
        check(
            "planned stops",
            format!("{clean} of {stopped} clean"),
            clean == stopped,
        ),
    ]
}

fn run_checks(observed: &Observations) -> Vec<Check> {
    let duplicates = duplicate_runs(observed);
    let refused_but_ran = count_calls_that_ran(observed, is_refused);
    let ok = observed
        .records
        .iter()
        .filter(|record| is_ok(record))
        .count();
    let ok_and_ran = count_calls_that_ran(observed, is_ok);
    let [after_rollback, at_end] = observed.bad_runs;
    let payments = observed.records.iter();
    let payments = payments
        .filter(|record| record.id.contains("payments"))
        .count() as u64;
    vec![
        check(
            "doubled runs of at-most-once calls",
            duplicates.to_string(),
            duplicates == 0,
        ),
        check(
            "runs of calls refused as not run",
            refused_but_ran.to_string(),
            refused_but_ran == 0,
        ),
        check(
            "answered calls that ran",
            format!("{ok_and_ran} of {ok}"),
            ok == ok_and_ran,
        ),
        check(
            "payments that reached the bad version",
            format!("{at_end} of {payments}"),
            at_end > 0 && at_end * 100 <= payments * BAD_SHARE_PERCENT,
        ),
        check(
            "of them, later than it was taken back",
            (at_end - after_rollback).to_string(),
            at_end == after_rollback,
        ),
    ]
}

/// Returns the number of at-most-once calls that ran more than once.
pub fn duplicate_runs(observed: &Observations) -> usize {
    let is_duplicate = |(id, runs): &(&SmolStr, &u32)| is_at_most_once(id) && **runs > 1;
    observed.runs.iter().filter(is_duplicate).count()
}

fn count_calls_that_ran(observed: &Observations, wanted: impl Fn(&CallRecord) -> bool) -> usize {
    let records = observed.records.iter().filter(|record| wanted(record));
    records
        .filter(|record| observed.runs.contains_key(&record.id))
        .count()
}

fn is_ok(record: &CallRecord) -> bool {
    matches!(record.outcome, Outcome::Ok(_))
}

fn is_refused(record: &CallRecord) -> bool {
    let refused = matches!(
        record.outcome,
        Outcome::Refused | Outcome::RefusedWithoutRetryAfter
    );
    refused && is_at_most_once(&record.id)
}

/// Returns whether a call is at-most-once. The caller encodes the kind in the prefix of the call
/// id.
fn is_at_most_once(id: &str) -> bool {
    id.starts_with("o.")
}

fn ticket_checks(observed: &Observations) -> Vec<Check> {
    let daemons = observed.statuses.len();
    let in_force = observed
        .statuses
        .iter()
        .filter(|status| status.ticket == BAD)
        .count();
    let without_dangling = observed
        .statuses
        .iter()
        .filter(|status| has_no_dangling_route(&status.state))
        .count();
    let [expected, refused] = observed.refusals;
    let WatchCounts { reads, regressed } = observed.watched;
    let count_stable = |service, stable| {
        let is_stable = |status: &&Status| is_stable_on(&status.state, service, stable);
        observed.statuses.iter().filter(is_stable).count()
    };
    let bookings_on_v2 = count_stable("bookings", "v2");
    let payments_on_v1 = count_stable("payments", "v1");
    vec![
        check(
            "daemons with the last ticket",
            format!("{in_force} of {daemons}"),
            in_force == daemons,
        ),
        check(
            "statuses older than before",
            format!("{regressed} of {reads}"),
            regressed == 0 && reads > 0,
        ),
        check(
            "daemons without a dangling route",
            format!("{without_dangling} of {daemons}"),
            without_dangling == daemons,
        ),
        check(
            "faulty tickets refused",
            format!("{refused} of {expected}"),
            refused == expected,
        ),
        check(
            "bookings on v2",
            format!("{bookings_on_v2} of {daemons}"),
            bookings_on_v2 == daemons,
        ),
        check(
            "move of bookings in time",
            describe_outcomes(observed, GOOD),
            is_done_in_time(observed),
        ),
        check(
            "payments back on v1",
            format!("{payments_on_v1} of {daemons}"),
            payments_on_v1 == daemons,
        ),
        check(
            "end of the move of payments",
            describe_outcomes(observed, BAD),
            rolled_back(observed) == 1,
        ),
    ]
}

fn is_stable_on(state: &State, service: &str, stable: &str) -> bool {
    let service = state.services.get(service);
    service.is_some_and(|service| service.stable == stable && service.rollout.is_none())
}

fn has_no_dangling_route(state: &State) -> bool {
    let mut services = state.routes.values().map(|route| &route.service);
    services.all(|service| state.services.contains_key(service))
}

fn rollout_outcomes(observed: &Observations, ticket: u64) -> BTreeSet<String> {
    let reports = observed
        .statuses
        .iter()
        .flat_map(|status| &status.state.ends);
    let of_ticket = reports.filter(|report| report.ticket == ticket);
    of_ticket
        .map(|report| format!("{:?}", report.end))
        .collect()
}

fn describe_outcomes(observed: &Observations, ticket: u64) -> String {
    let outcomes: Vec<String> = rollout_outcomes(observed, ticket).into_iter().collect();
    if outcomes.is_empty() {
        return "none".to_owned();
    }
    outcomes.join(", ")
}

fn is_done_in_time(observed: &Observations) -> bool {
    rollout_outcomes(observed, GOOD) == BTreeSet::from([format!("{:?}", RolloutOutcome::Done)])
}

/// Returns the number of completed rollouts in the status of the first daemon.
pub fn completed(observed: &Observations) -> usize {
    count_outcomes(observed, |end| {
        matches!(end, RolloutOutcome::Done | RolloutOutcome::DoneLate { .. })
    })
}

/// Returns the number of rolled-back rollouts in the status of the first daemon.
pub fn rolled_back(observed: &Observations) -> usize {
    count_outcomes(observed, |end| {
        matches!(end, RolloutOutcome::RolledBack { .. })
    })
}

fn count_outcomes(observed: &Observations, wanted: impl Fn(&RolloutOutcome) -> bool) -> usize {
    let first = observed.statuses.first();
    let ends = first.iter().flat_map(|status| &status.state.ends);
    ends.filter(|report| wanted(&report.end)).count()
}
