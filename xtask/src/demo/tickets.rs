//! Tickets of the demo, derived from the examples, and their publication by the command-line
//! client.

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::SystemTime;

use base::TicketNumber;
use base::units::unix_millis;
use ledger::Ticket;

use crate::error::Result;
use crate::error::TaskError;
use crate::fleet::Fleet;
use crate::process::Interrupt;
use crate::process::Process;
use crate::process::log_path;
use crate::workspace::root;

/// Number of the second ticket, which rolls out a good version of bookings.
pub const GOOD: TicketNumber = 2;
/// Number of the third ticket, which rolls out a bad version of payments.
pub const BAD: TicketNumber = 3;

/// Time from the creation of the good ticket to its rollout's `finish_by`.
pub const ROLLOUT_TIME: Duration = Duration::from_secs(20);

/// Time for which a version is monitored after it receives all calls.
const WATCH_TIME: Duration = Duration::from_secs(3);

/// Timeout for the publication of a ticket to be accepted or refused.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the first example ticket.
pub fn initial() -> Result<Ticket> {
    example("1-tanoa-start.yaml")
}

/// Returns a ticket with the number of the first one and other contents. It has to differ, since
/// the publication of an identical ticket reports it as accepted.
pub fn conflicting() -> Result<Ticket> {
    let mut ticket = initial()?;
    for route in ticket.routes.values_mut() {
        route.timeout *= 2;
    }
    Ok(ticket)
}

/// Returns the second example ticket, with a `finish_by` shortly after now.
pub fn good() -> Result<Ticket> {
    let mut ticket = example("2-tanoa-bookings-v2.yaml")?;
    let finish_by = unix_millis(SystemTime::now() + ROLLOUT_TIME);
    for spec in ticket.services.values_mut() {
        spec.finish_by = Some(finish_by);
        spec.policy.watch = WATCH_TIME;
    }
    Ok(ticket)
}

/// Returns the ticket of [`good`], changed to roll out payments.
pub fn bad() -> Result<Ticket> {
    let mut ticket = good()?;
    ticket.ticket = BAD;
    let specs = std::mem::take(&mut ticket.services);
    ticket.services = specs
        .into_values()
        .map(|spec| ("payments".into(), spec))
        .collect();
    Ok(ticket)
}

fn example(name: &str) -> Result<Ticket> {
    let path = root().join("examples/tickets").join(name);
    let text =
        fs::read_to_string(&path).map_err(|e| TaskError::Io(path.display().to_string(), e))?;
    serde_yaml_ng::from_str(&text).map_err(|e| TaskError::Failed(format!("{name}: {e}")))
}

/// Writes a ticket to `NAME.yaml` in the directory of the fleet.
pub fn write(fleet: &Fleet, name: &str, ticket: &Ticket) -> Result<PathBuf> {
    let path = fleet.dir().join(format!("{name}.yaml"));
    let text = serde_yaml_ng::to_string(ticket).map_err(|e| TaskError::Failed(e.to_string()))?;
    fs::write(&path, text).map_err(|e| TaskError::Io(path.display().to_string(), e))?;
    Ok(path)
}

/// Result of the command-line client.
#[derive(Debug, Clone)]
pub struct CommandOutput {
    /// Exit code, or -1 after a signal.
    pub exit_code: i32,
    /// Last non-empty line of the output.
    pub last_line: String,
}

/// Publishes a ticket; returns once it is accepted or refused.
pub fn publish(
    fleet: &Fleet,
    interrupt: &Interrupt,
    name: &str,
    ticket: &Ticket,
) -> Result<CommandOutput> {
    let file = write(fleet, name, ticket)?.display().to_string();
    let log = fleet.log_addr().to_string();
    let args = ["ticket", "publish", &file, "--log", &log];
    run(
        fleet,
        interrupt,
        &format!("publish-{name}"),
        &args,
        PUBLISH_TIMEOUT,
    )
}

/// Waits until the rollouts of a ticket have ended.
pub fn watch(
    fleet: &Fleet,
    interrupt: &Interrupt,
    number: TicketNumber,
    max_wait: Duration,
) -> Result<CommandOutput> {
    let log = fleet.log_addr().to_string();
    let args = ["ticket", "watch", &number.to_string(), "--log", &log];
    run(
        fleet,
        interrupt,
        &format!("watch-{number}"),
        &args,
        max_wait,
    )
}

/// Checks a ticket without publishing it; returns the exit code.
pub fn check(fleet: &Fleet, ticket: &Ticket) -> Result<i32> {
    let file = write(fleet, "check", ticket)?;
    let status = Command::new(fleet.program("bronzehead"))
        .args(["ticket", "check"])
        .arg(file)
        .args(["--log", &fleet.log_addr().to_string()])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .status()
        .map_err(|e| TaskError::Io("bronzehead".to_owned(), e))?;
    Ok(status.code().unwrap_or(-1))
}

fn run(
    fleet: &Fleet,
    interrupt: &Interrupt,
    name: &str,
    args: &[&str],
    max_wait: Duration,
) -> Result<CommandOutput> {
    let mut process = Process::start(name, &fleet.program("bronzehead"), args, fleet.dir())?;
    let status = process.wait(interrupt, max_wait)?;
    let text = fs::read_to_string(log_path(fleet.dir(), name)).unwrap_or_default();
    let last_line = text.lines().rfind(|line| !line.trim().is_empty());
    Ok(CommandOutput {
        exit_code: status.code().unwrap_or(-1),
        last_line: last_line.unwrap_or_default().to_owned(),
    })
}
