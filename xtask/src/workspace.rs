//! Running cargo and finding the workspace.

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

/// Root of the workspace.
pub fn root() -> PathBuf {
    let manifest_dir = Path::new(env!("CARGO_MANIFEST_DIR"));
    manifest_dir.parent().unwrap_or(manifest_dir).to_owned()
}

/// Beginnings of the variables that describe the package which cargo runs. Profile scripts ask to run
/// again when they change, so a cargo inside of another one would build anew each time.
const PACKAGE_VARIABLE_PREFIXES: [&str; 3] = ["CARGO_MANIFEST_", "CARGO_PKG_", "CARGO_BIN_"];

/// The cargo that runs this task, in the root of the workspace and without the variables of the
/// task's manifest_dir package.
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

/// Whether a variable describes the package that cargo runs.
pub fn is_package_variable(name: &str) -> bool {
    PACKAGE_VARIABLE_PREFIXES
        .iter()
        .any(|prefix| name.starts_with(prefix))
}

/// How the programs of the workspace are built.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Profile {
    /// Quickly, with checks.
    Debug,
    /// Fast programs.
    Release,
}

/// Programs that tasks run.
const PACKAGES: [&str; 5] = [
    "bronzeheadd",
    "bronzehead-cli",
    "standin-log",
    "standin-upstream",
    "standin-caller",
];

impl Profile {
    /// Builds the programs that tasks run.
    pub fn build_programs(self, interrupt: &Interrupt) -> Result<()> {
        self.build_packages(&PACKAGES, interrupt)
    }

    /// Builds these packages.
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
            return Err(TaskError::Failed("the build failed".to_owned()));
        }
        Ok(())
    }

    /// Directory of the programs.
    pub fn program_dir(self) -> PathBuf {
        let target = std::env::var_os("CARGO_TARGET_DIR").map(PathBuf::from);
        let target = target.unwrap_or_else(|| root().join("target"));
        target.join(match self {
            Self::Debug => "debug",
            Self::Release => "release",
        })
    }
}

/// Runs a command to its end and hands each line of its output, standard error included, to
/// `each`, in the order in which they were written.
pub fn run_lines(mut command: Command, mut on_line: impl FnMut(&str)) -> io::Result<ExitStatus> {
    let (reader, writer) = io::pipe()?;
    command.stdout(writer.try_clone()?).stderr(writer);
    let mut child = command.spawn()?;
    // The command holds the writing ends; with them open, reading would never end.
    drop(command);
    for line in BufReader::new(reader).split(b'\n') {
        on_line(&String::from_utf8_lossy(&line?));
    }
    child.wait()
}
