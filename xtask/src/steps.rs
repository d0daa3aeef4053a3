//! Running cargo and finding the workspace.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::ExitStatus;

/// Root of the workspace.
pub fn root() -> PathBuf {
    let own = Path::new(env!("CARGO_MANIFEST_DIR"));
    own.parent().unwrap_or(own).to_owned()
}

/// The cargo that runs this task, in the root of the workspace.
pub fn cargo(args: &[&str]) -> Command {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.current_dir(root()).args(args);
    command
}

/// Runs a command to its end and hands each line of its output, standard error included, to
/// `each`, in the order in which they were written.
pub fn run_lines(mut command: Command, mut each: impl FnMut(&str)) -> io::Result<ExitStatus> {
    let (reader, writer) = io::pipe()?;
    command.stdout(writer.try_clone()?).stderr(writer);
    let mut child = command.spawn()?;
    // The command holds the writing ends; with them open, reading would never end.
    drop(command);
    for line in BufReader::new(reader).split(b'\n') {
        each(&String::from_utf8_lossy(&line?));
    }
    child.wait()
}
