//! The promises of the system, checked by counts over all that the demo saw.

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
use crate::demo::watcher::Watched;

/// Largest share of payments that may reach the bad version, in percent.
const BAD_SHARE_PERCENT: u64 = 10;

/// All that the demo saw.
pub struct Evidence {
    /// Every call, as its caller saw it.
    pub records: Vec<CallRecord>,
    /// Runs by call id, over all upstreams.
    pub runs: BTreeMap<SmolStr, u32>,
    /// Last status of each daemon.
    pub statuses: Vec<Status>,
    /// Runs of the bad version a while after it was taken back, and at the end.
    pub bad_runs: [u64; 2],
    /// Daemons that were stopped, and those of them that ended with exit code 0.
    pub stops: [u64; 2],
    /// Statuses of all daemons while the demo ran.
    pub watched: Watched,
    /// Tickets that had to be refused, and those that were.
    pub refusals: [u64; 2],
}

/// One check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// What has to hold.
    pub name: &'static str,
    /// What was counted.
    pub counted: String,
    /// Whether it held.
    pub held: Held,
}

/// Whether a check held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Held {
    /// It held.
    Yes,
    /// It did not.
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

/// Checks everything.
pub fn all(evidence: &Evidence) -> Vec<Check> {
    let mut checks = of_calls(evidence);
    checks.extend(of_runs(evidence));
    checks.extend(of_tickets(evidence));
    checks
}

fn of_calls(evidence: &Evidence) -> Vec<Check> {
    let sum = Summary::from_records(&evidence.records);
    let [stopped, ended] = evidence.stops;
    vec![
        check(
            "calls answered",
            format!("{} of {}", sum.ok, sum.calls),
            sum.ok * 2 > sum.calls,
        ),
        check(
            "answers cut short or crossed",
            sum.wrong.to_string(),
            sum.wrong == 0,
        ),
        check("requests cut", sum.cut.to_string(), sum.cut == 0),
        check(
            "calls without an answer in time",
            (sum.late + sum.unreachable + sum.rejected).to_string(),
            sum.late + sum.unreachable + sum.rejected == 0,
        ),
        check(
            "calls of unknown outcome",
            sum.unknown.to_string(),
            sum.unknown == 0,
        ),
        check(
            "refusals without Retry-After",
            format!("{} of {}", sum.refused_without_retry_after, sum.refused),
            sum.refused_without_retry_after == 0,
        ),
        check(
            "planned stops",
            format!("{ended} of {stopped} clean"),
            ended == stopped,
        ),
    ]
}

fn of_runs(evidence: &Evidence) -> Vec<Check> {
    let doubled = doubled(evidence);
    let refused_but_ran = ran(evidence, is_refused);
    let ok = evidence
        .records
        .iter()
        .filter(|record| is_ok(record))
        .count();
    let ok_and_ran = ran(evidence, is_ok);
    let [settled, last] = evidence.bad_runs;
    let payments = evidence.records.iter();
    let payments = payments
        .filter(|record| record.id.contains("payments"))
        .count() as u64;
    vec![
        check(
            "doubled runs of at-most-once calls",
            doubled.to_string(),
            doubled == 0,
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
            format!("{last} of {payments}"),
            last > 0 && last * 100 <= payments * BAD_SHARE_PERCENT,
        ),
        check(
            "of them, later than it was taken back",
            (last - settled).to_string(),
            last == settled,
        ),
    ]
}

/// At-most-once calls that ran more than once.
pub fn doubled(evidence: &Evidence) -> usize {
    let doubled = |(id, runs): &(&SmolStr, &u32)| is_at_most_once(id) && **runs > 1;
    evidence.runs.iter().filter(doubled).count()
}

fn ran(evidence: &Evidence, wanted: impl Fn(&CallRecord) -> bool) -> usize {
    let records = evidence.records.iter().filter(|record| wanted(record));
    records
        .filter(|record| evidence.runs.contains_key(&record.id))
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

/// The caller writes the kind of a call into its id.
fn is_at_most_once(id: &str) -> bool {
    id.starts_with("o.")
}

fn of_tickets(evidence: &Evidence) -> Vec<Check> {
    let daemons = evidence.statuses.len();
    let in_force = evidence
        .statuses
        .iter()
        .filter(|status| status.ticket == BAD)
        .count();
    let closed = evidence
        .statuses
        .iter()
        .filter(|status| is_closed(&status.state))
        .count();
    let [expected, refused] = evidence.refusals;
    let Watched { looks, reverted } = evidence.watched;
    let agreed = |service, stable| {
        let agrees = |status: &&Status| is_settled(&status.state, service, stable);
        evidence.statuses.iter().filter(agrees).count()
    };
    let moved = agreed("bookings", "v2");
    let back = agreed("payments", "v1");
    vec![
        check(
            "daemons with the last ticket",
            format!("{in_force} of {daemons}"),
            in_force == daemons,
        ),
        check(
            "statuses older than before",
            format!("{reverted} of {looks}"),
            reverted == 0 && looks > 0,
        ),
        check(
            "daemons without a dangling route",
            format!("{closed} of {daemons}"),
            closed == daemons,
        ),
        check(
            "faulty tickets refused",
            format!("{refused} of {expected}"),
            refused == expected,
        ),
        check(
            "bookings on v2",
            format!("{moved} of {daemons}"),
            moved == daemons,
        ),
        check(
            "move of bookings in time",
            end_of(evidence, GOOD),
            in_time(evidence),
        ),
        check(
            "payments back on v1",
            format!("{back} of {daemons}"),
            back == daemons,
        ),
        check(
            "end of the move of payments",
            end_of(evidence, BAD),
            taken_back(evidence) == 1,
        ),
    ]
}

fn is_settled(state: &State, service: &str, stable: &str) -> bool {
    let service = state.services.get(service);
    service.is_some_and(|service| service.stable == stable && service.rollout.is_none())
}

fn is_closed(state: &State) -> bool {
    let mut services = state.routes.values().map(|route| &route.service);
    services.all(|service| state.services.contains_key(service))
}

fn ends(evidence: &Evidence, ticket: u64) -> BTreeSet<String> {
    let reports = evidence
        .statuses
        .iter()
        .flat_map(|status| &status.state.ends);
    let of_ticket = reports.filter(|report| report.ticket == ticket);
    of_ticket
        .map(|report| format!("{:?}", report.end))
        .collect()
}

fn end_of(evidence: &Evidence, ticket: u64) -> String {
    let ends: Vec<String> = ends(evidence, ticket).into_iter().collect();
    if ends.is_empty() {
        return "none".to_owned();
    }
    ends.join(", ")
}

fn in_time(evidence: &Evidence) -> bool {
    ends(evidence, GOOD) == BTreeSet::from([format!("{:?}", RolloutOutcome::Done)])
}

/// Moves that ended well, as the first daemon tells it.
pub fn done(evidence: &Evidence) -> usize {
    count_ends(evidence, |end| {
        matches!(end, RolloutOutcome::Done | RolloutOutcome::DoneLate { .. })
    })
}

/// Moves that were taken back, as the first daemon tells it.
pub fn taken_back(evidence: &Evidence) -> usize {
    count_ends(evidence, |end| {
        matches!(end, RolloutOutcome::RolledBack { .. })
    })
}

fn count_ends(evidence: &Evidence, wanted: impl Fn(&RolloutOutcome) -> bool) -> usize {
    let first = evidence.statuses.first();
    let ends = first.iter().flat_map(|status| &status.state.ends);
    ends.filter(|report| wanted(&report.end)).count()
}
