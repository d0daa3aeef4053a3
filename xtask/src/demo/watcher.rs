//! Polls all daemons during the demo and counts those that return to an older configuration.

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

/// Pause between two rounds of polling.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Counts of the statuses that the watcher read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WatchCounts {
    /// Number of statuses that were read.
    pub reads: u64,
    /// Number of statuses that were older than an earlier one of the same daemon.
    pub regressed: u64,
}

/// Newest offset and ticket in the statuses of one daemon.
#[derive(Debug, Clone, Copy, Default)]
pub struct HighWaterMark {
    incarnation: Incarnation,
    next: Offset,
    ticket: TicketNumber,
}

impl HighWaterMark {
    /// Records a status and returns whether it is older than an earlier one.
    ///
    /// A restarted daemon has neither records nor a ticket at first. Its first ticket must not be
    /// older than the last ticket before the restart.
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

/// A thread that polls the status of each daemon.
pub struct Watcher {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<WatchCounts>,
}

impl Watcher {
    /// Starts the thread.
    pub fn start(instances: &[Instance]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let instances = instances.to_vec();
        let thread = thread::spawn(move || watch(&instances, &stopped));
        Self { stop, thread }
    }

    /// Stops the thread and returns its counts.
    pub fn close(self) -> WatchCounts {
        self.stop.store(true, Ordering::Relaxed);
        // After a panic the counts are zero, which fails the check.
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
