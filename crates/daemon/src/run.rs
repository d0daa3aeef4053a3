//! Start and graceful shutdown of a daemon.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_edge::Handler;
use http_edge::Latch;
use http_edge::Limits;
use http_edge::Server;
use http_edge::ServerCfg;
use settings::Settings;

use crate::calls::CallerSide;
use crate::calls::UpstreamSide;
use crate::control::Control;
use crate::feed::Feed;
use crate::local::LocalHandler;
use crate::members::Members;
use crate::meter;
use crate::peers::PeerHandler;
use crate::shared_state::SharedState;
use crate::shared_state::ShutdownPhase;
use crate::snapshots::SnapshotWriter;
use crate::table;

/// Time for gossip to spread that this daemon leaves, before it closes its listeners.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Why a daemon did not start.
#[derive(Debug)]
pub enum StartError {
    /// A listen address of the settings cannot be bound.
    Listen {
        /// The address as the settings give it.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { address, source } => write!(f, "cannot listen on {address}: {source}"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running daemon.
pub struct Daemon {
    shared: SharedState,
    members: Rc<Members>,
    upstream_side: Rc<UpstreamSide>,
    calls: Server,
    peers: Server,
    local: Server,
}

impl Daemon {
    /// Starts all parts on the runtime of the calling task.
    ///
    /// # Errors
    /// When a listen address of the settings cannot be bound.
    pub fn start(settings: Settings) -> Result<Self, StartError> {
        let listen = settings.listen.clone();
        let shared = SharedState::new(settings);
        let cfg = server_cfg(&shared.daemon_cfg.settings, shared.daemon_cfg.limits());
        let inner_server_cfg = server_cfg(
            &shared.daemon_cfg.settings,
            shared.daemon_cfg.inner_limits(),
        );

        let members =
            Members::start(&shared).map_err(|source| listen_error(listen.peers, source))?;
        let feed = Feed::start(&shared, &members);
        let upstream_side = Rc::new(UpstreamSide::new(&shared));
        let control = Control::start(&shared, &upstream_side);
        let caller_side = Rc::new(CallerSide::new(&shared));
        monoio::spawn(table::run(shared.clone()));
        monoio::spawn(meter::run(shared.clone()));
        monoio::spawn(SnapshotWriter::new(&shared).run());

        let inner = PeerHandler {
            calls: Rc::clone(&upstream_side),
            feed,
            members: Rc::clone(&members),
            control,
            meter: Rc::clone(&shared.meter),
        };
        Ok(Self {
            peers: open(listen.peers, inner.into(), inner_server_cfg)?,
            local: open(listen.local, LocalHandler::new(shared.clone()).into(), cfg)?,
            calls: open(listen.calls, caller_side, cfg)?,
            shared,
            members,
            upstream_side,
        })
    }

    /// The state that the parts share, for programs that embed a daemon and observe it.
    #[must_use]
    pub fn shared_state(&self) -> &SharedState {
        &self.shared
    }

    /// Runs until `stop` is set, then shuts down gracefully.
    pub async fn run(self, stop: Latch) {
        stop.wait().await;
        self.close().await;
    }

    /// Shuts down gracefully: announces the leave, refuses new work and waits for running calls,
    /// each step for at most the drain time of the settings.
    pub async fn close(self) {
        let drain = self.shared.daemon_cfg.settings.timing.drain;
        log::info!("daemon: stopping");
        self.shared.shutdown.set(ShutdownPhase::Draining);
        self.members.leave().await;
        self.calls.drain();
        monoio::time::sleep(LEAVE_PROPAGATION_TIME.min(drain)).await;
        self.calls.close(drain).await;
        self.upstream_side.wait_idle(drain).await;
        self.peers.close(drain).await;
        self.local.close(Duration::ZERO).await;
        log::info!("daemon: stopped");
    }
}

fn server_cfg(settings: &Settings, limits: Limits) -> ServerCfg {
    ServerCfg {
        limits,
        idle_timeout: settings.timing.idle,
        ..ServerCfg::default()
    }
}

fn open<H: Handler>(
    address: SocketAddr,
    handler: Rc<H>,
    cfg: ServerCfg,
) -> Result<Server, StartError> {
    let listener = http_edge::listen(address).map_err(|source| listen_error(address, source))?;
    Ok(Server::start(listener, handler, cfg))
}

fn listen_error(address: SocketAddr, source: io::Error) -> StartError {
    StartError::Listen { address, source }
}
