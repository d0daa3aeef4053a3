//! Processor time and memory of a process, from `/proc`.

use std::fs;

use crate::error::Result;
use crate::error::TaskError;

/// Clock ticks of `/proc` in a second, fixed by the kernel's interface.
const TICKS: f64 = 100.0;

/// Field of `/proc/PID/stat` behind the program's name that holds user time; system time follows.
const USER_TIME: usize = 11;

/// Processor time of a process so far, in seconds.
pub fn processor_time(id: u32) -> Result<f64> {
    let text = read(&format!("/proc/{id}/stat"))?;
    parse_stat(&text).ok_or_else(|| TaskError::Broken(format!("/proc/{id}/stat: {text}")))
}

/// Reads user and system time, in seconds. The program's name may hold blanks and brackets.
pub fn parse_stat(text: &str) -> Option<f64> {
    let (_, rest) = text.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(USER_TIME);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS)
}

/// Resident memory of a process, in MiB.
pub fn memory(id: u32) -> Result<f64> {
    let text = read(&format!("/proc/{id}/status"))?;
    parse_memory(&text).ok_or_else(|| TaskError::Broken(format!("/proc/{id}/status: no VmRSS")))
}

/// Reads the resident memory, in MiB.
pub fn parse_memory(text: &str) -> Option<f64> {
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: f64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib / 1024.0)
}

fn read(path: &str) -> Result<String> {
    fs::read_to_string(path).map_err(|e| TaskError::Io(path.to_owned(), e))
}
