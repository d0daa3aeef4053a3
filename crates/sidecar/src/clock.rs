//! The clock that counts the time for which the machine was suspended.

use std::time::Instant;

use mesh::wake::BootTime;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// Returns the time since the start of the machine, including the time for which it was suspended.
pub fn boot_time(start: Instant) -> BootTime {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => time.into(),
        // Without that clock only freezes are detected that the monotonic clock counts.
        Err(e) => {
            log::debug!("clock: no boot time: {e}");
            start.elapsed()
        }
    }
}
