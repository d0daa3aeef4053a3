//! Reads the platform's log up to a deadline, and builds the ledger's state from its records.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use base::UnixMillis;
use base::hash;
use base::units::unix_millis;
use ledger::State;
use platform::Follower;
use platform::LogCfg;
use platform::LogError;
use platform::Progress;

use crate::exit::CliError;

/// Time that a command which only reads waits for the log.
pub const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time that one read waits for new records.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of one step of a [`LogReader`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The state may have changed, or a failed read is about to be retried.
    Advanced,
    /// The state includes every record of the log.
    CaughtUp,
    /// The deadline has passed.
    TimedOut,
}

/// Applies the records of the log to a state until a deadline.
pub struct LogReader {
    follower: Follower,
    deadline: Option<Instant>,
    last_error: Option<LogError>,
}

impl LogReader {
    /// Starts from an empty state. `within` sets the deadline; `None` reads without one.
    pub fn new(address: SocketAddr, within: Option<Duration>) -> Self {
        let cfg = LogCfg {
            append_timeout: within.unwrap_or(READ_TIMEOUT),
            seed: unique_id(),
            ..LogCfg::default()
        };
        Self {
            follower: Follower::cold_start(address, cfg),
            deadline: within.map(|within| Instant::now() + within),
            last_error: None,
        }
    }

    /// Returns the state built so far.
    pub fn state(&self) -> &State {
        self.follower.state()
    }

    /// Returns the follower, whose client appends records.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// Reads until the state includes every record of the log.
    ///
    /// # Errors
    /// Fails when the deadline passes first.
    pub async fn catch_up(&mut self) -> Result<(), CliError> {
        loop {
            match self.step(Duration::ZERO).await {
                Step::Advanced => {}
                Step::CaughtUp => return Ok(()),
                Step::TimedOut => return Err(self.timeout_error()),
            }
        }
    }

    /// Takes one step. Waits up to `LONG_POLL_TIMEOUT` for a new record when there is none.
    pub async fn next(&mut self) -> Step {
        self.step(LONG_POLL_TIMEOUT).await
    }

    /// Returns the error for a passed deadline: the last error of the log if there is one.
    pub fn timeout_error(&self) -> CliError {
        CliError::Failed(match &self.last_error {
            Some(e) => e.to_string(),
            None => "the log did not answer in time".to_owned(),
        })
    }

    async fn step(&mut self, wait: Duration) -> Step {
        let Some(deadline) = self.deadline else {
            let progress = self.follower.advance(wait).await;
            return self.record_progress(progress);
        };
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Step::TimedOut;
        }
        match monoio::time::timeout(left, self.follower.advance(wait.min(left))).await {
            Ok(progress) => self.record_progress(progress),
            Err(_) => Step::TimedOut,
        }
    }

    fn record_progress(&mut self, progress: Progress) -> Step {
        match progress {
            Progress::CaughtUp => {
                self.last_error = None;
                return Step::CaughtUp;
            }
            Progress::Folded(_) | Progress::Restored => self.last_error = None,
            Progress::Failed(e) => self.record_error(e),
            Progress::NoSnapshot | Progress::Waited => {}
        }
        Step::Advanced
    }

    fn record_error(&mut self, error: LogError) {
        if self.last_error.as_ref() != Some(&error) {
            eprintln!("waiting: {error}");
        }
        self.last_error = Some(error);
    }
}

/// Returns the wall-clock time.
pub fn now() -> UnixMillis {
    unix_millis(SystemTime::now())
}

/// Returns a hash of the wall clock and the process id, which differs between runs.
pub fn unique_id() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let nanos = since.unwrap_or_default().as_nanos();
    hash::stable(&[&nanos.to_le_bytes(), &std::process::id().to_le_bytes()])
}
