//! Fixture: a fleet with a log, upstreams and a client on the test's thread. Each daemon has its own
//! thread, so that it can be killed and paused like a process.

use std::cell::Cell;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;

use daemon::Daemon;
use http_edge::Conn;
use http_edge::Limits;
use http_edge::Request;
use ledger::State;
use protocol::status::STATUS_PATH;
use protocol::status::Status;
use settings::Settings;
use standin_log::Cfg;
use standin_log::LogServer;
use standin_upstream::Faults;
use standin_upstream::Upstream;
use standin_upstream::UpstreamCfg;

/// Timeout of a wait. It only ends a test that hangs; no result depends on it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(100);

const POLL: Duration = Duration::from_millis(50);

/// Pause between two calls, averaged over the four daemons, which are called in parallel.
const CALL_INTERVAL: Duration = Duration::from_millis(8);

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// First port of a fleet's first daemon.
const FIRST_PORT: u16 = 7301;

/// Number of the next fleet of this process; each fleet has its own loopback address.
static FLEETS: AtomicU8 = AtomicU8::new(1);

/// Version of the upstream beside each daemon.
const VERSIONS: [&str; 4] = ["v1", "v1", "v2", "v2"];

const TICKETS: [&str; 2] = [
    "ticket: 1
services:
  bookings: { version: v1 }
routes:
  /book: { service: bookings, repeat: at-most-once, timeout: 2s }
  /pay: { service: bookings, repeat: at-most-once, timeout: 2s }
",
    "ticket: 2
services:
  bookings:
    version: v2
    policy: { prefer: safety, probe_share: 150, probe_calls: 400, watch: 3s }
",
];

enum Command {
    Kill,
    Pause(Duration),
}

pub struct Fleet {
    pub log: LogServer,
    log_address: SocketAddr,
    host: Ipv4Addr,
    upstreams: Vec<Upstream>,
    daemons: Vec<Node>,
    calls: Rc<Cell<usize>>,
}

pub struct Node {
    pub name: String,
    ports: Ports,
    tx: mpsc::Sender<Command>,
    is_running: Cell<bool>,
}

#[derive(Clone, Copy)]
struct Ports {
    calls: SocketAddr,
    peers: SocketAddr,
    local: SocketAddr,
}

impl Fleet {
    /// Starts all parts and waits until version `v1` serves.
    pub async fn start() -> Self {
        let (log, log_address) = standin_log::serve_local(Cfg::default()).expect("a port");
        let mut fleet = Self {
            log,
            log_address,
            host: unique_host(),
            upstreams: Vec::new(),
            daemons: Vec::new(),
            calls: Rc::default(),
        };
        for version in VERSIONS {
            fleet.add(version);
        }
        fleet.publish(TICKETS[0]).await;
        fleet
            .wait_until("v1 serves", |state| state.services.contains_key("bookings"))
            .await;
        fleet
    }

    /// Publishes the ticket that rolls out version `v2` and starts to send calls.
    pub async fn start_rollout(&self) {
        self.publish(TICKETS[1]).await;
        self.wait_until("the rollout starts", |state| rollout_share(state).is_some())
            .await;
        for node in &self.daemons {
            monoio::spawn(call(node.ports.calls, Rc::clone(&self.calls)));
        }
    }

    /// Sets the faults of the upstreams of version `v2`.
    pub fn set_faults(&self, faults: &Faults) {
        for (upstream, version) in self.upstreams.iter().zip(VERSIONS) {
            if version == "v2" {
                upstream.service().set_faults(faults.clone());
            }
        }
    }

    /// Number of calls that upstreams of version `v2` began.
    pub fn runs(&self) -> u64 {
        self.upstreams
            .iter()
            .zip(VERSIONS)
            .filter(|(_, version)| *version == "v2")
            .map(|(upstream, _)| upstream.service().runs().borrow().summary().begun)
            .sum()
    }

    /// Waits until the state of each running daemon meets the condition; returns one of the states.
    pub async fn wait_until(&self, what: &str, is_met: impl Fn(&State) -> bool) -> State {
        let wait = async {
            loop {
                let states = self.states().await;
                let running = self.daemons.iter().filter(|node| node.is_running.get());
                if states.len() == running.count() && states.iter().all(&is_met) {
                    return states.into_iter().next().expect("a daemon runs");
                }
                monoio::time::sleep(POLL).await;
            }
        };
        if let Ok(state) = monoio::time::timeout(WAIT_TIMEOUT, wait).await {
            return state;
        }
        panic!(
            "timeout waiting for: {what}; states: {:?}",
            self.states().await
        );
    }

    /// States of the daemons that answer.
    pub async fn states(&self) -> Vec<State> {
        let mut states = Vec::new();
        for node in &self.daemons {
            if let Some(status) = fetch_status(node.ports.local).await {
                states.push(status.state);
            }
        }
        states
    }

    /// Kills a daemon without a leave announcement.
    pub fn kill(&self, name: &str) {
        self.node(name).is_running.set(false);
        self.node(name).tx.send(Command::Kill).expect("it runs");
    }

    /// Blocks all tasks of a daemon for `time`, like a paused process.
    pub fn pause(&self, name: &str, time: Duration) {
        let command = Command::Pause(time);
        self.node(name).tx.send(command).expect("it runs");
    }

    fn node(&self, name: &str) -> &Node {
        let mut nodes = self.daemons.iter();
        nodes
            .find(|node| node.name == name)
            .expect("a daemon of that name")
    }

    fn add(&mut self, version: &str) {
        let name = format!("suva-a-{}", self.daemons.len());
        let ports = Ports::of(self.host, self.daemons.len());
        let seeds: Vec<_> = self.daemons.iter().map(|other| other.ports.peers).collect();
        let settings = settings(&name, ports, self.log_address, &seeds);
        let (tx, rx) = mpsc::channel();
        std::thread::spawn(move || run(settings, &rx));
        self.daemons.push(Node {
            name,
            ports,
            tx,
            is_running: Cell::new(true),
        });
        let upstream = Upstream::start(UpstreamCfg {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            announce: Some(ports.local),
            service: "bookings".into(),
            version: version.into(),
            slots: 20,
            cold_start: Duration::ZERO,
            service_time: Duration::from_millis(5),
        });
        self.upstreams.push(upstream.expect("a port"));
    }

    async fn publish(&self, text: &str) {
        let ticket = ledger::ticket::parse_ticket(text).expect("a ticket");
        let cfg = platform::LogCfg::default();
        let client = platform::LogClient::new(self.log_address, "bronzehead", cfg);
        let entry = ledger::Entry {
            id: format!("operator/{}", ticket.ticket).into(),
            at: base::units::unix_millis(std::time::SystemTime::now()),
            record: ledger::Record::Ticket(ticket),
        };
        client.append(&entry).await.expect("the log works");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &self.daemons {
            let _ = node.tx.send(Command::Kill);
        }
    }
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

/// Share of the new version during a rollout; `None` without one.
pub fn rollout_share(state: &State) -> Option<u16> {
    let rollout = state.services.get("bookings")?.rollout.as_ref()?;
    Some(rollout.share)
}

/// A loopback address that no other fleet uses, so that its free ports stay free.
fn unique_host() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 64 | (high & 63), low, fleet)
}

fn run(settings: Settings, rx: &mpsc::Receiver<Command>) {
    http_edge::block_on(async {
        let _daemon = Daemon::start(settings).expect("free ports");
        loop {
            match rx.try_recv() {
                Ok(Command::Kill) | Err(mpsc::TryRecvError::Disconnected) => return,
                Ok(Command::Pause(time)) => std::thread::sleep(time),
                Err(mpsc::TryRecvError::Empty) => monoio::time::sleep(POLL).await,
            }
        }
    });
}

fn settings(name: &str, ports: Ports, log: SocketAddr, seeds: &[SocketAddr]) -> Settings {
    let text = format!(
        "daemon: {name}
zone: suva-a
listen: {{ calls: \"{}\", peers: \"{}\", local: \"{}\" }}
log: {{ address: \"{log}\" }}
seeds: {seeds:?}
",
        ports.calls, ports.peers, ports.local
    );
    Settings::parse(&text, "test").expect("settings")
}

/// Calls both routes alternately through one daemon, without end.
async fn call(address: SocketAddr, count: Rc<Cell<usize>>) {
    loop {
        let path = ["/book", "/pay"][count.get() % 2];
        count.set(count.get() + 1);
        let req = Request::post(path, "");
        if let Ok(mut conn) = Conn::connect(address, CALL_TIMEOUT, Limits::default()).await {
            let _ = conn.call(req, CALL_TIMEOUT).await;
        }
        monoio::time::sleep(CALL_INTERVAL * 4).await;
    }
}

async fn fetch_status(address: SocketAddr) -> Option<Status> {
    let mut conn = Conn::connect(address, CALL_TIMEOUT, Limits::default())
        .await
        .ok()?;
    let res = conn
        .call(Request::get(STATUS_PATH), CALL_TIMEOUT)
        .await
        .ok()?;
    serde_json::from_slice(&res.body).ok()
}
