//! Values that the parts of a daemon publish to each other.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use std::time::SystemTime;

use base::DaemonId;
use base::Incarnation;
use base::ZoneName;
use base::units::unix_millis;
use http_edge::Limits;
use http_edge::PoolCfg;
use ledger::State;
use platform::Streams;
use protocol::announce::Announcement;
use protocol::feed::Lease;
use protocol::feed::RollbackFact;
use rollout::lease::LeaseUpdate;
use rollout::lease::LeaseWatch;
use routing::Endpoint;
use routing::Table;
use settings::Settings;

use crate::meter::Meter;
use crate::watch::Watch;

/// Room for the headers that daemons add to a call or an answer, in bytes.
const INNER_HEADERS: usize = 4 * 1024;

/// Values that one part writes and others read. Clones share them.
#[derive(Clone)]
pub struct SharedState {
    /// Settings and incarnation of this daemon.
    pub daemon_cfg: Rc<DaemonCfg>,
    /// State folded from the records of the log; written by the feed.
    pub state: Watch<State>,
    /// Newest lease received, and when it was renewed; merged by the feed and by the controller.
    pub lease: Watch<ObservedLease>,
    /// Rollbacks, whether or not the log has their record yet; only grows.
    pub rollbacks: Watch<BTreeSet<RollbackFact>>,
    /// Instances that accept calls; written by the members part.
    pub endpoints: Watch<Vec<Endpoint>>,
    /// Live members, this one included; written by the members part.
    pub peers: Watch<Vec<Peer>>,
    /// The local upstream, `None` while it does not announce itself; written by the local part.
    pub upstream: Watch<Option<Announcement>>,
    /// Routing table; written by the table part.
    pub table: Watch<Table>,
    /// Whether this daemon shuts down; written by [`crate::Daemon::close`].
    pub shutdown: Watch<ShutdownPhase>,
    /// Metrics and call history, which all parts record to.
    pub meter: Rc<Meter>,
    lease_watch: Rc<RefCell<LeaseWatch>>,
}

/// Settings and incarnation of this daemon, fixed from its start on.
#[derive(Debug, Clone)]
pub struct DaemonCfg {
    /// Settings as they were loaded at the start.
    pub settings: Settings,
    /// Wall-clock time of the start in milliseconds; higher than that of the previous start.
    pub incarnation: Incarnation,
}

/// A live member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name, unique in the fleet.
    pub daemon: DaemonId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Address on which it serves the inner protocol.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// A controller's lease and when this daemon last received a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedLease {
    /// Newest lease that was received.
    pub lease: Lease,
    /// When this daemon last received a renewal; `None` before the first.
    pub last_renewal: Option<Instant>,
}

/// Progress of a graceful shutdown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// The daemon serves as usual.
    #[default]
    NotStarted,
    /// The daemon accepts no new attempts for its upstream.
    Draining,
}

impl DaemonCfg {
    /// Size limits of clients' calls and of their answers.
    #[must_use]
    pub fn limits(&self) -> Limits {
        let bytes = |size: u64| usize::try_from(size).unwrap_or(usize::MAX);
        Limits {
            max_head_bytes: bytes(self.settings.limits.max_head),
            max_body_bytes: bytes(self.settings.limits.max_body),
        }
    }

    /// Size limits between daemons: those of clients' calls plus room for the added headers.
    #[must_use]
    pub fn inner_limits(&self) -> Limits {
        let limits = self.limits();
        Limits {
            max_head_bytes: limits.max_head_bytes + INNER_HEADERS,
            ..limits
        }
    }

    /// Configuration of a connection pool for calls.
    #[must_use]
    pub fn pool(&self, limits: Limits) -> PoolCfg {
        let settings = &self.settings;
        PoolCfg {
            connect_timeout: settings.timing.connect,
            max_idle_per_peer: settings.limits.connections_per_peer as usize,
            limits,
            ..PoolCfg::default()
        }
    }

    /// Streams of the log as the settings name them.
    #[must_use]
    pub fn streams(&self) -> Streams {
        Streams {
            records: self.settings.log.stream.clone(),
            snapshots: self.settings.log.snapshots.clone(),
        }
    }
}

impl SharedState {
    /// Creates the shared state of a daemon that starts now.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        // The wall clock advances between starts. A clock that was set back gives a lower
        // incarnation, which peers refuse until they have declared the old one dead.
        let incarnation = unix_millis(SystemTime::now());
        Self {
            daemon_cfg: Rc::new(DaemonCfg {
                settings,
                incarnation,
            }),
            state: Watch::default(),
            lease: Watch::new(ObservedLease {
                lease: Lease::default(),
                last_renewal: None,
            }),
            rollbacks: Watch::default(),
            endpoints: Watch::default(),
            peers: Watch::default(),
            upstream: Watch::default(),
            table: Watch::default(),
            shutdown: Watch::default(),
            meter: Rc::default(),
            lease_watch: Rc::default(),
        }
    }

    /// Merges a lease; an older one changes nothing.
    ///
    /// The first lease of an epoch is no renewal: it may be the last one of a dead controller.
    pub fn merge_lease(&self, lease: Lease) {
        let mut watch = self.lease_watch.borrow_mut();
        if watch.observe(lease, Instant::now()) != LeaseUpdate::Stale {
            self.lease.set(ObservedLease {
                lease: watch.newest(),
                last_renewal: watch.renewed_at(),
            });
        }
    }

    /// A copy of the lease's history, for the controller core.
    #[must_use]
    pub fn lease_watch(&self) -> LeaseWatch {
        self.lease_watch.borrow().clone()
    }

    /// Merges rollbacks; known ones change nothing.
    pub fn merge_rollbacks(&self, rollbacks: impl IntoIterator<Item = RollbackFact>) {
        let known = self.rollbacks.get();
        let mut new = rollbacks
            .into_iter()
            .filter(|fact| !known.contains(fact))
            .peekable();
        if new.peek().is_some() {
            let mut all = BTreeSet::clone(&known);
            all.extend(new);
            self.rollbacks.set(all);
        }
    }
}
