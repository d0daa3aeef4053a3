//! Tests of the parser for test output and of the list of known failures.

use crate::test::known_red::KnownRed;
use crate::test::known_red::ListError;
use crate::test::known_red::classify;
use crate::test::known_red::parse;
use crate::test::output::Report;
use crate::test::output::Show;

const OUTPUT: &str = "
   Compiling base v0.1.0
    Finished `test` profile in 1.00s
     Running unittests src/lib.rs (target/debug/deps/base-0123456789abcdef)

running 3 tests
test tests::good ... ok
test tests::bad ... FAILED
test tests::later ... ignored

---- tests::bad stdout ----
assertion failed

test result: FAILED. 1 passed; 1 failed; 1 ignored
     Running unittests src/main.rs (target/debug/deps/tool-0123456789abcdef)

running 1 test
error: test failed, to rerun pass `-p tool --bin tool`
   Doc-tests base

running 1 test
test crates/base/src/lib.rs - f (line 3) ... ok

test result: ok. 1 passed; 0 failed
";

const LIST: &str = "\
# Fix these first.
base::tests::bad
    command: cargo test -p base bad
    seen: assertion failed
    issue: 7
";

fn report() -> (Report, Vec<&'static str>) {
    let mut report = Report::default();
    let shown = OUTPUT
        .lines()
        .filter(|line| report.parse_line(line) == Show::Print);
    let shown = shown.collect();
    report.finish();
    (report, shown)
}

#[test]
fn results_are_read_by_binary_and_failures_shown() {
    let (report, shown) = report();
    assert_eq!(
        report.passed,
        [
            "base::tests::good",
            "base(doc)::crates/base/src/lib.rs - f (line 3)"
        ]
    );
    assert_eq!(
        report.failed,
        ["base::tests::bad", "tool: ended without a result"]
    );
    assert_eq!(report.ignored, ["base::tests::later"]);
    assert!(shown.contains(&"assertion failed"));
    assert!(!shown.iter().any(|line| line.contains("tests::good")));
}

#[test]
fn listed_failures_do_not_fail_the_run() {
    let (report, _) = report();
    assert_eq!(classify(&report, &[]).failed, 2);
    let known = parse(LIST).unwrap();
    let classified = classify(&report, &known);
    assert_eq!(classified.failed, 1);
    assert_eq!(classified.lines[0], "FAILED: tool: ended without a result");
    assert_eq!(classified.lines[1], "known red, failed: base::tests::bad");
    assert_eq!(classified.lines[4], "    issue: 7");
}

#[test]
fn a_listed_test_that_did_not_run_fails_the_run() {
    let (report, _) = report();
    let known = [KnownRed {
        test: "base::tests::gone".to_owned(),
        details: Vec::new(),
    }];
    let classified = classify(&report, &known);
    assert_eq!(classified.failed, 3);
    assert_eq!(
        classified.lines[2],
        "FAILED: known red, but not run: base::tests::gone"
    );
}

#[test]
fn entries_without_required_keys_are_rejected() {
    let missing = ListError::MissingKey("a::b".to_owned(), "issue");
    let text = "a::b\n  command: c\n  seen: s\n";
    assert_eq!(parse(text), Err(missing));
    assert_eq!(parse("  seen: s\n"), Err(ListError::NoTest(1)));
    assert_eq!(parse("# nothing\n\n"), Ok(Vec::new()));
}
