//! Style checks that neither rustfmt nor Clippy covers.

pub mod imports;
pub mod rules;

use std::fmt;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::workspace::root;

/// Directories with source files.
const SOURCE_DIRS: [&str; 5] = ["crates", "daemons", "cli", "standins", "xtask"];

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Path of the file, relative to the workspace root.
    pub file: String,
    /// Line number, from 1.
    pub line: usize,
    /// What the rule expects there.
    pub expected: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.expected)
    }
}

/// Checks all source files and prints the findings.
pub fn run() -> ExitCode {
    let findings = match findings(&root()) {
        Ok(findings) => findings,
        Err(e) => {
            println!("tidy: {e}");
            return ExitCode::FAILURE;
        }
    };
    for finding in &findings {
        println!("{finding}");
    }
    println!("{} findings", findings.len());
    if findings.is_empty() {
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}

/// Checks all source files of the workspace at `root`.
pub fn findings(root: &Path) -> io::Result<Vec<Finding>> {
    let mut findings = Vec::new();
    for path in source_files(root)? {
        let text = fs::read_to_string(&path)?;
        let file = path.strip_prefix(root).unwrap_or(&path);
        findings.extend(check_file(&file.display().to_string(), &text));
    }
    Ok(findings)
}

/// Returns all source files of the workspace at `root`, sorted by path.
pub fn source_files(root: &Path) -> io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for dir in SOURCE_DIRS {
        collect(&root.join(dir), &mut files)?;
    }
    files.sort_unstable();
    Ok(files)
}

fn collect(dir: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        if path.is_dir() {
            collect(&path, files)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    Ok(())
}

/// Checks one file; `file` is its path relative to the workspace root.
pub fn check_file(file: &str, text: &str) -> Vec<Finding> {
    let mut found = rules::check(file, text);
    found.extend(imports::check(text));
    found.sort_unstable();
    let finding = |(line, expected): (usize, String)| Finding {
        file: file.to_owned(),
        line,
        expected,
    };
    found.into_iter().map(finding).collect()
}
