//! Parses the output of `cargo test`.

/// Whether a line of the output is shown to the user.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Show {
    /// The line is printed.
    Print,
    /// The line reports only progress or success and is hidden.
    Hide,
}

/// Names of tests by result, in the form `binary::path::test`.
#[derive(Debug, Default)]
pub struct Report {
    /// Tests that passed.
    pub passed: Vec<String>,
    /// Tests that failed, and binaries that exited without printing a result.
    pub failed: Vec<String>,
    /// Tests that are marked as ignored.
    pub ignored: Vec<String>,
    binary: Option<String>,
}

impl Report {
    /// Parses one line and records the result in it, if any.
    pub fn parse_line(&mut self, line: &str) -> Show {
        if let Some(binary) = parse_binary(line) {
            self.finish();
            self.binary = Some(binary);
            return Show::Hide;
        }
        if let Some((name, result)) = parse_result(line) {
            return self.record_result(name, result);
        }
        if line.starts_with("test result: ") {
            self.binary = None;
            return Show::Hide;
        }
        if is_noise(line) {
            return Show::Hide;
        }
        Show::Print
    }

    /// Marks the end of the output. A binary without a result by then has crashed and counts as
    /// failed.
    pub fn finish(&mut self) {
        if let Some(binary) = self.binary.take() {
            self.failed
                .push(format!("{binary}: ended without a result"));
        }
    }

    fn record_result(&mut self, name: &str, result: &str) -> Show {
        let binary = self.binary.as_deref().unwrap_or("unknown");
        let name = format!("{binary}::{name}");
        if result == "ok" {
            self.passed.push(name);
            return Show::Hide;
        }
        if result.starts_with("ignored") {
            self.ignored.push(name);
            return Show::Print;
        }
        self.failed.push(name);
        Show::Print
    }
}

/// Parses `Running unittests src/lib.rs (target/debug/deps/base-0123456789abcdef)` and
/// `Doc-tests base`.
fn parse_binary(line: &str) -> Option<String> {
    let line = line.trim_start();
    if let Some(name) = line.strip_prefix("Doc-tests ") {
        return Some(format!("{name}(doc)"));
    }
    let path = line.strip_prefix("Running ")?.strip_suffix(')')?;
    let (_, path) = path.rsplit_once('(')?;
    let file = path.rsplit(['/', '\\']).next()?;
    let (name, _) = file.rsplit_once('-')?;
    Some(name.to_owned())
}

/// Parses `test tests::name ... ok`.
fn parse_result(line: &str) -> Option<(&str, &str)> {
    let (name, result) = line.strip_prefix("test ")?.rsplit_once(" ... ")?;
    let name = name.strip_suffix(" - should panic").unwrap_or(name);
    Some((name, result))
}

fn is_noise(line: &str) -> bool {
    let line = line.trim();
    let is_count = line.starts_with("running ") && line.ends_with(['t', 's']);
    let is_build = ["Compiling ", "Finished ", "Blocking ", "Downloaded "]
        .iter()
        .any(|word| line.starts_with(word));
    line.is_empty() || is_count || is_build
}
