//! Watches all daemons while the demo runs: none may go back to an older configuration.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use base::Incarnation;
use base::Offset;
use base::TicketNumber;
use protocol::status::Status;

use crate::client;
use crate::fleet::Instance;

/// Pause between two rounds over all daemons.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What the watcher saw.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WatchCounts {
    /// Statuses that were read.
    pub reads: u64,
    /// Statuses that were older than an earlier one of the same daemon.
    pub regressed: u64,
}

/// Newest that was seen of one daemon.
#[derive(Debug, Clone, Copy, Default)]
pub struct HighWaterMark {
    incarnation: Incarnation,
    next: Offset,
    ticket: TicketNumber,
}

impl HighWaterMark {
    /// Takes in a status; tells whether it is older than an earlier one.
    ///
    /// A daemon that has restarted holds nothing at first; from its first ticket on, that one
    /// must not be older than what the daemon had before.
    pub fn observe(&mut self, status: &Status) -> bool {
        if status.incarnation != self.incarnation {
            self.incarnation = status.incarnation;
            self.next = 0;
        }
        let regressed =
            status.next < self.next || (status.ticket > 0 && status.ticket < self.ticket);
        self.next = self.next.max(status.next);
        self.ticket = self.ticket.max(status.ticket);
        regressed
    }
}

/// A thread that reads the status of each daemon again and again.
pub struct Watcher {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<WatchCounts>,
}

impl Watcher {
    /// Starts to watch.
    pub fn start(instances: &[Instance]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let instances = instances.to_vec();
        let thread = thread::spawn(move || watch(&instances, &stopped));
        Self { stop, thread }
    }

    /// Stops to watch.
    pub fn close(self) -> WatchCounts {
        self.stop.store(true, Ordering::Relaxed);
        // A watcher that panicked has seen nothing, which fails its check.
        self.thread.join().unwrap_or_default()
    }
}

fn watch(instances: &[Instance], stop: &AtomicBool) -> WatchCounts {
    let mut marks = vec![HighWaterMark::default(); instances.len()];
    let mut watched = WatchCounts::default();
    while !stop.load(Ordering::Relaxed) {
        for (instance, mark) in instances.iter().zip(&mut marks) {
            if let Ok(status) = client::status(instance.local_addr()) {
                watched.reads += 1;
                watched.regressed += u64::from(mark.observe(&status));
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
    watched
}
