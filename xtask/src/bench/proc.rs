//! Processor time and resident memory of a process, read from `/proc`.

use std::fs;

use crate::error::Result;
use crate::error::TaskError;

/// Clock ticks per second in `/proc/PID/stat` (`USER_HZ`), a fixed part of the kernel interface.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Index of `utime` among the fields of `/proc/PID/stat` after the program name; `stime` follows
/// it.
const UTIME_FIELD: usize = 11;

/// Returns the user and system time of a process since its start, in seconds.
pub fn cpu_time(pid: u32) -> Result<f64> {
    let text = read(&format!("/proc/{pid}/stat"))?;
    parse_stat(&text).ok_or_else(|| TaskError::Failed(format!("/proc/{pid}/stat: {text}")))
}

/// Parses the sum of user and system time, in seconds. The program name may contain spaces and
/// parentheses.
pub fn parse_stat(text: &str) -> Option<f64> {
    let (_, rest) = text.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(UTIME_FIELD);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / CLOCK_TICKS_PER_SECOND)
}

/// Returns the resident memory of a process, in MiB.
pub fn resident_memory(pid: u32) -> Result<f64> {
    let text = read(&format!("/proc/{pid}/status"))?;
    parse_resident_memory(&text)
        .ok_or_else(|| TaskError::Failed(format!("/proc/{pid}/status: no VmRSS")))
}

/// Parses the resident memory from `/proc/PID/status`, in MiB.
pub fn parse_resident_memory(text: &str) -> Option<f64> {
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: f64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib / 1024.0)
}

fn read(path: &str) -> Result<String> {
    fs::read_to_string(path).map_err(|e| TaskError::Io(path.to_owned(), e))
}
