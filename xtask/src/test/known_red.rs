//! Tests that are known to fail for a real fault which is not mended yet.
//!
//! An entry is the test's name on a line of its own, then indented lines that say the command and
//! seed, what was seen, and the issue:
//!
//! ```text
//! rollout::tests::late_faults_are_taken_back
//!     command: cargo test -p rollout late_faults
//!     seen: left 3, right 0
//!     issue: 7
//! ```
//!
//! Lines that begin with `#` are comments.

use std::fmt;

use crate::test::output::Report;

/// Keys that every entry has.
const KEYS: [&str; 3] = ["command", "seen", "issue"];

/// One test that is known to fail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownRed {
    /// Name of the test, `binary::path::test`.
    pub test: String,
    /// Command and seed, what was seen, issue.
    pub details: Vec<String>,
}

/// Why the list could not be read.
#[derive(Debug, PartialEq, Eq)]
pub enum ListError {
    /// A detail stands before the first test; holds its line number.
    NoTest(usize),
    /// An entry lacks one of the keys.
    MissingKey(String, &'static str),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoTest(line) => write!(f, "line {line}: expected the name of a test first"),
            Self::MissingKey(test, key) => write!(f, "{test}: expected a line `{key}: ...`"),
        }
    }
}

/// Reads the list.
pub fn parse(text: &str) -> Result<Vec<KnownRed>, ListError> {
    let mut list: Vec<KnownRed> = Vec::new();
    for (i, line) in text.lines().enumerate() {
        if line.trim().is_empty() || line.starts_with('#') {
            continue;
        }
        if !line.starts_with([' ', '\t']) {
            list.push(KnownRed {
                test: line.trim().to_owned(),
                details: Vec::new(),
            });
            continue;
        }
        let entry = list.last_mut().ok_or(ListError::NoTest(i + 1))?;
        entry.details.push(line.trim().to_owned());
    }
    list.iter().try_for_each(check_entry)?;
    Ok(list)
}

fn check_entry(entry: &KnownRed) -> Result<(), ListError> {
    let has = |key: &str| {
        let starts = |detail: &String| detail.starts_with(&format!("{key}:"));
        entry.details.iter().any(starts)
    };
    match KEYS.into_iter().find(|key| !has(key)) {
        Some(key) => Err(ListError::MissingKey(entry.test.clone(), key)),
        None => Ok(()),
    }
}

/// What the list makes of a report.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Classified {
    /// Failures that fail the run.
    pub failed: usize,
    /// What there is to say about them and about the listed tests.
    pub lines: Vec<String>,
}

/// Tells failures that are listed from those that are not.
///
/// An entry whose test did not run fails the run too: nobody would notice that it is gone.
pub fn classify(report: &Report, known: &[KnownRed]) -> Classified {
    let mut classified = Classified::default();
    let is_known = |test: &String| known.iter().any(|entry| entry.test == *test);
    for test in report.failed.iter().filter(|test| !is_known(test)) {
        classified.failed += 1;
        classified.lines.push(format!("FAILED: {test}"));
    }
    for entry in known {
        let test = &entry.test;
        if report.failed.contains(test) {
            classified.lines.push(format!("known red, failed: {test}"));
        } else if report.passed.contains(test) {
            let line =
                format!("known red, but passed: {test}; take it off the list if it is mended");
            classified.lines.push(line);
        } else {
            classified.failed += 1;
            classified
                .lines
                .push(format!("FAILED: known red, but not run: {test}"));
        }
        let details = entry.details.iter().map(|detail| format!("    {detail}"));
        classified.lines.extend(details);
    }
    classified
}
