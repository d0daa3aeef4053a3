//! Daemons on threads and runtimes of their own, around a log that the test holds.
//!
//! A kill drops the runtime and tells nobody. Its sockets may stay open and silent, so daemons
//! that start again take another loopback address.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use base::TicketNumber;
use daemon::Daemon;
use http_edge::Conn;
use http_edge::Limits;
use http_edge::Request;
use ledger::Entry;
use ledger::Record;
use ledger::State;
use platform::LogCfg;
use platform::LogClient;
use platform::RECORD_STREAM;
use platform::SNAPSHOT_STREAM;
use platform::SnapshotStore;
use protocol::status::STATUS_PATH;
use protocol::status::Status;
use settings::Settings;
use standin_log::Cfg;
use standin_log::LogServer;

/// Time after which a test gives up; it bounds a hang, not a result.
const PATIENCE: Duration = Duration::from_secs(100);

const POLL: Duration = Duration::from_millis(50);
const TIMEOUT: Duration = Duration::from_secs(2);

/// First port of a fleet's first daemon.
const FIRST_PORT: u16 = 7301;

/// Numbers the starts of this process, so that each has a loopback address of its own.
static STARTS: AtomicU8 = AtomicU8::new(1);

pub struct Fleet {
    pub log: LogServer,
    address: SocketAddr,
    nodes: Vec<Node>,
    published: TicketNumber,
}

struct Node {
    ports: Ports,
    /// The thread ends when this is dropped.
    stop: mpsc::Sender<()>,
    thread: JoinHandle<()>,
}

#[derive(Clone, Copy)]
struct Ports {
    calls: SocketAddr,
    peers: SocketAddr,
    local: SocketAddr,
}

impl Fleet {
    /// A log and no daemons.
    pub fn new(cfg: Cfg) -> Self {
        let (log, address) = standin_log::serve_local(cfg).expect("a port");
        Self {
            log,
            address,
            nodes: Vec::new(),
            published: 0,
        }
    }

    /// Starts daemons that know nothing.
    pub fn start(&mut self, count: usize) {
        let host = own_host();
        let mut seeds = Vec::new();
        for number in 0..count {
            let ports = Ports::of(host, number);
            let settings = settings(number, ports, self.address, &seeds);
            seeds.push(ports.peers);
            let (stop, stopped) = mpsc::channel();
            let thread = std::thread::spawn(move || run(settings, &stopped));
            self.nodes.push(Node {
                ports,
                stop,
                thread,
            });
        }
    }

    /// Ends all daemons without any farewell.
    pub fn kill(&mut self) {
        for node in self.nodes.drain(..) {
            drop(node.stop);
            node.thread.join().expect("the daemon did not panic");
        }
    }

    /// Publishes tickets, each with a service of its own.
    pub async fn publish(&mut self, count: TicketNumber) {
        let client = LogClient::new(self.address, RECORD_STREAM, LogCfg::default());
        for _ in 0..count {
            self.published += 1;
            let number = self.published;
            let text = format!("ticket: {number}\nservices:\n  s{number}: {{ version: v1 }}\n");
            let ticket = ledger::parse_ticket(&text).expect("a ticket");
            let entry = Entry {
                id: format!("operator/{number}").into(),
                at: number,
                record: Record::Ticket(ticket),
            };
            client.append(&entry).await.expect("the log works");
        }
    }

    /// Waits until all daemons have every published ticket; gives the states.
    pub async fn until_in_force(&self, name: &str) -> Vec<State> {
        let wanted = self.published;
        let is_met = async || {
            let states = self.states().await;
            let is_whole = states.iter().all(|state| state.ticket == wanted);
            (is_whole && states.len() == self.nodes.len()).then_some(states)
        };
        let what = format!("{name}: ticket {wanted} in force everywhere");
        until(&what, is_met).await
    }

    /// Waits for a snapshot; once records have expired, for one in the newer half of what is left.
    pub async fn until_snapshot(&self, name: &str) {
        let client = |stream| LogClient::new(self.address, stream, LogCfg::default());
        let records = client(RECORD_STREAM);
        let store = SnapshotStore::new(client(SNAPSHOT_STREAM));
        let is_met = async || {
            let bounds = records.bounds().await.ok()?;
            let next = store.latest().await.ok()??.state.next;
            let has_expired = bounds.oldest > 0;
            let is_new = 2 * next >= bounds.oldest + bounds.next;
            (is_new || !has_expired).then_some(())
        };
        until(&format!("{name}: a snapshot"), is_met).await;
    }

    /// Offset of the oldest record that the log still holds.
    pub async fn oldest(&self) -> u64 {
        let client = LogClient::new(self.address, RECORD_STREAM, LogCfg::default());
        client.bounds().await.expect("the log works").oldest
    }

    /// Appends that took effect on the stream of snapshots.
    pub fn snapshots(&self) -> u64 {
        let streams = self.log.counters().streams;
        streams.get(SNAPSHOT_STREAM).map_or(0, |one| one.appends)
    }

    /// States of the daemons that answer.
    pub async fn states(&self) -> Vec<State> {
        let mut states = Vec::new();
        for node in &self.nodes {
            states.extend(status(node.ports.local).await.map(|status| status.state));
        }
        states
    }
}

/// Waits until a question has an answer.
pub async fn until<T>(what: &str, question: impl AsyncFn() -> Option<T>) -> T {
    let wait = async {
        loop {
            if let Some(answer) = question().await {
                return answer;
            }
            monoio::time::sleep(POLL).await;
        }
    };
    let answer = monoio::time::timeout(PATIENCE, wait).await;
    answer.unwrap_or_else(|_| panic!("never came: {what}"))
}

impl Ports {
    /// Ports below those that the system gives out, so that none of them is taken meanwhile.
    fn of(host: Ipv4Addr, number: usize) -> Self {
        let first = FIRST_PORT + 3 * u16::try_from(number).expect("few daemons");
        let address = |index: u16| SocketAddr::from((host, first + index));
        Self {
            calls: address(0),
            peers: address(1),
            local: address(2),
        }
    }
}

/// A loopback address that no other start uses.
fn own_host() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let start = STARTS.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 128 | (high & 63), low, start)
}

fn run(settings: Settings, stopped: &mpsc::Receiver<()>) {
    http_edge::block_on(async {
        let _daemon = Daemon::start(settings).expect("free ports");
        while stopped.try_recv() != Err(mpsc::TryRecvError::Disconnected) {
            monoio::time::sleep(POLL).await;
        }
    });
}

fn settings(number: usize, ports: Ports, log: SocketAddr, seeds: &[SocketAddr]) -> Settings {
    let text = format!(
        "daemon: suva-a-{number}
zone: suva-a
listen: {{ calls: \"{}\", peers: \"{}\", local: \"{}\" }}
log: {{ address: \"{log}\", timeout: 1s }}
seeds: {seeds:?}
",
        ports.calls, ports.peers, ports.local
    );
    Settings::parse(&text, "test").expect("settings")
}

async fn status(address: SocketAddr) -> Option<Status> {
    let conn = Conn::connect(address, TIMEOUT, Limits::default()).await;
    let req = Request::get(STATUS_PATH);
    let res = conn.ok()?.call(req, TIMEOUT).await.ok()?;
    serde_json::from_slice(&res.body).ok()
}
