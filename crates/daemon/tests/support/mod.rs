//! Daemons and a log, each on a thread and runtime of its own, at loopback addresses.
//!
//! A kill drops the runtime and tells nobody. Sockets of a dropped runtime may stay open and
//! silent, as those of a frozen machine do; so a restarted daemon takes another address, as an
//! instance does that replaces another one.

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

/// How often threads look at their orders and show what they see.
const GLANCE: Duration = Duration::from_millis(20);

/// A wait that lasts longer is taken for a hang.
const PATIENCE: Duration = Duration::from_secs(90);

/// A thread with a runtime that can be killed.
struct Worker {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    fn start(run: impl FnOnce(Arc<AtomicBool>) + Send + 'static) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let order = Arc::clone(&stop);
        let thread = std::thread::spawn(move || run(order));
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
        let (orders, shown) = (Arc::clone(&outage), Arc::clone(&seen));
        let worker = Worker::start(move |stop| {
            http_edge::block_on(async move {
                let (log, address) = standin_log::serve_local(Cfg::default()).expect("a socket");
                tx.send(address).expect("the test waits");
                while !stop.load(Ordering::Relaxed) {
                    let outage = *orders.lock().expect("no panic");
                    log.set_faults(&Faults {
                        outage: Some(outage),
                        ..Faults::default()
                    });
                    let counters = log.counters();
                    *shown.lock().expect("no panic") = counters
                        .streams
                        .get(RECORD_STREAM)
                        .copied()
                        .unwrap_or_default();
                    monoio::time::sleep(GLANCE).await;
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
        std::thread::sleep(GLANCE * 3);
    }

    /// Counters of the stream of records, after some time for reads under way.
    pub fn counters(&self) -> StreamCounters {
        std::thread::sleep(GLANCE * 10);
        *self.seen.lock().expect("no panic")
    }

    /// Publishes a ticket that adds one service.
    pub fn publish(&self, number: TicketNumber) {
        self.publish_services(number, 1);
    }

    /// Publishes a ticket that adds some services.
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

/// What one daemon shows.
#[derive(Debug, Clone, Copy, Default)]
pub struct Seen {
    pub next: Offset,
    pub ticket: TicketNumber,
    pub peers: usize,
    /// The offset or the ticket fell since this process started.
    pub went_back: bool,
}

/// Daemons in two zones with a log.
pub struct Fleet {
    pub log: Log,
    subnet: u8,
    nodes: Vec<Node>,
    /// Starts so far; each takes an address of its own.
    starts: usize,
}

struct Node {
    worker: Worker,
    seen: Arc<Mutex<Seen>>,
}

impl Fleet {
    /// Starts `count` daemons and waits until they know each other. Tests that run at the same
    /// time take different subnets.
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

    pub fn seen(&self, number: usize) -> Seen {
        *self.nodes[number].seen.lock().expect("no panic")
    }

    /// Waits until all running daemons show what is wanted.
    pub fn wait(&self, what: &str, wanted: impl Fn(Seen) -> bool) {
        let running: Vec<_> = (0..self.nodes.len())
            .filter(|it| self.nodes[*it].worker.thread.is_some())
            .collect();
        let start = Instant::now();
        while !running.iter().all(|it| wanted(self.seen(*it))) {
            let seen: Vec<_> = running.iter().map(|it| (*it, self.seen(*it))).collect();
            assert!(start.elapsed() < PATIENCE, "{what}: {seen:?}");
            std::thread::sleep(GLANCE);
        }
    }

    /// Kills everything; no daemon may ever have gone back.
    pub fn close(mut self) {
        for number in 0..self.nodes.len() {
            assert!(!self.seen(number).went_back, "daemon {number} went back");
            self.kill(number);
        }
        self.log.close();
    }
}

fn start(settings: Settings) -> Node {
    let seen = Arc::new(Mutex::new(Seen::default()));
    let shown = Arc::clone(&seen);
    let worker = Worker::start(move |stop| {
        http_edge::block_on(async move {
            let daemon = Daemon::start(settings).expect("its addresses are free");
            while !stop.load(Ordering::Relaxed) {
                glance(&daemon, &shown);
                monoio::time::sleep(GLANCE).await;
            }
        });
    });
    Node { worker, seen }
}

fn glance(daemon: &Daemon, shown: &Mutex<Seen>) {
    let shared = daemon.shared_state();
    let state = shared.state.get();
    let mut seen = shown.lock().expect("no panic");
    let went_back = state.next < seen.next || state.ticket < seen.ticket;
    *seen = Seen {
        next: state.next,
        ticket: state.ticket,
        peers: shared.peers.get().len(),
        went_back: seen.went_back || went_back,
    };
}

/// Even numbers are in zone `a`, odd ones in zone `b`; the last three that started first are seeds.
fn settings(subnet: u8, number: usize, place: usize, count: usize, log: SocketAddr) -> String {
    let ip = |place: usize| format!("127.77.{subnet}.{place}");
    let me = ip(place);
    let zone = if number.is_multiple_of(2) { "a" } else { "b" };
    let seeds: Vec<_> = (count - 2..=count)
        .filter(|it| *it != place)
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
