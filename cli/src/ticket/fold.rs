//! Reads the log up to a deadline.

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

/// How long a command that only looks waits for the log.
pub const LOOK_WITHIN: Duration = Duration::from_secs(10);

/// Longest wait of one read.
const READ_WAIT: Duration = Duration::from_secs(5);

/// What the last step brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The state may have changed.
    Moved,
    /// The state holds all that the log has.
    CaughtUp,
    /// The time is up.
    TimeUp,
}

/// Folds the log until a deadline.
pub struct Fold {
    follower: Follower,
    deadline: Option<Instant>,
    last_error: Option<LogError>,
}

impl Fold {
    /// Starts with nothing; without a limit it goes on for good.
    pub fn new(address: SocketAddr, within: Option<Duration>) -> Self {
        let cfg = LogCfg {
            append_timeout: within.unwrap_or(LOOK_WITHIN),
            seed: unique(),
            ..LogCfg::default()
        };
        Self {
            follower: Follower::cold_start(address, cfg),
            deadline: within.map(|within| Instant::now() + within),
            last_error: None,
        }
    }

    /// The state so far.
    pub fn state(&self) -> &State {
        self.follower.state()
    }

    /// The follower, for appends.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// Reads everything that the log has.
    ///
    /// # Errors
    /// When the log does not give it in time.
    pub async fn catch_up(&mut self) -> Result<(), CliError> {
        loop {
            match self.step(Duration::ZERO).await {
                Step::Moved => {}
                Step::CaughtUp => return Ok(()),
                Step::TimeUp => return Err(self.time_up()),
            }
        }
    }

    /// Takes one step and waits for a new record where there is none.
    pub async fn next(&mut self) -> Step {
        self.step(READ_WAIT).await
    }

    /// The error of a command whose time is up.
    pub fn time_up(&self) -> CliError {
        CliError::Failed(match &self.last_error {
            Some(e) => e.to_string(),
            None => "the log did not answer in time".to_owned(),
        })
    }

    async fn step(&mut self, wait: Duration) -> Step {
        let Some(deadline) = self.deadline else {
            let progress = self.follower.advance(wait).await;
            return self.note(progress);
        };
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Step::TimeUp;
        }
        match monoio::time::timeout(left, self.follower.advance(wait.min(left))).await {
            Ok(progress) => self.note(progress),
            Err(_) => Step::TimeUp,
        }
    }

    fn note(&mut self, progress: Progress) -> Step {
        match progress {
            Progress::CaughtUp => {
                self.last_error = None;
                return Step::CaughtUp;
            }
            Progress::Folded(_) | Progress::Restored => self.last_error = None,
            Progress::Failed(e) => self.note_error(e),
            Progress::NoSnapshot | Progress::Waited => {}
        }
        Step::Moved
    }

    fn note_error(&mut self, error: LogError) {
        if self.last_error.as_ref() != Some(&error) {
            eprintln!("waiting: {error}");
        }
        self.last_error = Some(error);
    }
}

/// The wall clock.
pub fn now() -> UnixMillis {
    unix_millis(SystemTime::now())
}

/// A number that no other run of the command line has.
pub fn unique() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let nanos = since.unwrap_or_default().as_nanos();
    hash::stable(&[&nanos.to_le_bytes(), &std::process::id().to_le_bytes()])
}
