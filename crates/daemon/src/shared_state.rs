//! What the parts of a daemon publish to each other.

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

/// Bytes of the headers that the system adds to a call or an answer.
const INNER_HEADERS: usize = 4 * 1024;

/// Values that one part writes and others read.
#[derive(Clone)]
pub struct SharedState {
    /// Who this daemon is.
    pub daemon_cfg: Rc<DaemonCfg>,
    /// Folded state; written by the feed.
    pub state: Watch<State>,
    /// Newest lease heard, and when it was renewed; merged by the feed and by the controller.
    pub lease: Watch<ObservedLease>,
    /// Take-backs, with or without a record; grows only.
    pub rollbacks: Watch<BTreeSet<RollbackFact>>,
    /// Instances that take calls; written by the members part.
    pub endpoints: Watch<Vec<Endpoint>>,
    /// Live members, this one included; written by the members part.
    pub peers: Watch<Vec<Peer>>,
    /// The upstream beside this daemon; written by the local part.
    pub upstream: Watch<Option<Announcement>>,
    /// Table for calls; written by the table part.
    pub table: Watch<Table>,
    /// Whether this daemon is leaving.
    pub shutdown: Watch<ShutdownPhase>,
    /// Metrics and history, which all parts count in.
    pub meter: Rc<Meter>,
    lease_watch: Rc<RefCell<LeaseWatch>>,
}

/// Who this daemon is.
#[derive(Debug, Clone)]
pub struct DaemonCfg {
    /// Its settings.
    pub settings: Settings,
    /// Number of this start; higher than that of the start before.
    pub incarnation: Incarnation,
}

/// A live member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub daemon: DaemonId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Where it takes the inner protocol.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// A lease and when this daemon last heard a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedLease {
    /// The lease.
    pub lease: Lease,
    /// When a renewal was last heard here; `None` before the first.
    pub last_renewal: Option<Instant>,
}

/// Whether the daemon is on its way out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// It is not.
    #[default]
    NotStarted,
    /// It takes no new work for its upstream.
    Draining,
}

impl DaemonCfg {
    /// Sizes of calls and of their answers.
    #[must_use]
    pub fn limits(&self) -> Limits {
        let bytes = |size: u64| usize::try_from(size).unwrap_or(usize::MAX);
        Limits {
            max_head_bytes: bytes(self.settings.limits.max_head),
            max_body_bytes: bytes(self.settings.limits.max_body),
        }
    }

    /// Sizes between daemons: a call that a client may send has room for the system's headers.
    #[must_use]
    pub fn inner_limits(&self) -> Limits {
        let limits = self.limits();
        Limits {
            max_head_bytes: limits.max_head_bytes + INNER_HEADERS,
            ..limits
        }
    }

    /// Idle connections for calls.
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

    /// Streams of the log that the settings name.
    #[must_use]
    pub fn streams(&self) -> Streams {
        Streams {
            records: self.settings.log.stream.clone(),
            snapshots: self.settings.log.snapshots.clone(),
        }
    }
}

impl SharedState {
    /// The shared of a daemon that starts now.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        // The wall clock grows between starts; a clock set back gives a lower number, which
        // peers refuse until the old one has been declared dead.
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

    /// Takes in a lease; an older one changes nothing.
    ///
    /// The first lease of an epoch renews nothing: it may be a dead holder's last one.
    pub fn merge_lease(&self, lease: Lease) {
        let mut watch = self.lease_watch.borrow_mut();
        if watch.observe(lease, Instant::now()) != LeaseUpdate::Stale {
            self.lease.set(ObservedLease {
                lease: watch.newest(),
                last_renewal: watch.renewed_at(),
            });
        }
    }

    /// What was heard of the lease.
    #[must_use]
    pub fn lease_watch(&self) -> LeaseWatch {
        self.lease_watch.borrow().clone()
    }

    /// Takes in take-backs; known ones change nothing.
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
