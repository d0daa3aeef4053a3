//! Signals that ask a process to end.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;

/// How often the flag is looked at.
const POLL: Duration = Duration::from_millis(20);

/// Set once the process was asked to end.
pub struct Termination {
    flag: Arc<AtomicBool>,
}

impl Termination {
    /// Takes over SIGTERM and SIGINT.
    ///
    /// # Errors
    /// When the system refuses the handlers.
    pub fn register() -> io::Result<Self> {
        let flag = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGTERM, Arc::clone(&flag))?;
        signal_hook::flag::register(SIGINT, Arc::clone(&flag))?;
        Ok(Self { flag })
    }

    /// Returns once the process was asked to end.
    pub async fn wait(&self) {
        while !self.flag.load(Ordering::Relaxed) {
            monoio::time::sleep(POLL).await;
        }
    }
}
