//! Fixture: daemons and a log, each on its own thread and runtime, at loopback addresses.
//!
//! A kill drops the runtime without a leave announcement. Sockets of a dropped runtime may stay open
//! without replying, like those of a frozen machine. A restarted daemon therefore uses another
//! address, as a replacement instance does.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use base::Offset;
use base::TicketNumber;
use daemon::Daemon;
use ledger::Entry;
use ledger::Record;
use platform::LogCfg;
use platform::LogClient;
use platform::RECORD_STREAM;
use settings::Settings;
use standin_log::Cfg;
use standin_log::Faults;
use standin_log::Outage;
use standin_log::StreamCounters;

/// Time between two updates of the values that threads exchange with the test.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of a wait. It only ends a test that hangs; no result depends on it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// A thread with its own runtime, which can be killed.
struct Worker {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    fn start(run: impl FnOnce(Arc<AtomicBool>) + Send + 'static) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_flag = Arc::clone(&stop);
        let thread = std::thread::spawn(move || run(stop_flag));
        Self {
            stop,
            thread: Some(thread),
        }
    }

    fn kill(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the thread ends");
        }
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// The stand-in for the log.
pub struct Log {
    worker: Worker,
    address: SocketAddr,
    outage: Arc<Mutex<Outage>>,
    seen: Arc<Mutex<StreamCounters>>,
}

impl Log {
    pub fn start() -> Self {
        let outage = Arc::new(Mutex::new(Outage::None));
        let seen = Arc::new(Mutex::new(StreamCounters::default()));
        let (tx, rx) = std::sync::mpsc::channel();
        let (requested_outage, observed_by_thread) = (Arc::clone(&outage), Arc::clone(&seen));
        let worker = Worker::start(move |stop| {
            http_edge::block_on(async move {
                let (log, address) = standin_log::serve_local(Cfg::default()).expect("a socket");
                tx.send(address).expect("the test waits");
                while !stop.load(Ordering::Relaxed) {
                    let outage = *requested_outage.lock().expect("no panic");
                    log.set_faults(&Faults {
                        outage: Some(outage),
                        ..Faults::default()
                    });
                    let counters = log.counters();
                    *observed_by_thread.lock().expect("no panic") = counters
                        .streams
                        .get(RECORD_STREAM)
                        .copied()
                        .unwrap_or_default();
                    monoio::time::sleep(POLL_INTERVAL).await;
                }
            });
        });
        Self {
            worker,
            address: rx.recv().expect("the log starts"),
            outage,
            seen,
        }
    }

    pub fn set_outage(&self, outage: Outage) {
        *self.outage.lock().expect("no panic") = outage;
        std::thread::sleep(POLL_INTERVAL * 3);
    }

    /// Counters of the record stream, after a pause in which running reads end.
    pub fn counters(&self) -> StreamCounters {
        std::thread::sleep(POLL_INTERVAL * 10);
        *self.seen.lock().expect("no panic")
    }

    /// Publishes a ticket that adds one service.
    pub fn publish(&self, number: TicketNumber) {
        self.publish_services(number, 1);
    }

    /// Publishes a ticket that adds `services` services.
    pub fn publish_services(&self, number: TicketNumber, services: usize) {
        let services: Vec<_> = (0..services)
            .map(|it| format!("  s{number}-{it}: {{ version: v1 }}"))
            .collect();
        let text = format!("ticket: {number}\nservices:\n{}\n", services.join("\n"));
        let entry = Entry {
            id: format!("test-{number}").into(),
            at: number,
            record: Record::Ticket(ledger::parse_ticket(&text).expect("a ticket")),
        };
        let address = self.address;
        http_edge::block_on(async move {
            let client = LogClient::new(address, RECORD_STREAM, LogCfg::default());
            client.append(&entry).await.expect("the log is up");
        });
    }

    pub fn close(mut self) {
        self.worker.kill();
    }
}

/// Observed values of one daemon.
#[derive(Debug, Clone, Copy, Default)]
pub struct Observed {
    pub next: Offset,
    pub ticket: TicketNumber,
    pub peers: usize,
    /// Whether the offset or the ticket ever decreased since this daemon started.
    pub went_back: bool,
}

/// Daemons in two zones with a log.
pub struct Fleet {
    pub log: Log,
    subnet: u8,
    nodes: Vec<Node>,
    /// Number of starts so far; each start uses its own address.
    starts: usize,
}

struct Node {
    worker: Worker,
    seen: Arc<Mutex<Observed>>,
}

impl Fleet {
    /// Starts `count` daemons and waits until they know each other. Tests that run concurrently use
    /// different subnets.
    pub fn start(subnet: u8, count: usize) -> Self {
        let log = Log::start();
        let mut fleet = Self {
            log,
            subnet,
            nodes: Vec::new(),
            starts: 0,
        };
        for number in 0..count {
            let node = fleet.start_node(number, count);
            fleet.nodes.push(node);
        }
        fleet.wait("all know each other", |seen| seen.peers == count);
        fleet
    }

    pub fn restart(&mut self, number: usize) {
        self.kill(number);
        self.nodes[number] = self.start_node(number, self.nodes.len());
    }

    fn start_node(&mut self, number: usize, count: usize) -> Node {
        self.starts += 1;
        let text = settings(self.subnet, number, self.starts, count, self.log.address);
        start(Settings::parse(&text, "test").expect("settings"))
    }

    pub fn kill(&mut self, number: usize) {
        self.nodes[number].worker.kill();
    }

    pub fn seen(&self, number: usize) -> Observed {
        *self.nodes[number].seen.lock().expect("no panic")
    }

    /// Waits until the values of all running daemons meet the condition.
    pub fn wait(&self, what: &str, is_met: impl Fn(Observed) -> bool) {
        let running: Vec<_> = (0..self.nodes.len())
            .filter(|it| self.nodes[*it].worker.thread.is_some())
            .collect();
        let start = Instant::now();
        while !running.iter().all(|it| is_met(self.seen(*it))) {
            let seen: Vec<_> = running.iter().map(|it| (*it, self.seen(*it))).collect();
            assert!(start.elapsed() < WAIT_TIMEOUT, "{what}: {seen:?}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Kills all daemons and the log; fails if the state of a daemon ever went back.
    pub fn close(mut self) {
        for number in 0..self.nodes.len() {
            assert!(
                !self.seen(number).went_back,
                "the state of daemon {number} went back"
            );
            self.kill(number);
        }
        self.log.close();
    }
}

fn start(settings: Settings) -> Node {
    let seen = Arc::new(Mutex::new(Observed::default()));
    let observed_by_thread = Arc::clone(&seen);
    let worker = Worker::start(move |stop| {
        http_edge::block_on(async move {
            let daemon = Daemon::start(settings).expect("its addresses are free");
            while !stop.load(Ordering::Relaxed) {
                update_observed(&daemon, &observed_by_thread);
                monoio::time::sleep(POLL_INTERVAL).await;
            }
        });
    });
    Node { worker, seen }
}

fn update_observed(daemon: &Daemon, observed_by_thread: &Mutex<Observed>) {
    let shared = daemon.shared_state();
    let state = shared.state.get();
    let mut seen = observed_by_thread.lock().expect("no panic");
    let went_back = state.next < seen.next || state.ticket < seen.ticket;
    *seen = Observed {
        next: state.next,
        ticket: state.ticket,
        peers: shared.peers.get().len(),
        went_back: seen.went_back || went_back,
    };
}

/// Settings of a daemon. Even numbers are in zone `a`, odd ones in zone `b`; the seeds are the last
/// three daemons of the first start.
fn settings(
    subnet: u8,
    number: usize,
    start_number: usize,
    count: usize,
    log: SocketAddr,
) -> String {
    let ip = |start_number: usize| format!("127.77.{subnet}.{start_number}");
    let me = ip(start_number);
    let zone = if number.is_multiple_of(2) { "a" } else { "b" };
    let seeds: Vec<_> = (count - 2..=count)
        .filter(|it| *it != start_number)
        .map(|it| format!("\"{}:7302\"", ip(it)))
        .collect();
    let seeds = seeds.join(", ");
    format!(
        "daemon: d{number}\nzone: {zone}\n\
         listen:\n  calls: {me}:7301\n  peers: {me}:7302\n  local: {me}:7303\n\
         log:\n  address: {log}\n  timeout: 500ms\n\
         seeds: [{seeds}]\n\
         timing:\n  probe_every: 250ms\n  suspicion: 1s\n"
    )
}
