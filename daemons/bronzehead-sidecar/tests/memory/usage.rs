//! Memory and descriptors of a process while others make use of it.

use std::fs;
use std::io::ErrorKind;
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::site::Machine;
use crate::site::Setup;

/// Interval between two counts of open descriptors.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Descriptors that the platform reserves for files; sockets and pipes share the others.
const FILE_DESCRIPTORS: usize = 200;

/// Bytes of a megabyte in the settings.
const MEGABYTE: usize = 1_000_000;

/// Time in which a client that repeats its request must be answered: a process that takes longer counts as
/// hanging.
const HANG_TIME: Duration = Duration::from_secs(20);

/// Interval at which a client repeats a request that was refused.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a test asks for its turn.
const TURN_INTERVAL: Duration = Duration::from_millis(50);

/// Address that the running test holds. The threads of all test processes share it.
const TURN: &str = "127.9.0.1:9100";

/// Waits until no other test of the target runs on this machine.
pub fn take_turn() -> TcpListener {
    loop {
        match TcpListener::bind(TURN) {
            Ok(turn) => return turn,
            Err(e) => assert_eq!(e.kind(), ErrorKind::AddrInUse, "{e}"),
        }
        thread::sleep(TURN_INTERVAL);
    }
}

/// Counts a daemon's descriptors until its end.
pub struct Watch {
    machine: Rc<Machine>,
    pid: u32,
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<Descriptors>,
}

/// Largest numbers of open descriptors.
#[derive(Debug, Default, Clone, Copy)]
struct Descriptors {
    all: usize,
    sockets: usize,
}

impl Watch {
    pub fn start(machine: &Rc<Machine>) -> Self {
        let (pid, _) = machine.process();
        let is_over = Arc::new(AtomicBool::new(false));
        let until = Arc::clone(&is_over);
        Self {
            machine: Rc::clone(machine),
            pid,
            is_over,
            thread: thread::spawn(move || {
                let mut peak = Descriptors::default();
                while !until.load(Ordering::Relaxed) {
                    let now = count_descriptors(pid);
                    peak.all = peak.all.max(now.all);
                    peak.sockets = peak.sockets.max(now.sockets);
                    thread::sleep(SAMPLE_INTERVAL);
                }
                peak
            }),
        }
    }

    /// Returns what was exceeded.
    pub fn finish(self, setup: Setup) -> Vec<String> {
        let name = self.machine.ip;
        let (pid, is_running) = self.machine.process();
        self.is_over.store(true, Ordering::Relaxed);
        let descriptors = self.thread.join().expect("counting does not panic");
        if !is_running || pid != self.pid {
            return vec![format!("{name}: the process has ended")];
        }
        let bytes = peak_memory(pid);
        eprintln!(
            "{name}: {} kB at most, {descriptors:?}",
            bytes.div_ceil(1000)
        );
        let mut found = Vec::new();
        let mut check = |what: &str, used: usize, limit: usize| {
            if used >= limit {
                found.push(format!("{name}: {used} {what}, limit {limit}"));
            }
        };
        check("bytes", bytes, setup.memory_mb * MEGABYTE);
        check("descriptors", descriptors.all, setup.max_fds);
        let limit = setup.max_fds - FILE_DESCRIPTORS;
        check("sockets and pipes", descriptors.sockets, limit + 1);
        found
    }
}

/// Returns the peak of the resident memory, in bytes.
fn peak_memory(pid: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let kib: usize = kib.and_then(|kib| kib.parse().ok()).expect("a number");
    kib * 1024
}

fn count_descriptors(pid: u32) -> Descriptors {
    // The process may have ended, which is found out at the end.
    let Ok(dir) = fs::read_dir(format!("/proc/{pid}/fd")) else {
        return Descriptors::default();
    };
    let links = dir.flatten().map(|entry| fs::read_link(entry.path()));
    let links: Vec<PathBuf> = links.map(Result::unwrap_or_default).collect();
    let is_socket = |link: &&PathBuf| {
        let link = link.to_string_lossy();
        link.starts_with("socket:") || link.starts_with("pipe:")
    };
    Descriptors {
        all: links.len(),
        sockets: links.iter().filter(is_socket).count(),
    }
}

/// Sends a request until it succeeds, each time over a new connection; returns whether it did.
pub async fn is_served(machine: &Machine, id: &str) -> bool {
    let end = Instant::now() + HANG_TIME;
    let mut attempt = 0;
    while Instant::now() < end {
        attempt += 1;
        let res = machine.book(&format!("{id}-{attempt}")).await;
        if res.is_some_and(|res| res.status.is_success()) {
            return true;
        }
        monoio::time::sleep(RETRY_INTERVAL).await;
    }
    false
}
