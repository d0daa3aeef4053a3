//! A small deployment: application servers, the daemons beside them, and the record of what happened.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::net::Message;
use crate::net::call;
use crate::net::message;
use crate::net::read_message;

/// Time between two heartbeats of a server.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);

/// What was sent, answered and run, one line each.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("record"))),
        }
    }

    pub fn write(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

/// A request as a server got it.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub server: String,
    pub caller: String,
    /// Customer that the request names, if it names one.
    pub tenant: Option<String>,
    pub path: String,
    pub at: Instant,
}

/// Settings of an application server.
#[derive(Clone)]
pub struct AppCfg {
    pub id: String,
    pub service: String,
    pub version: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub work: Duration,
}

/// An application server.
#[derive(Clone)]
pub struct App {
    pub cfg: AppCfg,
    pub born: u64,
    pub sequence: Arc<AtomicU64>,
    pub beats: Arc<AtomicBool>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl App {
    /// Starts a server, which sends heartbeats from now on.
    pub fn start(cfg: AppCfg, runs: &Arc<Mutex<Vec<Run>>>, record: &Record) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let app = Self {
            cfg,
            born: now.as_millis() as u64,
            sequence: Arc::default(),
            beats: Arc::new(AtomicBool::new(true)),
            runs: Arc::clone(runs),
            record: record.clone(),
        };
        let listener = TcpListener::bind(app.cfg.address).expect("address of a server");
        let server = app.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        let sender = app.clone();
        thread::spawn(move || {
            loop {
                if sender.beats.load(Ordering::Relaxed) {
                    let sequence = sender.sequence.fetch_add(1, Ordering::Relaxed) + 1;
                    let body = sender.heartbeat(sequence, "ready");
                    sender.send_heartbeat(&sender.cfg.id, &body);
                }
                thread::sleep(HEARTBEAT);
            }
        });
        app
    }

    /// Body of a heartbeat.
    pub fn heartbeat(&self, sequence: u64, state: &str) -> String {
        let AppCfg { service, address, zone, version, slots, .. } = &self.cfg;
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
             \"Version\":\"{version}\",\"Slots\":{slots},\"State\":\"{state}\",\
             \"ColdLeft\":\"0ms\",\"Seq\":{sequence},\"born\":{}}}",
            self.born
        )
    }

    /// Sends a heartbeat to the daemon on the machine of this server; returns the status.
    pub fn send_heartbeat(&self, id: &str, body: &str) -> Option<u16> {
        let line = format!("POST /-/Instances.Heartbeat/{id} HTTP/1.1");
        let host = self.cfg.control.to_string();
        let headers = [("Host", host.as_str()), ("Content-Type", "application/json")];
        let req = message(line, &headers, body);
        let res = call(self.cfg.control, &req, Duration::from_secs(1));
        res.ok().map(|res| res.status())
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Some(req) = read_message(&mut stream, &mut rest) {
            let res = self.answer(&req);
            if stream.write_all(&res.encode()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> Message {
        let header = |name: &str| req.header(name).unwrap_or_default().to_owned();
        if req.word(1) == "/healthz" {
            let headers = [("X-Instance-Id", self.cfg.id.as_str())];
            return message("HTTP/1.1 200 OK", &headers, "");
        }
        let (request, target) = (header("x-request-id"), header("x-target-instance"));
        if !target.is_empty() && target != self.cfg.id {
            let headers = [
                ("X-Request-Id", request.as_str()),
                ("X-Instance-Id", self.cfg.id.as_str()),
                ("X-Not-Executed", "1"),
            ];
            return message("HTTP/1.1 421 Misdirected Request", &headers, "");
        }
        let run = Run {
            request: request.clone(),
            server: self.cfg.id.clone(),
            caller: header("x-caller-service"),
            tenant: req.header("x-tenant").map(str::to_owned),
            path: req.word(1).to_owned(),
            at: Instant::now(),
        };
        self.record.write(&format!(
            "server {} ({}) runs {} of caller {}, customer {:?}",
            run.server, self.cfg.service, run.request, run.caller, run.tenant
        ));
        self.runs.lock().unwrap().push(run);
        thread::sleep(self.cfg.work);
        let stamp = format!("{}.{request}", self.cfg.id);
        let headers = [
            ("X-Request-Id", request.as_str()),
            ("X-Response-Stamp", stamp.as_str()),
        ];
        message("HTTP/1.1 200 OK", &headers, &format!("done {request}\n"))
    }
}

/// A machine with its daemon.
pub struct Machine {
    pub name: String,
    pub ip: String,
    pub service: String,
    pub zone: String,
    settings: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    starts: u32,
}

/// Ports that are the same on all machines.
pub const OUTBOUND: u16 = 8629;
pub const INBOUND: u16 = 8624;
pub const READY: u16 = 8625;
pub const CONTROL: u16 = 8620;
pub const APP: u16 = 8628;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

impl Machine {
    pub fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().unwrap()
    }

    /// Starts the daemon with the command of the deploy file.
    pub fn start(&mut self) {
        let log = self.settings.with_extension(format!("{}.log", self.starts));
        let log = File::create(log).expect("log");
        self.starts += 1;
        let mut command = Command::new(&self.program);
        // The daemon ends with the case, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("BRONZEHEAD_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("daemon"));
    }

    /// Sends a signal to the daemon.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits for the end of the daemon.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let req = message("GET /-/readyz HTTP/1.1", &[("Host", "ready")], "");
        let res = call(self.address(READY), &req, Duration::from_millis(500));
        res.is_ok_and(|res| res.status() == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        self.signal(SIGKILL);
        self.wait();
    }
}

/// Figures of the settings that differ between cases.
pub struct SettingsCfg<'a> {
    pub folder: &'a str,
    pub program: &'a str,
    pub store: SocketAddr,
    pub is_first_start: bool,
    pub grace: &'a str,
    /// Contracts and bounds beyond those of all deployments.
    pub further_contracts: &'a [&'a str],
    pub further_bounds: &'a [&'a str],
}

/// Prepares a machine: writes the settings of its daemon as the platform lays them.
pub fn machine(cfg: &SettingsCfg<'_>, name: &str, ip: &str, zone: &str, service: &str) -> Machine {
    let settings = PathBuf::from(cfg.folder).join(format!("{name}.yaml"));
    let SettingsCfg { store, grace, is_first_start, .. } = cfg;
    let items = |texts: &[&str]| -> String {
        let lines = texts.iter().map(|text| format!("  - \"{text}\"\n"));
        lines.collect()
    };
    let contracts = items(cfg.further_contracts);
    let further = items(cfg.further_bounds);
    let text = format!(
        "Node: \"{name}\"\nRole: \"bronzehead\"\nMachineClass: \"sidecar\"\nServes:\n  - \"sidecar\"\n\
         Ip: \"{ip}\"\nZone: \"{zone}\"\nRegion: \"attiki\"\nZones:\n  attiki-a: \"attiki\"\n  attiki-b: \"attiki\"\n\
         Listen:\n  Inbound: \"{ip}:{INBOUND}\"\n  Outbound: \"{ip}:{OUTBOUND}\"\n  Ready: \"{ip}:{READY}\"\n  \
         Control: \"{ip}:{CONTROL}\"\nPortRange:\n  - 7600\n  - 7615\nSeeds: []\nBootstrap: {is_first_start}\n\
         InTolerance: false\nLimits:\n  CpuShare: 0.2\n  Cores: 1\n  MemoryMb: 110\n  MaxFds: 4100\n  \
         LinkMbps: 1000.0\n  DiskMb: 0\nDataDir: null\nDiscovery: \"local\"\nEntry: \"local\"\n\
         Heartbeat: \"1500ms\"\nContracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"retry\"\n  \
         - \"recover\"\n  - \"rollout\"\n  - \"platform\"\n{contracts}Tolerate:\n  Machines: 1\n  Zones: 0\n  Regions: 0\n\
         Bounds:\n  - \"SeedLag=3s\"\n  - \"ReuseAfter=2s\"\n  - \"StableWindow=3000ms\"\n  - \"Ack=4000ms\"\n  \
         - \"CatchUp=4s\"\n  - \"Drain=2000ms\"\n  - \"Grace={grace}\"\n  - \"LossSlack=200ms\"\n  \
         - \"ConfigApply=2000ms\"\n  - \"RollbackSlack=250ms\"\n  - \"Stretch=5000ms\"\n  - \"RetryRatio=0.2\"\n  \
         - \"RetryWindow=10s\"\n  - \"RetrySlack=60\"\n  - \"ExposeShare=0.1\"\n  - \"ExposeSlack=50\"\n  \
         - \"Rollback=5000ms\"\n  - \"Recover=15s\"\n{further}AppAddr: \"{ip}:{APP}\"\nService: \"{service}\"\n\
         Platform:\n  Address: \"{store}\"\n  form: \"log\"\n  WritesPerS: 400\n  ReadsPerS: 2000\n  parts: 12\n  \
         Append: \"2ms\"\n  PartMbS: 20.0\n  ReadMbS: 80.0\n  RecordBytes: 262144\n  CallBytes: 2097152\n  \
         keep: \"300s\"\n  PartMb: 200\n  TtlMin: \"1000ms\"\n"
    );
    fs::write(&settings, text).expect("settings");
    Machine {
        name: name.to_owned(),
        ip: ip.to_owned(),
        service: service.to_owned(),
        zone: zone.to_owned(),
        settings,
        program: PathBuf::from(cfg.program),
        child: None,
        starts: 0,
    }
}

/// First three numbers of the loopback addresses of a run, on which the fixed ports are free.
pub fn free_network() -> Option<String> {
    let seed = std::process::id();
    (0..200_u32).find_map(|attempt| {
        let number = seed.wrapping_mul(31).wrapping_add(attempt * 97) % 50_000;
        let network = format!("127.{}.{}", 20 + number / 250, 1 + number % 250);
        let is_free = (1..=9).all(|host| {
            [OUTBOUND, READY, CONTROL, APP, 7600, 9464]
                .iter()
                .all(|port| TcpListener::bind(format!("{network}.{host}:{port}")).is_ok())
        });
        is_free.then_some(network)
    })
}

/// How a request of a client ended.
#[derive(Debug, Clone)]
pub struct Answered {
    pub request: String,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// Status, or why there is no whole answer.
    pub end: Result<u16, String>,
}

/// Sends a request of a client of a machine to its daemon.
pub fn request(machine: &Machine, record: &Record, id: &str, method: &str, path: &str, left_ms: u64) -> Answered {
    request_with(machine, record, id, (method, path), left_ms, &[])
}

/// The same with further headers.
pub fn request_with(
    machine: &Machine,
    record: &Record,
    id: &str,
    (method, path): (&str, &str),
    left_ms: u64,
    further: &[(&str, &str)],
) -> Answered {
    let left = left_ms.to_string();
    let mut headers = vec![
        ("Host", "shop.example"),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", left.as_str()),
    ];
    headers.extend(further);
    let body = if method == "GET" { "" } else { "{\"item\":7}" };
    let req = message(format!("{method} {path} HTTP/1.1"), &headers, body);
    let sent_at = Instant::now();
    let name = &machine.name;
    record.write(&format!("client at {name} sends {id}: {method} {path} {further:?}"));
    let res = call(machine.address(OUTBOUND), &req, Duration::from_millis(left_ms + 500));
    let end = res.map(|res| res.status());
    record.write(&format!("client at {name} gets for {id}: {end:?}"));
    Answered {
        request: id.to_owned(),
        sent_at,
        ended_at: Instant::now(),
        end,
    }
}

/// A route of the configuration.
pub struct RouteCfg<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout: &'a str,
    pub target_latency: &'a str,
    pub attempts: u32,
    pub priority: u32,
}

/// Text of a configuration.
pub fn config(version: u64, routes: &[RouteCfg<'_>]) -> String {
    config_with(version, routes, "")
}

/// The same with further fields, each with a comma behind it.
pub fn config_with(version: u64, routes: &[RouteCfg<'_>], further: &str) -> String {
    let mut services = BTreeMap::new();
    let mut rows = Vec::new();
    for (index, route) in routes.iter().enumerate() {
        services.insert(route.service, ());
        rows.push(format!(
            "\"r-{index}\":{{\"Hostname\":\"shop.example\",\"PathPrefix\":\"{}\",\"Kind\":\"{}\",\
             \"Timeout\":\"{}\",\"TargetLatency\":\"{}\",\"Priority\":{},\"Service\":\"{}\",\"Attempts\":{}}}",
            route.prefix,
            route.kind,
            route.timeout,
            route.target_latency,
            route.priority,
            route.service,
            route.attempts
        ));
    }
    let services: Vec<String> = services
        .keys()
        .map(|name| {
            format!("\"{name}\":{{\"HealthPath\":\"/healthz\",\"MaxConns\":120,\"Protocol\":\"h1\",\"Tls\":false}}")
        })
        .collect();
    format!(
        "{{\"Version\":\"r{version}\",{further}\"Routes\":{{{}}},\"Services\":{{{}}},\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":67108864,\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"}}}}",
        rows.join(","),
        services.join(",")
    )
}
