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
const PAUSE: Duration = Duration::from_millis(50);

/// What the watcher saw.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Watched {
    /// Statuses that were read.
    pub looks: u64,
    /// Statuses that were older than an earlier one of the same daemon.
    pub reverted: u64,
}

/// Newest that was seen of one daemon.
#[derive(Debug, Clone, Copy, Default)]
pub struct Newest {
    incarnation: Incarnation,
    next: Offset,
    ticket: TicketNumber,
}

impl Newest {
    /// Takes in a status; tells whether it is older than an earlier one.
    ///
    /// A daemon that has restarted holds nothing at first; from its first ticket on, that one
    /// must not be older than what the daemon had before.
    pub fn is_reverted_by(&mut self, status: &Status) -> bool {
        if status.incarnation != self.incarnation {
            self.incarnation = status.incarnation;
            self.next = 0;
        }
        let reverted =
            status.next < self.next || (status.ticket > 0 && status.ticket < self.ticket);
        self.next = self.next.max(status.next);
        self.ticket = self.ticket.max(status.ticket);
        reverted
    }
}

/// A thread that reads the status of each daemon again and again.
pub struct Watcher {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Watched>,
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
    pub fn close(self) -> Watched {
        self.stop.store(true, Ordering::Relaxed);
        // A watcher that panicked has seen nothing, which fails its check.
        self.thread.join().unwrap_or_default()
    }
}

fn watch(instances: &[Instance], stop: &AtomicBool) -> Watched {
    let mut newest = vec![Newest::default(); instances.len()];
    let mut watched = Watched::default();
    while !stop.load(Ordering::Relaxed) {
        for (instance, newest) in instances.iter().zip(&mut newest) {
            if let Ok(status) = client::status(instance.local()) {
                watched.looks += 1;
                watched.reverted += u64::from(newest.is_reverted_by(&status));
            }
        }
        thread::sleep(PAUSE);
    }
    watched
}
