//! Processor time and memory of a process, from `/proc`.

use std::fs;

use crate::error::Result;
use crate::error::TaskError;

/// Clock ticks of `/proc` in a second, fixed by the kernel's interface.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Field of `/proc/PID/stat` behind the program's name that holds user time; system time follows.
const UTIME_FIELD: usize = 11;

/// Processor time of a process so far, in seconds.
pub fn cpu_time(pid: u32) -> Result<f64> {
    let text = read(&format!("/proc/{pid}/stat"))?;
    parse_stat(&text).ok_or_else(|| TaskError::Failed(format!("/proc/{pid}/stat: {text}")))
}

/// Reads user and system time, in seconds. The program's name may hold blanks and brackets.
pub fn parse_stat(text: &str) -> Option<f64> {
    let (_, rest) = text.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(UTIME_FIELD);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / CLOCK_TICKS_PER_SECOND)
}

/// Resident memory of a process, in MiB.
pub fn resident_memory(pid: u32) -> Result<f64> {
    let text = read(&format!("/proc/{pid}/status"))?;
    parse_resident_memory(&text)
        .ok_or_else(|| TaskError::Failed(format!("/proc/{pid}/status: no VmRSS")))
}

/// Reads the resident memory, in MiB.
pub fn parse_resident_memory(text: &str) -> Option<f64> {
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: f64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib / 1024.0)
}

fn read(path: &str) -> Result<String> {
    fs::read_to_string(path).map_err(|e| TaskError::Io(path.to_owned(), e))
}
