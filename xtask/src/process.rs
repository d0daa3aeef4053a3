//! Child processes of a task, and interruption of the task by a signal.

use std::ffi::OsStr;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;

use crate::error::Result;
use crate::error::TaskError;

/// Interval at which awaited conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Flag that is set once the operator interrupts the task.
#[derive(Debug, Clone)]
pub struct Interrupt {
    flag: Arc<AtomicBool>,
}

impl Interrupt {
    /// Installs handlers for SIGINT, SIGTERM and SIGHUP that set the flag.
    pub fn register() -> Result<Self> {
        let flag = Arc::new(AtomicBool::new(false));
        for signal in [SIGINT, SIGTERM, SIGHUP] {
            signal_hook::flag::register(signal, Arc::clone(&flag))
                .map_err(|e| TaskError::Io("signals".to_owned(), e))?;
        }
        Ok(Self { flag })
    }

    /// Returns [`TaskError::Interrupted`] once the flag is set.
    pub fn check(&self) -> Result<()> {
        if self.flag.load(Ordering::Relaxed) {
            return Err(TaskError::Interrupted);
        }
        Ok(())
    }

    /// Sleeps for `time`, or until the task is interrupted.
    pub fn pause(&self, time: Duration) -> Result<()> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.check()?;
            thread::sleep(POLL_INTERVAL);
        }
        self.check()
    }

    /// Polls until `poll` returns a value; `what` names the awaited condition in the time-out
    /// error.
    pub fn wait_until<T>(
        &self,
        what: &str,
        timeout: Duration,
        mut poll: impl FnMut() -> Option<T>,
    ) -> Result<T> {
        let end = Instant::now() + timeout;
        loop {
            if let Some(found) = poll() {
                return Ok(found);
            }
            if Instant::now() > end {
                return Err(TaskError::TimedOut(what.to_owned()));
            }
            self.pause(POLL_INTERVAL)?;
        }
    }
}

/// Signals that tasks send to their processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM.
    Terminate,
    /// SIGHUP, on which a daemon reloads its settings.
    Reload,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Continue,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Self::Terminate => "TERM",
            Self::Reload => "HUP",
            Self::Stop => "STOP",
            Self::Continue => "CONT",
        }
    }
}

/// A child process; killed when dropped.
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts a program and appends its output to `NAME.log` in `dir`.
    pub fn start<S: AsRef<OsStr>>(
        name: &str,
        program: &Path,
        args: impl IntoIterator<Item = S>,
        dir: &Path,
    ) -> Result<Self> {
        let mut command = Command::new(program);
        command.args(args);
        Self::spawn(name, command, dir)
    }

    /// Starts a command and appends its output to `NAME.log` in `dir`.
    pub fn spawn(name: &str, mut command: Command, dir: &Path) -> Result<Self> {
        let path = log_path(dir, name);
        let file = File::options().create(true).append(true).open(&path);
        let out = file.map_err(|e| TaskError::Io(path.display().to_string(), e))?;
        let err = out
            .try_clone()
            .map_err(|e| TaskError::Io(path.display().to_string(), e))?;
        let program = command.get_program().to_string_lossy().into_owned();
        let child = command
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .map_err(|e| TaskError::Io(program, e))?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// Starts a command that inherits the standard output and error of this task.
    pub fn spawn_inherited(name: &str, mut command: Command) -> Result<Self> {
        let child = command
            .stdin(Stdio::null())
            .spawn()
            .map_err(|e| TaskError::Io(name.to_owned(), e))?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// Returns the name that the task gave to the process.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Sends SIGTERM.
    pub fn terminate(&mut self) -> Result<()> {
        self.signal(Signal::Terminate)
    }

    /// Sends a signal, unless the process has exited.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        if self.exit_status().is_some() {
            return Ok(());
        }
        // The standard library sends only SIGKILL; each POSIX shell can send the other signals.
        Command::new("sh")
            .args(["-c", "kill -\"$1\" \"$2\"", "sh"])
            .args([signal.name(), &self.pid().to_string()])
            .status()
            .map_err(|e| TaskError::Io("kill".to_owned(), e))?;
        Ok(())
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(self) {
        drop(self);
    }

    /// Waits until the process exits.
    pub fn wait(&mut self, interrupt: &Interrupt, timeout: Duration) -> Result<ExitStatus> {
        let what = format!("{} to exit", self.name);
        interrupt.wait_until(&what, timeout, || self.exit_status())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.exit_status().is_none() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

/// Sends SIGTERM to all processes, waits up to `timeout` for them to exit, and kills the rest.
pub fn terminate_all(processes: &mut Vec<Process>, timeout: Duration) {
    for process in processes.iter_mut() {
        let _ = process.terminate();
    }
    let end = Instant::now() + timeout;
    while Instant::now() < end
        && processes
            .iter_mut()
            .any(|process| process.exit_status().is_none())
    {
        thread::sleep(POLL_INTERVAL);
    }
    processes.clear();
}

/// Returns the path of the file that receives the output of a process.
pub fn log_path(dir: &Path, name: &str) -> PathBuf {
    dir.join(format!("{name}.log"))
}
