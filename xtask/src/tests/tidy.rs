//! Tests of the tidy check.

use crate::tidy::check_file;

/// Checks the findings in a file, each as line and expectation.
#[track_caller]
fn check(file: &str, text: &str, expected: &[&str]) {
    let found = check_file(file, text);
    let found: Vec<String> = found.iter().map(ToString::to_string).collect();
    let expected: Vec<String> = expected.iter().map(|e| format!("{file}:{e}")).collect();
    assert_eq!(found, expected);
}

#[test]
fn a_tidy_file_has_no_findings() {
    // Lines of their own: this file has to pass the check too.
    let lines = [
        "//! Does one job.",
        "",
        "mod part;",
        "",
        "use std::fs;",
        "use std::io;",
        "",
        "#[cfg(unix)]",
        "use libc::c_int;",
        "use serde::Serialize;",
        "",
        "use crate::part::Part;",
        "pub use crate::part::Whole;",
        "use crate::part::Work;",
        "",
        "fn f() -> Box<dyn Work> {",
        "    todo!() // a dyn is fine here",
        "}",
        "",
        "#[cfg(test)]",
        "mod tests;",
    ];
    let text = lines.map(|line| format!("{line}\n")).concat();
    check("crates/report/src/lib.rs", &text, &[]);
}

#[test]
fn each_broken_rule_is_found() {
    let file = "crates/report/src/a.rs";
    check(
        file,
        "use std::fs;\n",
        &["1: expected a doc comment of the module at the top"],
    );
    check(
        file,
        "//! A.\nuse std::{fs, io};\n    use a::{b};\n",
        &[
            "2: expected one import a line, without braces",
            "3: expected one import a line, without braces",
        ],
    );
    check(
        file,
        "//! A.\nuse std::fs;\nuse serde::Serialize;\n",
        &["3: expected a blank line between groups of imports"],
    );
    check(
        file,
        "//! A.\nuse std::fs;\n\nuse std::io;\n",
        &["4: expected no blank line within a group of imports"],
    );
    check(
        file,
        "//! A.\nuse crate::b;\n\nuse std::io;\n",
        &["4: expected groups in the order std, other crates, own crate"],
    );
    check(
        file,
        "//! A.\nmod tests {\n}\n",
        &["2: expected tests in a file of their own"],
    );
    check(
        file,
        "//! A.\n// Copyright of somebody\n",
        &["2: expected no licence banner"],
    );
    let long = format!("//! A.\n{}", "\n".repeat(499));
    check(file, &long, &["500: expected fewer than 500 lines"]);
}

#[test]
fn dyn_is_refused_just_on_the_request_path() {
    let text = "//! A.\n// dyn\nfn f(_: &dyn Work) {}\n";
    let expected = "3: expected no `dyn` on the request path";
    check("crates/routing/src/a.rs", text, &[expected]);
    check("crates/routing/src/tests.rs", text, &[]);
    check("crates/report/src/a.rs", text, &[]);
    check("crates/routing/src/b.rs", "//! A.\nfn dynamic() {}\n", &[]);
}

#[test]
fn only_the_adapter_and_tests_know_names_of_the_platform() {
    let text = "//! A.\nconst TOPIC: &str = \"keyed.op\";\n";
    let expected = "2: expected no platform name outside its adapter: keyed.op";
    check("crates/sidecar/src/store_sync.rs", text, &[expected]);
    check("cli/src/main.rs", text, &[expected]);
    check("platform/src/store.rs", text, &[]);
    check("crates/sidecar/tests/end_to_end.rs", text, &[]);
    check("standins/store/src/service.rs", text, &[]);
    check("xtask/src/soak/story.rs", text, &[expected]);
    check("xtask/src/soak/wire.rs", text, &[]);
}
