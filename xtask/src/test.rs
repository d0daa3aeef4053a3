//! `cargo xtask test`: the checks that each change must pass.

pub mod known_red;
pub mod output;

use std::fs;
use std::io;
use std::process::ExitCode;

use crate::test::known_red::KnownRed;
use crate::test::output::Report;
use crate::tidy;
use crate::workspace::cargo;
use crate::workspace::root;
use crate::workspace::run_lines;

/// File at the workspace root that lists tests that fail because of a known, unfixed fault.
const KNOWN_RED_FILE: &str = "KNOWN-RED.txt";

/// Checks that run before the tests.
const CHECKS: [(&str, &[&str]); 2] = [
    ("format", &["fmt", "--all", "--check"]),
    (
        "clippy",
        &[
            "clippy",
            "--quiet",
            "--locked",
            "--workspace",
            "--all-targets",
            "--",
            "-D",
            "warnings",
        ],
    ),
];

const TEST_ARGS: &[&str] = &["test", "--locked", "--workspace", "--no-fail-fast"];

/// First seeds of the short soak runs, each of one seed with planned operations only and two with all faults;
/// in the second one instances deregister first, and daemons are killed right after that.
const SOAK_SEEDS: [&str; 2] = ["3", "80001"];

const SOAK_ARGS: &[&str] = &[
    "xtask",
    "soak",
    "--seeds",
    "3",
    "--for",
    "8s",
    "--processes",
    "8",
    "--debug",
    "--untimed",
    "--seed",
];

/// Numbers of passed and failed checks and tests.
#[derive(Debug, Default)]
struct Tally {
    passed: usize,
    failed: usize,
}

impl Tally {
    fn record(&mut self, name: &str, passed: bool) {
        if passed {
            println!("{name}: ok");
            self.passed += 1;
        } else {
            println!("{name}: FAILED");
            self.failed += 1;
        }
    }
}

/// Runs all checks and tests.
pub fn run() -> ExitCode {
    let mut tally = Tally::default();
    if let Err(e) = run_all(&mut tally) {
        println!("xtask: {e}");
        tally.failed += 1;
    }
    println!("{} passed, {} failed", tally.passed, tally.failed);
    match tally.failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

fn run_all(tally: &mut Tally) -> io::Result<()> {
    let known_failures = read_known_red()?;
    for (name, args) in CHECKS {
        let status = run_lines(cargo(args), |line| println!("{line}"))?;
        tally.record(name, status.success());
    }
    let findings = tidy::findings(&root())?;
    for finding in &findings {
        println!("{finding}");
    }
    tally.record("tidy", findings.is_empty());
    run_tests(&known_failures, tally)?;
    for seed in SOAK_SEEDS {
        let mut command = cargo(SOAK_ARGS);
        command.arg(seed);
        let status = run_lines(command, |line| println!("{line}"))?;
        tally.record("soak", status.success());
    }
    Ok(())
}

fn read_known_red() -> io::Result<Vec<KnownRed>> {
    let path = root().join(KNOWN_RED_FILE);
    if !path.exists() {
        return Ok(Vec::new());
    }
    let text = fs::read_to_string(path)?;
    known_red::parse(&text).map_err(|e| io::Error::other(format!("{KNOWN_RED_FILE}: {e}")))
}

fn run_tests(known_failures: &[KnownRed], tally: &mut Tally) -> io::Result<()> {
    let mut report = Report::default();
    let status = run_lines(cargo(TEST_ARGS), |line| {
        if report.parse_line(line) == output::Show::Print {
            println!("{line}");
        }
    })?;
    report.finish();
    let classified = known_red::classify(&report, known_failures);
    for line in &classified.lines {
        println!("{line}");
    }
    tally.passed += report.passed.len();
    tally.failed += classified.failed;
    // After a failed build no test runs, so no failed test accounts for the exit code.
    if !status.success() && report.failed.is_empty() {
        tally.record("tests", false);
    }
    Ok(())
}
