//! Machines on loopback addresses, each with a process of the daemon and an instance, and the stand-in
//! store.

mod instance;
mod setup;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fs;
use std::fs::File;
use std::future::Future;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::StatusCode;
use http_edge::CallError;
use http_edge::Conn;
use http_edge::Handler;
use http_edge::Limits;
use http_edge::Request;
use http_edge::Response;
use http_edge::Server;
use http_edge::ServerCfg;
use ledger::Idempotency;
use mesh::wire::ForwardHead;
use mesh::wire::ForwardOutcome;
use mesh::wire::ForwardReply;
use protocol::call::CALL_HEADER;
use protocol::call::OUTCOME_HEADER;
use protocol::codec;
use serde_json::json;
use standin_store::StoreService;

use self::instance::Instance;
pub use self::setup::Setup;
use self::setup::put_config;

/// Upper limit for each awaited event.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// Interval of the heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);

/// Time after SIGTERM in which a daemon must end.
pub const GRACE: Duration = Duration::from_secs(6);

/// Time in which an instance takes the answer to a call of its own.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest head that an instance takes, in bytes; the daemons add headers to that of a client.
const MAX_INSTANCE_HEAD: usize = 64 * 1024;

/// Largest body that an instance takes, in bytes.
const MAX_INSTANCE_BODY: usize = 64 * 1024 * 1024;

/// Path of health probes of an instance.
pub const HEALTH_PATH: &str = "/healthz";

/// Time after the start in which the daemons learn of each other.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Ports of a machine.
pub const REQUESTS: u16 = 9101;
const READY: u16 = 9102;
const CONTROL: u16 = 9103;
const INSTANCE: u16 = 9104;
pub const PEERS: u16 = 9105;
const STORE: u16 = 9106;
const MOVED_STORE: u16 = 9107;

/// Processes of the daemons of a test, by the address of their machine.
type Processes = Rc<RefCell<HashMap<IpAddr, Child>>>;

/// Kills the processes that still run when the test ends, also if it fails.
struct KillGuard(Processes);

impl Drop for KillGuard {
    fn drop(&mut self) {
        for (_, mut child) in self.0.take() {
            // One that has ended by itself cannot be killed, and needs not be.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A machine. Its store has faults of its own.
pub struct Machine {
    pub ip: IpAddr,
    pub instance: Rc<Instance>,
    pub store: StoreService,
    name: String,
    dir: PathBuf,
    processes: Processes,
    terminated_at: Cell<Instant>,
    instance_server: RefCell<Option<Server>>,
    store_server: RefCell<Option<Server>>,
    store_port: Cell<u16>,
    setup: Setup,
}

impl Machine {
    fn new(
        number: u8,
        store: &StoreService,
        dir: &Path,
        (test, setup, processes): (u8, Setup, &Processes),
    ) -> Rc<Self> {
        let ip = IpAddr::from([127, 9, test, number]);
        let instance = Rc::new(Instance::new(number));
        let store = store.with_own_faults();
        let instance_server = serve(ip, INSTANCE, Rc::clone(&instance));
        let store_server = serve(ip, STORE, Rc::new(store.clone()));
        let machine = Rc::new(Self {
            ip,
            instance,
            store,
            name: format!("machine-{number}"),
            dir: dir.to_owned(),
            processes: Rc::clone(processes),
            terminated_at: Cell::new(Instant::now()),
            instance_server: RefCell::new(Some(instance_server)),
            store_server: RefCell::new(Some(store_server)),
            store_port: Cell::new(STORE),
            setup,
        });
        machine.write_settings();
        machine.start();
        monoio::spawn(Rc::clone(&machine).beat());
        machine
    }

    fn write_settings(&self) {
        let (ip, name, setup) = (self.ip, &self.name, self.setup);
        let at = |port: u16| format!("{ip}:{port}");
        let settings = json!({
            "Node": name, "Ip": ip, "Zone": "z", "Service": "bookings",
            "Listen": {
                "Inbound": at(PEERS), "Outbound": at(REQUESTS), "Ready": at(READY), "Control": at(CONTROL),
            },
            "PortRange": [PEERS, PEERS + 1],
            "Limits": {
                "CpuShare": 0.2, "Cores": 1, "MemoryMb": setup.memory_mb, "MaxFds": setup.max_fds,
                "LinkMbps": 1000.0,
            },
            "Heartbeat": "1500ms",
            "Bounds": ["Grace=6s", "RetryRatio=0.2", "RetrySlack=60"],
            "AppAddr": at(INSTANCE),
            "Platform": { "Address": at(self.store_port.get()), "form": "log" },
        });
        // JSON is YAML.
        fs::write(self.settings_path(), settings.to_string()).expect("the folder can be written");
    }

    fn settings_path(&self) -> PathBuf {
        self.dir.join(format!("{}.yaml", self.name))
    }

    /// Starts the daemon.
    pub fn start(&self) {
        let log = File::options()
            .append(true)
            .create(true)
            .open(self.dir.join(format!("{}.log", self.name)))
            .expect("the folder can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_bronzehead-sidecar"))
            .env("BRONZEHEAD_BOOT", self.settings_path())
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the file is open"))
            .stderr(log)
            .spawn()
            .expect("the program was built");
        self.processes.borrow_mut().insert(self.ip, child);
    }

    /// Kills the daemon.
    pub fn kill(&self) {
        let child = self.processes.borrow_mut().remove(&self.ip);
        if let Some(mut child) = child {
            child.kill().expect("the daemon runs");
            child.wait().expect("the daemon was killed");
        }
    }

    /// Returns the id of the daemon's process, and whether it still runs.
    pub fn process(&self) -> (u32, bool) {
        let mut processes = self.processes.borrow_mut();
        let child = processes.get_mut(&self.ip).expect("it was started");
        let ended = child.try_wait().expect("it can be waited for");
        (child.id(), ended.is_none())
    }

    /// Sends SIGTERM to the daemon.
    pub fn terminate(&self) {
        self.signal("-TERM");
        self.terminated_at.set(Instant::now());
    }

    fn signal(&self, name: &str) {
        let processes = self.processes.borrow();
        let pid = processes[&self.ip].id().to_string();
        let sent = Command::new("kill").args([name, &pid]).status();
        assert!(sent.expect("the command exists").success());
    }

    /// Opens another address of the store, which the settings name from now on. The daemon gets a SIGHUP. Returns
    /// the server at the former address.
    pub fn move_store(&self) -> Server {
        let server = serve(self.ip, MOVED_STORE, Rc::new(self.store.clone()));
        let former = self.store_server.replace(Some(server));
        self.store_port.set(MOVED_STORE);
        self.write_settings();
        self.signal("-HUP");
        former.expect("it runs")
    }

    /// Waits until the daemon has ended; returns how long that took from the signal on.
    pub async fn wait_for_end(&self) -> Duration {
        let began = self.terminated_at.get();
        let child = self.processes.borrow_mut().remove(&self.ip);
        let mut child = child.expect("the daemon was started");
        while child.try_wait().expect("it can be waited for").is_none() {
            if began.elapsed() > TIMEOUT {
                child.kill().expect("it still runs");
            }
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        began.elapsed()
    }

    /// Returns the address at which the daemon takes the requests of clients.
    pub fn request_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, REQUESTS)
    }

    /// Closes the instance's server; returns its address. The heartbeats go on.
    pub async fn close_instance(&self) -> SocketAddr {
        let server = self.instance_server.take();
        server.expect("it runs").close(TIMEOUT).await;
        SocketAddr::new(self.ip, INSTANCE)
    }

    /// Closes the server of the store that this machine calls; returns its address.
    pub async fn close_store(&self) -> SocketAddr {
        let server = self.store_server.take();
        server.expect("it runs").close(TIMEOUT).await;
        SocketAddr::new(self.ip, STORE)
    }

    /// Kills the daemon; returns the address at which its peers reach it.
    pub fn close_daemon(&self) -> SocketAddr {
        self.kill();
        SocketAddr::new(self.ip, PEERS)
    }

    async fn beat(self: Rc<Self>) {
        while self.instance.is_beating.get() {
            let sequence = self.instance.sequence.get() + 1;
            self.instance.sequence.set(sequence);
            self.send_heartbeat("ready", sequence).await;
            monoio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Returns the sequence number of the instance's latest heartbeat.
    pub fn sequence(&self) -> u64 {
        self.instance.sequence.get()
    }

    /// Sends a heartbeat of the instance; returns whether it was acknowledged.
    pub async fn send_heartbeat(&self, state: &str, sequence: u64) -> bool {
        let body = json!({
            "Service": "bookings", "Version": "v1", "Address": format!("{}:{INSTANCE}", self.ip),
            "Zone": "z", "Slots": self.setup.slots, "State": state, "ColdLeft": "0ms", "Seq": sequence,
            "born": self.instance.born,
        });
        let path = format!("/-/Instances.Heartbeat/{}", self.instance.id);
        self.call_control(path, body.to_string()).await
    }

    /// Has the instance deregister; returns whether that was acknowledged.
    pub async fn deregister(&self) -> bool {
        let path = format!("/-/Instances.Deregister/{}", self.instance.id);
        self.call_control(path, String::new()).await
    }

    async fn call_control(&self, path: String, body: String) -> bool {
        let res = call(self.ip, CONTROL, Request::post(path, body), CALL_TIMEOUT).await;
        res.is_some_and(|res| res.status == StatusCode::OK)
    }

    /// Sends a request that may run once only, over a new connection.
    pub async fn book(&self, id: &str) -> Option<Response> {
        call(self.ip, REQUESTS, booking(id), TIMEOUT).await
    }

    /// Returns a request that may run once only, as a peer forwards it to the instance here.
    pub fn forwarded(&self, id: &str) -> Request {
        let head = ForwardHead {
            request: id.into(),
            fingerprint: base::hash::stable(&[id.as_bytes()]),
            instance: self.instance.id.as_str().into(),
            born: self.instance.born,
            service: "bookings".into(),
            version: "v1".into(),
            route: "book".into(),
            repeat: Idempotency::AtMostOnce,
            rank: 1,
            left_ms: 2000,
            full_value_ms: 800,
            config: 3,
            limit: None,
            is_isolated: false,
            repeat_share: 0,
            customer: None,
        };
        Request::new(Method::POST, "/book/1", "{}")
            .with_header("x-request-id", id)
            .with_header(CALL_HEADER, codec::encode_header_value(&head))
    }

    /// Waits until the daemon is ready.
    pub async fn wait_ready(&self) {
        let end = Instant::now() + TIMEOUT;
        loop {
            let res = call(self.ip, READY, Request::get("/-/readyz"), CALL_TIMEOUT).await;
            if res.is_some_and(|res| res.status == StatusCode::OK) {
                return;
            }
            assert!(Instant::now() < end, "{} is not ready", self.name);
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until a request of a client here is answered.
    async fn wait_for_answer(&self) {
        let end = Instant::now() + TIMEOUT;
        let is_answered = |res: Option<Response>| res.is_some_and(|res| res.status.is_success());
        while !is_answered(self.book("warm-up").await) {
            assert!(Instant::now() < end, "{} answers no requests", self.name);
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// A store and machines of one service.
pub struct Site {
    pub machines: Vec<Rc<Machine>>,
    is_sending: Rc<Cell<bool>>,
}

impl Site {
    /// Starts the machines and waits until each serves.
    async fn start(test: u8, setup: Setup, processes: &Processes) -> Self {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("site-{test}"));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).expect("the folder can be written");
        let store = StoreService::default();
        put_config(&store, setup);
        let mut machines = Vec::new();
        for number in 1..=setup.machines {
            machines.push(Machine::new(number, &store, &dir, (test, setup, processes)));
        }
        for machine in &machines {
            machine.wait_ready().await;
        }
        for machine in &machines {
            machine.wait_for_answer().await;
        }
        monoio::time::sleep(SETTLE_TIME).await;
        let is_sending = Rc::new(Cell::new(true));
        Self {
            machines,
            is_sending,
        }
    }

    /// Sends requests from the clients of all machines until [`Self::close`].
    pub fn send_requests(&self) {
        for machine in &self.machines {
            let (machine, is_sending) = (Rc::clone(machine), Rc::clone(&self.is_sending));
            monoio::spawn(async move {
                let mut count = 0;
                while is_sending.get() {
                    count += 1;
                    machine.book(&format!("{}-{count}", machine.ip)).await;
                    monoio::time::sleep(Duration::from_millis(20)).await;
                }
            });
        }
    }

    /// Has all instances leave but that of the last machine, so that all requests run there.
    pub async fn leave_last_only(&self) {
        let (_, others) = self.machines.split_last().expect("there are machines");
        for machine in others {
            machine.instance.is_beating.set(false);
            machine.instance.is_staying.set(false);
            assert!(machine.deregister().await);
        }
        monoio::time::sleep(SETTLE_TIME).await;
    }

    /// Ends all daemons.
    pub fn close(self) {
        self.is_sending.set(false);
        for machine in &self.machines {
            machine.instance.is_beating.set(false);
            machine.kill();
        }
    }
}

/// Runs a test on a site of three machines. Each test has its own addresses.
pub fn with_site<F: Future<Output = Site> + 'static>(test: u8, body: impl Fn(Site) -> F) {
    with_sites([(test, ())], |site, ()| body(site));
}

/// Runs a test on a site with other limits.
pub fn with_setup<F: Future<Output = Site> + 'static>(
    test: u8,
    setup: Setup,
    body: impl FnOnce(Site) -> F,
) {
    let processes = Processes::default();
    let _guard = KillGuard(Rc::clone(&processes));
    http_edge::block_on(async {
        let site = Site::start(test, setup, &processes).await;
        body(site).await.close();
    });
}

/// Runs a test with several cases at once, each on a site of its own.
pub fn with_sites<C, F: Future<Output = Site> + 'static>(
    cases: impl IntoIterator<Item = (u8, C)>,
    body: impl Fn(Site, C) -> F,
) {
    let processes = Processes::default();
    let _guard = KillGuard(Rc::clone(&processes));
    http_edge::block_on(async {
        let mut running = Vec::new();
        for (test, case) in cases {
            let case = body(Site::start(test, Setup::default(), &processes).await, case);
            running.push(monoio::spawn(async move { case.await.close() }));
        }
        for case in running {
            case.await;
        }
    });
}

/// Returns a request that may run once only.
pub fn booking(id: &str) -> Request {
    Request::new(Method::POST, "/book/1", "{}")
        .with_header("host", "shop.example")
        .with_header("x-request-id", id)
        .with_header("x-deadline-ms", "2000")
}

/// Returns the outcome in the reply to a forwarded request.
pub fn outcome(res: &Response) -> ForwardOutcome {
    let reply = res.header(OUTCOME_HEADER).expect("an outcome");
    let reply: ForwardReply = codec::decode_header_value(reply).expect("readable");
    reply.outcome
}

pub async fn call(ip: IpAddr, port: u16, req: Request, timeout: Duration) -> Option<Response> {
    let address = SocketAddr::new(ip, port);
    let conn = Conn::connect(address, timeout, Limits::default()).await;
    let answered: Result<Response, CallError> = conn.ok()?.call(req, timeout).await;
    answered.ok()
}

fn serve<H: Handler>(ip: IpAddr, port: u16, handler: Rc<H>) -> Server {
    let listener = http_edge::listen(SocketAddr::new(ip, port)).expect("the address is free");
    let mut cfg = ServerCfg::default();
    cfg.limits.max_head_bytes = MAX_INSTANCE_HEAD;
    cfg.limits.max_body_bytes = MAX_INSTANCE_BODY;
    Server::start(listener, handler, cfg)
}
