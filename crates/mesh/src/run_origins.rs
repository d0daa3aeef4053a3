//! How many of the calls that the local instance makes stem from repeated runs.
//!
//! Load pattern: a service rejects or loses a part of its requests, and so does one that it calls. A
//! repeated run makes its calls again, which the platform counts as repeats at the services called. A call
//! carries nothing that names its parent, but it passes the daemon beside its instance, which knows the
//! requests that run there, and it ends no later than its parent.

use std::time::Duration;
use std::time::Instant;

use base::FastMap;

/// Expected share of repeats in requests, in thousandths.
pub type RepeatShare = u16;

/// Share of a request that is a repeat for certain.
pub const REPEATED: RepeatShare = 1000;

/// Time by which the deadline of a call may seem later than that of its parent: rounding to
/// milliseconds, and the way from the daemon to the instance and back.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(10);

/// Requests that the local instance runs, by a key of the caller.
#[derive(Debug, Default)]
pub struct RunOrigins {
    runs: FastMap<u64, Run>,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    deadline: Instant,
    repeated: RepeatShare,
}

impl RunOrigins {
    /// Records that a request begins to run.
    pub fn run_started(&mut self, key: u64, deadline: Instant, repeated: RepeatShare) {
        self.runs.insert(key, Run { deadline, repeated });
    }

    /// Records that a request no longer runs; it need not have begun.
    pub fn run_ended(&mut self, key: u64) {
        self.runs.remove(&key);
    }

    /// Returns the expected share of repeats in a request that starts on this machine: that of the runs
    /// which may have made it, or 0 if none may.
    #[must_use]
    pub fn share_of(&self, deadline: Instant) -> RepeatShare {
        let (mut count, mut sum) = (0_u32, 0_u32);
        for run in self.runs.values() {
            if deadline <= run.deadline + DEADLINE_TOLERANCE {
                count += 1;
                sum += u32::from(run.repeated);
            }
        }
        let mean = sum.checked_div(count).unwrap_or(0);
        RepeatShare::try_from(mean).unwrap_or(REPEATED)
    }
}
