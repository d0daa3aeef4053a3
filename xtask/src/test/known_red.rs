//! The list of tests that fail because of a known, unfixed fault.
//!
//! An entry is a line with the test's name, followed by indented lines with the command and seed,
//! the observed failure, and the issue:
//!
//! ```text
//! rollout::tests::late_faults_are_rolled_back
//!     command: cargo test -p rollout late_faults
//!     seen: left 3, right 0
//!     issue: 7
//! ```
//!
//! Lines that begin with `#` are comments.

use std::fmt;

use crate::test::output::Report;

/// Keys that each entry must have.
const KEYS: [&str; 3] = ["command", "seen", "issue"];

/// One test that is known to fail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownRed {
    /// Name of the test, `binary::path::test`.
    pub test: String,
    /// Trimmed lines with the command and seed, the observed failure, and the issue.
    pub details: Vec<String>,
}

/// Reason why the list could not be parsed.
#[derive(Debug, PartialEq, Eq)]
pub enum ListError {
    /// An indented line precedes the first test; holds its line number, from 1.
    NoTest(usize),
    /// An entry lacks a key; holds the test and the key.
    MissingKey(String, &'static str),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoTest(line) => write!(f, "line {line}: expected a test name before the details"),
            Self::MissingKey(test, key) => write!(f, "{test}: expected a line `{key}: ...`"),
        }
    }
}

/// Parses the list.
///
/// # Errors
///
/// Fails when a detail precedes the first test, or when an entry lacks a key.
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

/// Result of comparing a test report with the list.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Classified {
    /// Number of failures that fail the run.
    pub failed: usize,
    /// Output lines about these failures and about the listed tests.
    pub lines: Vec<String>,
}

/// Separates listed failures from unlisted ones.
///
/// An entry whose test did not run fails the run too, so that renamed or removed tests are noticed.
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
                format!("known red, but passed: {test}; remove it from the list if it is fixed");
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
