//! Rules for whole files and single lines.

/// A file must have fewer lines than this.
const MAX_LINES: usize = 500;

/// Number of lines at the top of a file that are searched for a licence banner.
const BANNER_LINES: usize = 20;

/// Phrases that identify licence banners, in lower case.
const BANNER_WORDS: [&str; 4] = [
    "spdx-",
    "copyright",
    "licensed under",
    "all rights reserved",
];

/// Directories of code on the request path, where dispatch must be static.
const REQUEST_PATH_DIRS: [&str; 8] = [
    "crates/base/src",
    "crates/daemon/src",
    "crates/http-edge/src",
    "crates/mesh/src",
    "crates/protocol/src",
    "crates/routing/src",
    "crates/sidecar/src",
    "platform/src",
];

/// Names of the users' platform, which only its adapter may contain.
const PLATFORM_NAMES: [&str; 14] = [
    "x-target-instance",
    "x-caller-service",
    "x-not-executed",
    "x-response-stamp",
    "log-append",
    "log-newest",
    "log-read",
    "keyed.op",
    "keyed.status",
    "BRONZEHEAD_BOOT",
    "Instances.Heartbeat",
    "PathPrefix",
    "TargetVersion",
    "WeightedServices",
];

/// Directories of code that may use the platform only through the adapter.
const PRODUCT_DIRS: [&str; 4] = ["crates/", "daemons/", "cli/", "xtask/"];

/// Files in [`PRODUCT_DIRS`] that may contain platform names: the messages of the soak's simulated
/// platform, and this file.
const PLATFORM_NAME_FILES: [&str; 2] = ["xtask/src/soak/wire.rs", "xtask/src/tidy/rules.rs"];

/// Returns the line numbers of violations and what was expected there.
pub fn check(file: &str, text: &str) -> Vec<(usize, String)> {
    let mut found = Vec::new();
    let mut expect = |line: usize, expected: &str| found.push((line, expected.to_owned()));
    if !text.starts_with("//! ") {
        expect(1, "expected a doc comment of the module at the top");
    }
    let lines = text.lines().count();
    if lines >= MAX_LINES {
        expect(lines, "expected fewer than 500 lines");
    }
    for (i, line) in text.lines().enumerate() {
        if i < BANNER_LINES && is_banner(line) {
            expect(i + 1, "expected no licence banner");
        }
        if is_product(file)
            && let Some(name) = PLATFORM_NAMES.iter().find(|name| line.contains(*name))
        {
            expect(
                i + 1,
                &format!("expected no platform name outside its adapter: {name}"),
            );
        }
        if opens_inline_tests(line) {
            expect(i + 1, "expected tests in a file of their own");
        }
        if is_on_request_path(file) && has_word(strip_comment(line), "dyn") {
            expect(i + 1, "expected no `dyn` on the request path");
        }
    }
    found
}

fn is_banner(line: &str) -> bool {
    let line = line.trim_start();
    let is_comment = ["//", "/*", "*"]
        .iter()
        .any(|start| line.starts_with(start));
    let line = line.to_lowercase();
    is_comment && BANNER_WORDS.iter().any(|word| line.contains(word))
}

fn opens_inline_tests(line: &str) -> bool {
    let name = line.trim_start().strip_prefix("mod ");
    name.is_some_and(|name| name.starts_with("test") && line.ends_with('{'))
}

fn is_product(file: &str) -> bool {
    let is_test = file.contains("/tests/") || file.ends_with("/tests.rs");
    !is_test
        && !PLATFORM_NAME_FILES.contains(&file)
        && PRODUCT_DIRS.iter().any(|dir| file.starts_with(dir))
}

fn is_on_request_path(file: &str) -> bool {
    let is_test = file.contains("/tests/") || file.ends_with("/tests.rs");
    !is_test && REQUEST_PATH_DIRS.iter().any(|dir| file.starts_with(dir))
}

fn strip_comment(line: &str) -> &str {
    line.split("//").next().unwrap_or_default()
}

fn has_word(text: &str, word: &str) -> bool {
    let is_other = |c: char| !c.is_alphanumeric() && c != '_';
    text.split(is_other).any(|part| part == word)
}
