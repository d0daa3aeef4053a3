//! The workspace root, and cargo commands that run in it.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::ExitStatus;

use crate::error::Result;
use crate::error::TaskError;
use crate::process::Interrupt;

/// Returns the root directory of the workspace.
pub fn root() -> PathBuf {
    let manifest_dir = Path::new(env!("CARGO_MANIFEST_DIR"));
    manifest_dir.parent().unwrap_or(manifest_dir).to_owned()
}

/// Prefixes of the environment variables that describe the package that cargo runs. Build scripts
/// rerun when these variables change, so a nested cargo would rebuild each time if it inherited
/// them.
const PACKAGE_VARIABLE_PREFIXES: [&str; 3] = ["CARGO_MANIFEST_", "CARGO_PKG_", "CARGO_BIN_"];

/// Returns a command for the cargo that runs this task, in the workspace root and without the
/// variables that describe the xtask package.
pub fn cargo(args: &[&str]) -> Command {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.current_dir(root()).args(args);
    for (name, _) in std::env::vars_os() {
        if is_package_variable(&name.to_string_lossy()) {
            command.env_remove(name);
        }
    }
    command
}

/// Returns whether a variable describes the package that cargo runs.
pub fn is_package_variable(name: &str) -> bool {
    PACKAGE_VARIABLE_PREFIXES
        .iter()
        .any(|prefix| name.starts_with(prefix))
}

/// Cargo profile that the programs of the workspace are built with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Profile {
    /// The `dev` profile.
    Debug,
    /// The `release` profile.
    Release,
}

/// Packages whose programs the demo and the benchmarks run.
const PACKAGES: [&str; 5] = [
    "bronzeheadd",
    "bronzehead-cli",
    "standin-log",
    "standin-upstream",
    "standin-caller",
];

impl Profile {
    /// Builds the programs of the demo and the benchmarks.
    pub fn build_programs(self, interrupt: &Interrupt) -> Result<()> {
        self.build_packages(&PACKAGES, interrupt)
    }

    /// Builds the given packages.
    pub fn build_packages(self, packages: &[&str], interrupt: &Interrupt) -> Result<()> {
        println!("build");
        let mut command = cargo(&["build", "--quiet", "--locked"]);
        if self == Self::Release {
            command.arg("--release");
        }
        for package in packages {
            command.args(["--package", package]);
        }
        let status = command
            .status()
            .map_err(|e| TaskError::Io("cargo build".to_owned(), e))?;
        interrupt.check()?;
        if !status.success() {
            return Err(TaskError::Failed("cargo build failed".to_owned()));
        }
        Ok(())
    }

    /// Returns the directory that cargo writes the programs to.
    pub fn program_dir(self) -> PathBuf {
        let target = std::env::var_os("CARGO_TARGET_DIR").map(PathBuf::from);
        let target = target.unwrap_or_else(|| root().join("target"));
        target.join(match self {
            Self::Debug => "debug",
            Self::Release => "release",
        })
    }
}

/// Runs a command to completion and passes each line of its standard output and standard error to
/// `on_line`, in the order in which they were written.
pub fn run_lines(mut command: Command, mut on_line: impl FnMut(&str)) -> io::Result<ExitStatus> {
    let (reader, writer) = io::pipe()?;
    command.stdout(writer.try_clone()?).stderr(writer);
    let mut child = command.spawn()?;
    // The command holds the write ends of the pipe; the reader sees no end of file while they are
    // open.
    drop(command);
    for line in BufReader::new(reader).split(b'\n') {
        on_line(&String::from_utf8_lossy(&line?));
    }
    child.wait()
}
