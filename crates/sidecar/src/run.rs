//! Starts the tasks and servers of a daemon, and stops them in order.

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
use mesh::config::Rank;
use mesh::election::strength;
use mesh::rate_limit::RequestRate;
use mesh::shutdown::Expectation;
use mesh::shutdown::Shutdown;
use protocol::call::NotRunReason;
use report::metrics::Metrics;
use report::metrics::MetricsError;
use serde_json::json;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use users_platform::BootConfig;
use users_platform::Topic;

use crate::announce;
use crate::caps;
use crate::cold;
use crate::control::HeartbeatHandler;
use crate::control::ReadyHandler;
use crate::departures;
use crate::dispatcher::QUEUE_CHECK_INTERVAL;
use crate::forward::PeerHandler;
use crate::gossip;
use crate::ingress::IngressHandler;
use crate::knowledge;
use crate::logs;
use crate::move_controller;
use crate::node::Node;
use crate::node::SharedNode;
use crate::peer_sync;
use crate::quarantine;
use crate::read_requests;
use crate::store_sync;

/// Port of the metrics endpoint; the deployment file names the same one.
const METRICS_PORT: u16 = 9464;

/// Interval between checks for a signal; small against the grace period.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the settings file is read without a signal, since it may change without one.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Time from SIGTERM until the client listener closes. The platform checks readiness once a second
/// and sends no more clients after two failed checks.
const DRAIN_DELAY: Duration = Duration::from_millis(2500);

/// Time between announcing the shutdown to peers and closing the listeners; two gossip rounds. Until
/// the announcement peers send requests for the instance: it is reached only through this daemon,
/// so a restart takes it away from all daemons.
const CLOSE_NOTICE: Duration = Duration::from_millis(500);

/// Part of the grace period reserved for process exit: a tenth of the users' 6 s.
const EXIT_MARGIN: Duration = Duration::from_millis(600);

/// Time before the end of the grace period at which requests that still wait are refused: some hops between
/// daemons.
const LAST_REFUSALS: Duration = Duration::from_millis(200);

/// Error that prevents a daemon from starting.
#[derive(Debug)]
pub enum StartError {
    /// Listening on an address failed.
    Listen(SocketAddr, io::Error),
    /// Setting up the metrics failed.
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
    peers: Server,
    control: [Server; 3],
}

/// Runs a daemon until SIGTERM or SIGINT.
///
/// # Errors
/// When an address cannot be listened on, or the metrics cannot be set up.
pub async fn run(boot: BootConfig) -> Result<(), StartError> {
    let daemon = Daemon::start(boot)?;
    wait_for_stop(&daemon.node).await;
    daemon.close().await;
    Ok(())
}

/// Running daemon, for programs that embed it.
pub struct Daemon {
    node: SharedNode,
    servers: Servers,
}

impl Daemon {
    /// Starts the servers and tasks of a daemon with these settings.
    ///
    /// # Errors
    /// When an address cannot be listened on, or the metrics cannot be set up.
    pub fn start(boot: BootConfig) -> Result<Self, StartError> {
        let incarnation = unix_millis(SystemTime::now());
        let metrics = Metrics::new().map_err(StartError::Metrics)?;
        let datagram_address = SocketAddr::new(boot.ip, boot.daemon_ports.0);
        let datagrams = DatagramSocket::open(datagram_address)
            .map_err(|e| StartError::Listen(datagram_address, e))?;
        let cap_datagrams = caps::open_socket(boot.ip, boot.daemon_ports)
            .map_err(|(address, e)| StartError::Listen(address, e))?;
        let node = Node::new(boot, incarnation, metrics, datagrams, cap_datagrams);
        let node = Rc::new(node);
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

    /// Returns the version of the active configuration; 0 before the first one.
    #[must_use]
    pub fn config_version(&self) -> mesh::ConfigVersion {
        self.node.active_table.borrow().version()
    }

    /// Returns whether the platform should send clients to this daemon.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.node.is_ready()
    }

    /// Returns whether this daemon is a leader of its zone and reads the store for it.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.node.is_leader()
    }

    /// Returns the number of daemons known here, including this one.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.node.directory.borrow().len()
    }

    /// Stops gracefully: pending requests finish within the grace period of the settings.
    pub async fn close(self) {
        stop(&self.node, self.servers).await;
    }
}

fn start(node: &SharedNode) -> Result<Servers, StartError> {
    let boot = node.boot.borrow().clone();
    let peer_address = SocketAddr::new(boot.ip, boot.daemon_ports.0);
    let clients = IngressHandler {
        node: Rc::clone(node),
    };
    let peers = PeerHandler {
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
    let metrics_address = SocketAddr::new(boot.ip, METRICS_PORT);
    let limits = &node.limits;
    let control = Rc::default();
    let servers = Servers {
        clients: serve(node, boot.request_address, clients, &limits.clients)?,
        peers: serve(node, peer_address, peers, &limits.peers)?,
        control: [
            serve(node, boot.heartbeat_address, heartbeats, &control)?,
            serve(node, boot.readiness_address, ready, &control)?,
            serve(node, metrics_address, metrics, &control)?,
        ],
    };
    monoio::spawn(gossip::send_rounds(Rc::clone(node)));
    monoio::spawn(gossip::send_as_leader(Rc::clone(node)));
    monoio::spawn(gossip::send_evidence(Rc::clone(node)));
    monoio::spawn(gossip::receive(Rc::clone(node)));
    monoio::spawn(store_sync::follow_topic(Rc::clone(node), Topic::Operator));
    monoio::spawn(store_sync::follow_topic(Rc::clone(node), Topic::Mesh));
    monoio::spawn(peer_sync::fetch_configs(Rc::clone(node)));
    monoio::spawn(peer_sync::fetch_members(Rc::clone(node)));
    monoio::spawn(read_requests::read_for_others(Rc::clone(node)));
    monoio::spawn(knowledge::keep_proved(Rc::clone(node)));
    monoio::spawn(announce::announce(Rc::clone(node)));
    monoio::spawn(announce::write_for_zone(Rc::clone(node)));
    if !boot.is_first_start {
        monoio::spawn(departures::confirm_instance(Rc::clone(node)));
    }
    monoio::spawn(move_controller::decide_moves(Rc::clone(node)));
    monoio::spawn(quarantine::evaluate_crashes(Rc::clone(node)));
    caps::spawn(node);
    monoio::spawn(housekeeping(Rc::clone(node)));
    Ok(servers)
}

fn serve<H: Handler>(
    node: &SharedNode,
    address: SocketAddr,
    handler: H,
    cfg: &Rc<Cell<ServerCfg>>,
) -> Result<Server, StartError> {
    let listener = http_edge::listen(address).map_err(|e| StartError::Listen(address, e))?;
    let budget = node.limits.budget.clone();
    let handler = Rc::new(handler);
    Ok(Server::start_within(
        budget,
        listener,
        handler,
        Rc::clone(cfg),
    ))
}

/// Processes the admission queue and flushes the log at intervals.
async fn housekeeping(node: SharedNode) {
    let flushed = Cell::new(Instant::now());
    loop {
        monoio::time::sleep(QUEUE_CHECK_INTERVAL).await;
        node.check_wake();
        cold::check_warmth(&node);
        node.dispatcher.process_queue();
        node.transfers.process_queue();
        if flushed.get().elapsed() >= logs::FLUSH_INTERVAL {
            flushed.set(Instant::now());
            let load = node.dispatcher.load();
            node.metrics.set_load(load.running, load.queued);
            let kept = node.dispatcher.kept_slots(Rank::MAX);
            node.metrics.set_kept_slots(kept);
            let limit = node.dispatcher.limit().map(RequestRate::per_sec);
            node.metrics.set_instance_limit(limit);
            node.show_evenness();
            node.update_limits();
            log::logger().flush();
        }
    }
}

/// Reloads the settings on SIGHUP and at intervals; returns on SIGTERM or SIGINT.
async fn wait_for_stop(node: &SharedNode) {
    let stop = signal_flag(&[SIGTERM, SIGINT]);
    let reload = signal_flag(&[SIGHUP]);
    let mut reloaded = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        monoio::time::sleep(SIGNAL_POLL_INTERVAL).await;
        let is_requested = reload.swap(false, Ordering::Relaxed);
        if is_requested || reloaded.elapsed() >= RELOAD_INTERVAL {
            reloaded = Instant::now();
            node.reload(is_requested);
        }
    }
}

fn signal_flag(signals: &[i32]) -> Arc<AtomicBool> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in signals {
        if let Err(e) = signal_hook::flag::register(*signal, Arc::clone(&flag)) {
            log::error!("cannot install the handler of signal {signal}: {e}");
        }
    }
    flag
}

/// Stops in order: no new clients, then no new requests, then the remaining servers.
async fn stop(node: &SharedNode, servers: Servers) {
    let began = Instant::now();
    let grace = node.boot.borrow().grace_period.saturating_sub(EXIT_MARGIN);
    let mut shutdown = Shutdown::new(began + grace);
    node.shutdown.set(Some(shutdown));
    node.stopping.set();
    servers.clients.drain();
    node.log_state("stopping", || {
        json!({
            "requests": servers.clients.active_requests(),
            "inner": servers.peers.active_requests(),
        })
    });
    log::logger().flush();
    node.resign_allocation().await;
    let drain_delay = DRAIN_DELAY.min(grace / 2);
    monoio::time::sleep(drain_delay.saturating_sub(CLOSE_NOTICE)).await;
    node.closing.set();
    monoio::time::sleep(drain_delay.min(CLOSE_NOTICE)).await;
    shutdown.record_closing();
    node.shutdown.set(Some(shutdown));
    servers.peers.drain();
    monoio::spawn(refuse_waiting_at_end(Rc::clone(node), shutdown));
    servers
        .clients
        .close(shutdown.time_left(Instant::now()))
        .await;
    servers
        .peers
        .close(shutdown.time_left(Instant::now()))
        .await;
    for server in servers.control {
        server.close(Duration::ZERO).await;
    }
    node.log_state(
        "stopped",
        || json!({ "took_ms": began.elapsed().as_millis() }),
    );
    log::logger().flush();
    // Gives the log thread time to write the last lines.
    monoio::time::sleep(SIGNAL_POLL_INTERVAL).await;
}

/// Refuses the requests that still wait for the instance just before the process ends.
async fn refuse_waiting_at_end(node: SharedNode, shutdown: Shutdown) {
    let left = shutdown.time_left(Instant::now());
    monoio::time::sleep(left.saturating_sub(LAST_REFUSALS)).await;
    node.dispatcher.refuse_waiting(NotRunReason::Leaving);
}

impl Node {
    /// Returns whether the platform should send clients to this daemon: it is not stopping, and has
    /// a configuration and the members.
    pub fn is_ready(&self) -> bool {
        !self.stopping.is_set()
            && self.active_table.borrow().current().is_some()
            && self.has_loaded_members.get()
    }

    /// Whether the process may end before a request has its answer.
    pub fn ends_before(&self, expected: Expectation) -> bool {
        let shutdown = self.shutdown.get();
        shutdown.is_some_and(|shutdown| !shutdown.leaves_time_for(expected, Instant::now()))
    }

    /// Reloads the settings. If they are invalid, the current ones stay in force.
    fn reload(&self, is_requested: bool) {
        match BootConfig::load() {
            Ok(boot) => {
                let is_changed = *self.boot.borrow() != boot;
                let has_store_moved = self.store.set_address(boot.store_address);
                if is_changed {
                    self.dispatcher.set_instance(boot.instance_address);
                    *self.boot.borrow_mut() = boot;
                }
                if is_changed || is_requested {
                    self.log_state("reloaded", || {
                        json!({
                            "changed": is_changed,
                            "asked": is_requested,
                            "store_moved": has_store_moved,
                        })
                    });
                }
            }
            Err(e) => self.log_state("reload-failed", || json!({ "reason": e.to_string() })),
        }
    }
}

/// Serves the metrics.
struct MetricsHandler {
    node: SharedNode,
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
