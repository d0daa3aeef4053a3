//! Detection of termination signals.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;

/// Interval at which the flag of the signal handlers is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Records whether the process has received SIGTERM or SIGINT.
pub struct Termination {
    flag: Arc<AtomicBool>,
}

impl Termination {
    /// Installs handlers for SIGTERM and SIGINT.
    ///
    /// # Errors
    /// When the operating system rejects a handler.
    pub fn register() -> io::Result<Self> {
        let flag = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGTERM, Arc::clone(&flag))?;
        signal_hook::flag::register(SIGINT, Arc::clone(&flag))?;
        Ok(Self { flag })
    }

    /// Returns once a termination signal has arrived.
    pub async fn wait(&self) {
        while !self.flag.load(Ordering::Relaxed) {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
