//! Starts the parts of a daemon, and stops them in order.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use base::units::unix_millis;
use http::StatusCode;
use http_edge::DatagramSocket;
use http_edge::Handler;
use http_edge::Request;
use http_edge::Response;
use http_edge::Server;
use http_edge::ServerCfg;
use mesh::election::strength;
use report::metrics::Metrics;
use report::metrics::MetricsError;
use serde_json::json;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use users_platform::BootConfig;
use users_platform::Topic;

use crate::announce;
use crate::control::HeartbeatHandler;
use crate::control::ReadyHandler;
use crate::follow;
use crate::forward::InnerHandler;
use crate::gate::PUMP_EVERY;
use crate::gossip;
use crate::ingress::IngressHandler;
use crate::logs;
use crate::mover;
use crate::node::Node;
use crate::node::Shared;

/// Port of the metrics; the deploy file names the same one.
const METRICS_PORT: u16 = 9464;

/// How often the daemon looks for a signal; small against its grace period.
const SIGNAL_POLL: Duration = Duration::from_millis(50);

/// How often the settings file is read without a signal: it may change without one.
const RELOAD_EVERY: Duration = Duration::from_secs(1);

/// Time between SIGTERM and the end of listening. The platform asks once a second and sends no
/// more clients after two misses.
const LINGER: Duration = Duration::from_millis(2500);

/// Time between the announcement to other daemons and the end of listening; some rounds of gossip. Until
/// then the instance is served, since a restart takes it away from all.
const FAREWELL: Duration = Duration::from_millis(500);

/// Part of the grace period that is left for the process to end: a tenth of the users' 6 s.
const END_MARGIN: Duration = Duration::from_millis(600);

/// How long idle connections between daemons stay open at the accepting end: three times as long as the
/// other end uses them.
const INNER_IDLE: Duration = Duration::from_mins(1);

/// How long idle connections of clients stay open: longer than the users' configurations let clients
/// use them, which is some 15 s.
const CLIENT_IDLE: Duration = Duration::from_mins(1);

/// Bodies of clients up to this size, in bytes, are taken. The users' limit is larger; the memory of a
/// machine holds few of that size.
const CLIENT_BODY: usize = 8 * 1024 * 1024;

/// Heads of clients up to this size, in bytes, are taken: four times the users' limit.
const CLIENT_HEAD: usize = 64 * 1024;

/// Why a daemon cannot start.
#[derive(Debug)]
pub enum StartError {
    /// An address cannot be listened on.
    Listen(SocketAddr, io::Error),
    /// The metrics cannot be set up.
    Metrics(MetricsError),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, e) => write!(f, "cannot listen on {address}: {e}"),
            Self::Metrics(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for StartError {}

struct Servers {
    clients: Server,
    inner: Server,
    control: [Server; 3],
}

/// Runs a daemon until it is told to stop.
///
/// # Errors
/// When it cannot start.
pub async fn run(boot: BootConfig) -> Result<(), StartError> {
    let daemon = Daemon::start(boot)?;
    wait_for_stop(&daemon.node).await;
    daemon.close().await;
    Ok(())
}

/// A running daemon, for programs that embed it.
pub struct Daemon {
    node: Shared,
    servers: Servers,
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    /// When an address cannot be listened on, or the metrics cannot be set up.
    pub fn start(boot: BootConfig) -> Result<Self, StartError> {
        let incarnation = unix_millis(SystemTime::now());
        let metrics = Metrics::new().map_err(StartError::Metrics)?;
        let inner = SocketAddr::new(boot.ip, boot.daemon_ports.0);
        let datagrams = DatagramSocket::open(inner).map_err(|e| StartError::Listen(inner, e))?;
        let node = Rc::new(Node::new(boot, incarnation, metrics, datagrams));
        let servers = start(&node)?;
        node.log_state("started", || {
            let boot = node.boot.borrow();
            json!({
                "daemon": boot.daemon,
                "zone": boot.zone,
                "incarnation": incarnation,
                "strength": strength(boot.cpu_permille, boot.link_mbps),
            })
        });
        log::logger().flush();
        Ok(Self { node, servers })
    }

    /// Number of the configuration in force; 0 before the first one.
    #[must_use]
    pub fn config_version(&self) -> mesh::ConfigVersion {
        self.node.tables.borrow().version()
    }

    /// Whether clients should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.node.is_ready()
    }

    /// Whether this daemon reads the store for its zone.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.node.is_leader()
    }

    /// Other daemons and this one, as far as they are known here.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.node.directory.borrow().len()
    }

    /// Stops gracefully: what runs is finished within the grace period of the settings.
    pub async fn close(self) {
        stop(&self.node, self.servers).await;
    }
}

fn start(node: &Shared) -> Result<Servers, StartError> {
    let boot = node.boot.borrow().clone();
    let mut cfg = ServerCfg {
        idle_timeout: CLIENT_IDLE,
        ..ServerCfg::default()
    };
    cfg.limits.max_body_bytes = CLIENT_BODY;
    cfg.limits.max_head_bytes = CLIENT_HEAD;
    let inner_cfg = ServerCfg {
        idle_timeout: INNER_IDLE,
        ..cfg
    };
    let inner_address = SocketAddr::new(boot.ip, boot.daemon_ports.0);
    let clients = IngressHandler {
        node: Rc::clone(node),
    };
    let inner = InnerHandler {
        node: Rc::clone(node),
    };
    let heartbeats = HeartbeatHandler {
        node: Rc::clone(node),
    };
    let ready = ReadyHandler {
        node: Rc::clone(node),
    };
    let metrics = MetricsHandler {
        node: Rc::clone(node),
    };
    let servers = Servers {
        clients: serve(boot.request_address, clients, cfg)?,
        inner: serve(inner_address, inner, inner_cfg)?,
        control: [
            serve(boot.heartbeat_address, heartbeats, ServerCfg::default())?,
            serve(boot.readiness_address, ready, ServerCfg::default())?,
            serve(
                SocketAddr::new(boot.ip, METRICS_PORT),
                metrics,
                ServerCfg::default(),
            )?,
        ],
    };
    monoio::spawn(gossip::send(Rc::clone(node)));
    monoio::spawn(gossip::lead(Rc::clone(node)));
    monoio::spawn(gossip::send_evidence(Rc::clone(node)));
    monoio::spawn(gossip::receive(Rc::clone(node)));
    monoio::spawn(follow::follow(Rc::clone(node), Topic::Operator));
    monoio::spawn(follow::follow(Rc::clone(node), Topic::Mesh));
    monoio::spawn(follow::relay(Rc::clone(node)));
    monoio::spawn(announce::announce(Rc::clone(node)));
    monoio::spawn(mover::control(Rc::clone(node)));
    monoio::spawn(housekeeping(Rc::clone(node)));
    Ok(servers)
}

fn serve<H: Handler>(
    address: SocketAddr,
    handler: H,
    cfg: ServerCfg,
) -> Result<Server, StartError> {
    let listener = http_edge::listen(address).map_err(|e| StartError::Listen(address, e))?;
    Ok(Server::start(listener, Rc::new(handler), cfg))
}

/// Looks after waiting requests and gathered log lines.
async fn housekeeping(node: Shared) {
    let flushed = Cell::new(Instant::now());
    loop {
        monoio::time::sleep(PUMP_EVERY).await;
        node.gate.pump();
        if flushed.get().elapsed() >= logs::FLUSH_INTERVAL {
            flushed.set(Instant::now());
            let load = node.gate.load();
            node.metrics.set_load(load.running, load.queued);
            log::logger().flush();
        }
    }
}

/// Watches for signals and for changes of the settings file; returns at the signal to stop.
async fn wait_for_stop(node: &Shared) {
    let stop = flag_of(&[SIGTERM, SIGINT]);
    let reload = flag_of(&[SIGHUP]);
    let mut reloaded = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        monoio::time::sleep(SIGNAL_POLL).await;
        let is_asked = reload.swap(false, Ordering::Relaxed);
        if is_asked || reloaded.elapsed() >= RELOAD_EVERY {
            reloaded = Instant::now();
            node.reload(is_asked);
        }
    }
}

fn flag_of(signals: &[i32]) -> Arc<AtomicBool> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in signals {
        if let Err(e) = signal_hook::flag::register(*signal, Arc::clone(&flag)) {
            log::error!("daemon: cannot watch for signal {signal}: {e}");
        }
    }
    flag
}

/// Stops in order: no more clients, then no more requests, then the process.
async fn stop(node: &Shared, servers: Servers) {
    let began = Instant::now();
    let grace = node.boot.borrow().grace_period.saturating_sub(END_MARGIN);
    node.stopping.set();
    servers.clients.drain();
    node.log_state(
        "stopping",
        || json!({ "requests": servers.clients.active_requests(), "inner": servers.inner.active_requests() }),
    );
    log::logger().flush();
    let linger = LINGER.min(grace / 2);
    monoio::time::sleep(linger.saturating_sub(FAREWELL)).await;
    node.closing.set();
    monoio::time::sleep(linger.min(FAREWELL)).await;
    let left = grace.saturating_sub(began.elapsed());
    servers.clients.close(left).await;
    let left = grace.saturating_sub(began.elapsed());
    servers.inner.close(left).await;
    for server in servers.control {
        server.close(Duration::ZERO).await;
    }
    node.log_state(
        "stopped",
        || json!({ "took_ms": began.elapsed().as_millis() }),
    );
    log::logger().flush();
    // The thread that writes the log gets a moment for the last lines.
    monoio::time::sleep(SIGNAL_POLL).await;
}

impl Node {
    /// Reads the settings again; those that cannot be used leave the present ones in force.
    fn reload(&self, is_asked: bool) {
        match BootConfig::load() {
            Ok(boot) => {
                let is_changed = *self.boot.borrow() != boot;
                if is_changed {
                    self.gate.set_instance(boot.instance_address);
                    *self.boot.borrow_mut() = boot;
                }
                if is_changed || is_asked {
                    self.log_state(
                        "reloaded",
                        || json!({ "changed": is_changed, "asked": is_asked }),
                    );
                }
            }
            Err(e) => self.log_state("reload-failed", || json!({ "reason": e.to_string() })),
        }
    }
}

/// Tells the metrics.
struct MetricsHandler {
    node: Shared,
}

impl Handler for MetricsHandler {
    async fn handle(&self, _req: Request) -> Response {
        match self.node.metrics.encode_text() {
            Ok(text) => Response::text(StatusCode::OK, text),
            Err(e) => {
                log::error!("metrics: {e}");
                Response::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string())
            }
        }
    }
}
