//! Summary of the demo: the table of checks and the result line.

use standin_caller::Summary;

use crate::demo::checks;
use crate::demo::checks::Check;
use crate::demo::checks::Held;
use crate::demo::checks::Observations;
use crate::demo::tickets;
use crate::error::Result;
use crate::error::TaskError;
use crate::table;

/// Prints the table of checks and returns the counts for the result line.
///
/// # Errors
///
/// Fails with the names and counts of the failed checks.
pub fn conclude(observed: &Observations) -> Result<String> {
    let checks = checks::all(observed);
    let rows: Vec<[String; 3]> = checks.iter().map(row).collect();
    println!("{}", table::format(["check", "counted", "held"], &rows));
    let failed = checks.iter().filter(|check| check.held == Held::No);
    let failed: Vec<String> = failed
        .map(|check| format!("{}: {}", check.name, check.counted))
        .collect();
    if !failed.is_empty() {
        return Err(TaskError::ChecksFailed(failed));
    }
    Ok(last_line(observed))
}

fn row(check: &Check) -> [String; 3] {
    let held = match check.held {
        Held::Yes => "ok",
        Held::No => "FAILED",
    };
    [
        check.name.to_owned(),
        check.counted.clone(),
        held.to_owned(),
    ]
}

fn last_line(observed: &Observations) -> String {
    format!(
        "{} calls, {} doubled runs, {} cut requests, {} tickets in force, {} moves done, \
         {} taken back",
        observed.records.len(),
        checks::duplicate_runs(observed),
        Summary::from_records(&observed.records).cut,
        tickets::BAD,
        checks::completed(observed),
        checks::rolled_back(observed),
    )
}
