//! Fixture: daemons on their own threads and runtimes, with a log on the test's thread.
//!
//! A kill drops the runtime without a leave announcement. Its sockets may stay open without
//! replying, so restarted daemons use another loopback address.

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

/// Timeout of a wait. It only ends a test that hangs; no result depends on it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(100);

const POLL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// First port of a fleet's first daemon.
const FIRST_PORT: u16 = 7301;

/// Number of the next start in this process; each start has its own loopback address.
static STARTS: AtomicU8 = AtomicU8::new(1);

pub struct Fleet {
    pub log: LogServer,
    address: SocketAddr,
    nodes: Vec<Node>,
    published: TicketNumber,
}

struct Node {
    ports: Ports,
    /// The thread ends once this is dropped.
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
    /// Starts the log without daemons.
    pub fn new(cfg: Cfg) -> Self {
        let (log, address) = standin_log::serve_local(cfg).expect("a port");
        Self {
            log,
            address,
            nodes: Vec::new(),
            published: 0,
        }
    }

    /// Starts `count` cold daemons.
    pub fn start(&mut self, count: usize) {
        let host = unique_host();
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

    /// Kills all daemons without leave announcements.
    pub fn kill(&mut self) {
        for node in self.nodes.drain(..) {
            drop(node.stop);
            node.thread.join().expect("the daemon did not panic");
        }
    }

    /// Publishes `count` tickets, each of which adds its own service.
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

    /// Waits until all daemons have every published ticket; returns their states.
    pub async fn wait_until_in_force(&self, name: &str) -> Vec<State> {
        let wanted = self.published;
        let is_met = async || {
            let states = self.states().await;
            let is_whole = states.iter().all(|state| state.ticket == wanted);
            (is_whole && states.len() == self.nodes.len()).then_some(states)
        };
        let what = format!("{name}: ticket {wanted} in force everywhere");
        poll_until(&what, is_met).await
    }

    /// Waits for a snapshot; once records have expired, for one in the newer half of the log.
    pub async fn wait_for_snapshot(&self, name: &str) {
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
        poll_until(&format!("{name}: a snapshot"), is_met).await;
    }

    /// Offset of the oldest record that the log still holds.
    pub async fn oldest(&self) -> u64 {
        let client = LogClient::new(self.address, RECORD_STREAM, LogCfg::default());
        client.bounds().await.expect("the log works").oldest
    }

    /// Number of snapshots that the log has stored, copies included.
    pub fn snapshots(&self) -> u64 {
        let streams = self.log.counters().streams;
        streams.get(SNAPSHOT_STREAM).map_or(0, |one| one.appends)
    }

    /// States of the daemons that answer.
    pub async fn states(&self) -> Vec<State> {
        let mut states = Vec::new();
        for node in &self.nodes {
            states.extend(
                fetch_status(node.ports.local)
                    .await
                    .map(|status| status.state),
            );
        }
        states
    }
}

/// Polls `query` until it returns a value.
pub async fn poll_until<T>(what: &str, query: impl AsyncFn() -> Option<T>) -> T {
    let wait = async {
        loop {
            if let Some(answer) = query().await {
                return answer;
            }
            monoio::time::sleep(POLL).await;
        }
    };
    let answer = monoio::time::timeout(WAIT_TIMEOUT, wait).await;
    answer.unwrap_or_else(|_| panic!("timeout waiting for: {what}"))
}

impl Ports {
    /// Ports below the ephemeral range, so that the operating system gives them to no other socket.
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
fn unique_host() -> Ipv4Addr {
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

async fn fetch_status(address: SocketAddr) -> Option<Status> {
    let conn = Conn::connect(address, CALL_TIMEOUT, Limits::default()).await;
    let req = Request::get(STATUS_PATH);
    let res = conn.ok()?.call(req, CALL_TIMEOUT).await.ok()?;
    serde_json::from_slice(&res.body).ok()
}
