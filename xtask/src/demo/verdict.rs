//! The end of the demo: its table and its last line.

use standin_caller::Summary;

use crate::demo::checks;
use crate::demo::checks::Check;
use crate::demo::checks::Evidence;
use crate::demo::checks::Held;
use crate::demo::tickets;
use crate::error::Result;
use crate::error::TaskError;
use crate::table;

/// Prints the table and makes the last line, or names what did not hold.
pub fn conclude(evidence: &Evidence) -> Result<String> {
    let checks = checks::all(evidence);
    let rows: Vec<[String; 3]> = checks.iter().map(row).collect();
    println!("{}", table::format(["check", "counted", "held"], &rows));
    let failed = checks.iter().filter(|check| check.held == Held::No);
    let failed: Vec<String> = failed
        .map(|check| format!("{}: {}", check.name, check.counted))
        .collect();
    if !failed.is_empty() {
        return Err(TaskError::Checks(failed));
    }
    Ok(last_line(evidence))
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

fn last_line(evidence: &Evidence) -> String {
    format!(
        "{} calls, {} doubled runs, {} cut requests, {} tickets in force, {} moves done, \
         {} taken back",
        evidence.records.len(),
        checks::doubled(evidence),
        Summary::from_records(&evidence.records).cut,
        tickets::BAD,
        checks::done(evidence),
        checks::taken_back(evidence),
    )
}
