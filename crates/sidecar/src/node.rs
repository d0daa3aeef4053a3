//! State shared by the tasks of one daemon.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;
use base::Incarnation;
use base::ServiceName;
use bytes::Bytes;
use http_edge::DatagramSocket;
use http_edge::Latch;
use http_edge::Pool;
use http_edge::PoolCfg;
use mesh::Balancer;
use mesh::Directory;
use mesh::LeaderElection;
use mesh::LocalInstance;
use mesh::StoredMembers;
use mesh::balancer::BalancerCfg;
use mesh::balancer::RandomPair;
use mesh::canary::CanaryAnalysis;
use mesh::config::RouteName;
use mesh::config_sources::ConfigSources;
use mesh::directory::Entry;
use mesh::election::Claim;
use mesh::election::Role;
use mesh::election::strength;
use mesh::evacuation::Evacuations;
use mesh::knowledge::Knowledge;
use mesh::link::Direction;
use mesh::link::LinkMeter;
use mesh::move_decision::MoveDecider;
use mesh::moves::Moves;
use mesh::order_clock::OrderClocks;
use mesh::quarantine;
use mesh::quarantine::Quarantine;
use mesh::retry_budgets::RetryBudgets;
use mesh::shutdown::Shutdown;
use mesh::table::ActiveTable;
use mesh::wake::BootTime;
use mesh::wake::WakeDetector;
use mesh::wire::LoadReport;
use mesh::wire::Member;
use mesh::wire::MemberRevision;
use protocol::call::NotRunReason;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use report::metrics::Metrics;
use serde_json::Value;
use serde_json::json;
use users_platform::BootConfig;
use users_platform::StoreClient;

use crate::caps::CapGate;
use crate::clock;
use crate::cold::ColdGuard;
use crate::dispatcher::InstanceDispatcher;
use crate::knowledge::WithheldProof;
use crate::limits::RequestLimits;
use crate::logs::EventClass;
use crate::logs::EventLog;
use crate::quarantine::CrashDetector;
use crate::quarantine::IsolationGate;
use crate::read_requests::ReadRequests;
use crate::transfer::TransferGate;
use crate::versions::filter_versions;

/// Idle time after which a connection to a peer is not reused; shorter than the time after which
/// the peer's server closes it.
const PEER_REUSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout for connecting to a peer: some round trips of a few milliseconds each.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Fleet size assumed for the shared retry budget until members are known; above the size of the
/// users' sites, so that each daemon spends too little rather than too much.
const ASSUMED_FLEET_SIZE: usize = 100;

/// Time between two log lines about uneven load.
const UNEVENNESS_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// State of one daemon. All tasks run on one thread, and no `RefCell` borrow is held across an
/// await.
pub struct Node {
    pub boot: RefCell<BootConfig>,
    pub incarnation: Cell<Incarnation>,
    pub active_table: RefCell<ActiveTable>,
    /// The active configuration as read from the store, without the customers' keys, compressed for peers.
    pub compressed_config: RefCell<Bytes>,
    /// Peers that announced a later configuration.
    pub config_sources: RefCell<ConfigSources>,
    pub read_requests: ReadRequests,
    /// Age of what this daemon knows of the operator's records.
    pub knowledge: RefCell<Knowledge>,
    pub withheld_proof: RefCell<WithheldProof>,
    /// Address of a peer with members that this daemon lacks.
    pub members_source: Cell<Option<SocketAddr>>,
    pub election: RefCell<LeaderElection>,
    /// Member records read from the store that are yet to be sent to the zone.
    pub pending_members: RefCell<Vec<Member>>,
    /// Which announcements the store holds.
    pub stored_members: RefCell<StoredMembers>,
    /// Announcements that this daemon wrote for its zone and has yet to confirm.
    pub pending_confirmations: RefCell<Vec<MemberRevision>>,
    pub local: RefCell<LocalInstance>,
    pub directory: RefCell<Directory>,
    pub balancer: RefCell<Balancer>,
    /// Time of the latest message from each daemon.
    pub last_contact: RefCell<FastMap<DaemonId, Instant>>,
    pub retry_budgets: RefCell<RetryBudgets>,
    pub moves: RefCell<Moves>,
    pub canary: RefCell<CanaryAnalysis>,
    pub move_decider: RefCell<MoveDecider>,
    pub order_clocks: RefCell<OrderClocks>,
    pub dispatcher: InstanceDispatcher,
    pub quarantine: RefCell<Quarantine>,
    pub crash_detector: CrashDetector,
    pub isolation: Rc<IsolationGate>,
    /// Zones to be emptied.
    pub evacuations: RefCell<Evacuations>,
    /// Set when this daemon has read of a zone to be emptied or taken back, until it has told the others.
    pub has_evacuation_news: Cell<bool>,
    pub cold: ColdGuard,
    /// Requests that were released from the quarantine, yet to be stored.
    pub released: RefCell<Vec<quarantine::Record>>,
    pub transfers: TransferGate,
    pub limits: RequestLimits,
    pub peer_conns: Pool,
    pub store: StoreClient,
    pub caps: CapGate,
    pub metrics: Metrics,
    pub event_log: EventLog,
    started_at: Instant,
    wake: RefCell<WakeDetector>,
    /// Traffic of clients and peers on the machine's network link.
    pub link: RefCell<LinkMeter>,
    /// Whether a task is storing departures of the local instance.
    pub is_storing_departures: Cell<bool>,
    /// Set once the members were read from the store or from a peer.
    pub has_loaded_members: Cell<bool>,
    /// Set when the shutdown begins; the daemon is no longer ready for clients then.
    pub stopping: Latch,
    /// Set later in the shutdown, when peers should send no more requests.
    pub closing: Latch,
    /// Time limit of the shutdown; `None` before it.
    pub shutdown: Cell<Option<Shutdown>>,
    /// Socket for gossip between daemons.
    pub datagrams: DatagramSocket,
    rng: RefCell<SmallRng>,
    /// Time at which uneven load was logged last.
    unevenness_logged_at: Cell<Option<Instant>>,
}

/// Handle to the state of a daemon, cloned into each task.
pub type SharedNode = Rc<Node>;

impl Node {
    /// Creates the state of a daemon from its settings, without members or a configuration.
    pub fn new(
        boot: BootConfig,
        incarnation: Incarnation,
        metrics: Metrics,
        datagrams: DatagramSocket,
        cap_datagrams: Option<DatagramSocket>,
    ) -> Self {
        let pool_cfg = PoolCfg {
            connect_timeout: PEER_CONNECT_TIMEOUT,
            idle_timeout: PEER_REUSE_TIMEOUT,
            ..PoolCfg::default()
        };
        let started_at = Instant::now();
        let limits = RequestLimits::new(&boot);
        Self {
            incarnation: Cell::new(incarnation),
            active_table: RefCell::default(),
            compressed_config: RefCell::default(),
            config_sources: RefCell::default(),
            read_requests: ReadRequests::default(),
            knowledge: RefCell::new(Knowledge::new(rand::random())),
            withheld_proof: RefCell::default(),
            members_source: Cell::new(None),
            election: RefCell::new(LeaderElection::new(
                boot.daemon.clone(),
                boot.zone.clone(),
                strength(boot.cpu_permille, boot.link_mbps),
            )),
            pending_members: RefCell::default(),
            stored_members: RefCell::default(),
            pending_confirmations: RefCell::default(),
            local: RefCell::default(),
            directory: RefCell::default(),
            balancer: RefCell::new(Balancer::new(BalancerCfg::default(), boot.zone.clone())),
            last_contact: RefCell::default(),
            retry_budgets: RefCell::new(RetryBudgets::new(
                boot.retry_ratio,
                boot.retry_slack,
                ASSUMED_FLEET_SIZE,
            )),
            moves: RefCell::default(),
            canary: RefCell::default(),
            move_decider: RefCell::default(),
            order_clocks: RefCell::new(OrderClocks::new(started_at)),
            dispatcher: InstanceDispatcher::new(boot.instance_address, limits.budget.clone()),
            quarantine: RefCell::default(),
            crash_detector: CrashDetector::default(),
            isolation: Rc::default(),
            evacuations: RefCell::default(),
            has_evacuation_news: Cell::new(false),
            cold: ColdGuard::new(started_at),
            released: RefCell::default(),
            transfers: TransferGate::new(boot.link_mbps),
            peer_conns: Pool::within(pool_cfg, limits.budget.clone()),
            limits,
            store: StoreClient::new(boot.store_address),
            caps: CapGate::new(
                boot.daemon.clone(),
                incarnation,
                cap_datagrams,
                clock::boot_time(started_at),
            ),
            metrics,
            event_log: EventLog::new(Instant::now()),
            started_at,
            wake: RefCell::new(WakeDetector::new(clock::boot_time(started_at))),
            link: RefCell::new(LinkMeter::new(started_at)),
            is_storing_departures: Cell::new(false),
            has_loaded_members: Cell::new(false),
            stopping: Latch::default(),
            closing: Latch::default(),
            shutdown: Cell::new(None),
            datagrams,
            unevenness_logged_at: Cell::new(None),
            rng: RefCell::new(SmallRng::seed_from_u64(base::hash::stable(&[
                boot.daemon.as_bytes(),
                &incarnation.to_be_bytes(),
            ]))),
            boot: RefCell::new(boot),
        }
    }

    /// Returns the name of this daemon.
    pub fn name(&self) -> DaemonId {
        self.boot.borrow().daemon.clone()
    }

    /// Returns the state of the local instance for replies and gossip.
    pub fn load_report(&self) -> LoadReport {
        let now = Instant::now();
        LoadReport {
            load: self.dispatcher.load(),
            failures_permille: self.dispatcher.failures(now),
            latency_permille: self.dispatcher.latency_permille(),
            link_permille: self
                .link
                .borrow()
                .permille(self.boot.borrow().link_mbps, now),
            limit: self.dispatcher.limit_report(now),
            work_time_permille: self.dispatcher.work_time_permille(now),
        }
    }

    /// Returns the time since the start of the machine, including the time for which it was suspended.
    pub fn boot_time(&self) -> BootTime {
        clock::boot_time(self.started_at)
    }

    /// Returns for how long a request that is read now may have waited unread, or a decision that is
    /// carried out now may have been delayed, because the process stood still.
    pub fn stood_still(&self) -> Duration {
        self.wake.borrow_mut().observe(self.boot_time())
    }

    /// Drops what is no longer valid if the process has just stood still; called at short intervals.
    pub fn check_wake(&self) {
        let Some(stood_still) = self.wake.borrow_mut().tick(self.boot_time()) else {
            return;
        };
        self.election.borrow_mut().record_wake(Instant::now());
        self.dispatcher.refuse_waiting(NotRunReason::GivenUp);
        let stood_still_ms = stood_still.as_millis();
        self.log_state("woke", || json!({ "stood_still_ms": stood_still_ms }));
    }

    /// Records bytes on the machine's network link.
    pub fn record_transfer(&self, direction: Direction, bytes: u64) {
        self.link
            .borrow_mut()
            .record(direction, bytes, Instant::now());
    }

    /// Returns a random number from a generator seeded with the daemon's name and incarnation.
    pub fn random(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    /// Logs an event about the daemon's own state or its view of others, with
    /// [`EventClass::State`].
    pub fn log_state(&self, event: &'static str, fields: impl FnOnce() -> Value) {
        self.event_log
            .emit(EventClass::State, event, Instant::now(), fields);
    }

    /// Returns the service of the local instance from its last heartbeat, or from the settings
    /// before the first one.
    pub fn own_service(&self) -> ServiceName {
        let local = self.local.borrow();
        match local.last_heartbeat() {
            Some(heartbeat) => heartbeat.service.clone(),
            None => self.boot.borrow().service.clone(),
        }
    }

    /// Returns whether this daemon is a leader of its zone and reads the store for it.
    pub fn is_leader(&self) -> bool {
        !self.stopping.is_set() && self.election.borrow().role(Instant::now()) == Role::Leader
    }

    /// Returns this daemon's leadership claim; `None` unless it is a leader, has loaded the members
    /// and reaches the store.
    pub fn claim(&self) -> Option<Claim> {
        let election = self.election.borrow();
        let is_claimed = self.is_leader()
            && self.has_loaded_members.get()
            && !election.is_yielding(Instant::now());
        is_claimed.then(|| election.own_claim(self.directory.borrow().digest()))
    }

    /// Chooses an instance of a service among the allowed daemons whose version takes the request, for
    /// a request on this route with a body of this size.
    pub fn choose_instance(
        &self,
        service: &ServiceName,
        route: &RouteName,
        is_allowed: impl Fn(&DaemonId) -> bool,
        is_first_attempt: bool,
        body_bytes: usize,
    ) -> Option<Entry> {
        let (random, random_pair) = (self.random(), RandomPair(self.random(), self.random()));
        let now = Instant::now();
        let directory = self.directory.borrow();
        let moves = self.moves.borrow();
        let evacuations = self.evacuations.borrow();
        let serving: Vec<&Entry> = directory
            .serving(service)
            .filter(|entry| !evacuations.contains(&entry.member.zone))
            .collect();
        let candidates: Vec<&Entry> =
            filter_versions(&serving, moves.version_filter(service, route, random))
                .into_iter()
                .filter(|entry| is_allowed(&entry.member.daemon))
                .collect();
        let balancer = self.balancer.borrow();
        let own_name = self.name();
        let own = candidates
            .iter()
            .find(|entry| entry.member.daemon == own_name)
            .filter(|own| balancer.stays_local(own, body_bytes, now));
        if let Some(own) = own {
            return Some((*own).clone());
        }
        // A retry is not sent to instances that were unreachable recently.
        balancer
            .choose(&candidates, random_pair, is_first_attempt, now)
            .cloned()
    }

    /// Sets the gauges of the load in this zone. A leader, which has the reports of the zone, also logs when
    /// requests wait at one instance while another idles.
    pub fn show_evenness(&self) {
        let now = Instant::now();
        let work_time = self.dispatcher.work_time.borrow().factor(now);
        self.metrics.set_instance_work_time(work_time);
        let (service, zone) = (self.own_service(), self.boot.borrow().zone.clone());
        let directory = self.directory.borrow();
        let in_zone = directory
            .serving(&service)
            .filter(|entry| entry.member.zone == zone);
        let Some(evenness) = self.balancer.borrow().evenness(in_zone, now) else {
            return;
        };
        self.metrics.set_zone_load(evenness.mean, evenness.busiest);
        let is_due = self
            .unevenness_logged_at
            .get()
            .is_none_or(|at| now.saturating_duration_since(at) >= UNEVENNESS_LOG_INTERVAL);
        if evenness.is_uneven() && is_due && self.is_leader() {
            self.unevenness_logged_at.set(Some(now));
            self.log_state("load-uneven", || {
                json!({
                    "service": service,
                    "instances": evenness.instances,
                    "overrun": evenness.overrun,
                    "idle": evenness.idle,
                    "mean_permille": permille(evenness.mean),
                    "busiest_permille": permille(evenness.busiest),
                })
            });
        }
    }

    /// Records that a message from a daemon arrived now.
    pub fn record_contact(&self, daemon: &DaemonId) {
        self.last_contact
            .borrow_mut()
            .insert(daemon.clone(), Instant::now());
        self.balancer.borrow_mut().mark_reachable(daemon);
    }

    /// Returns whether a message from a daemon arrived after `since`.
    pub fn has_contact_since(&self, daemon: &DaemonId, since: Instant) -> bool {
        self.last_contact
            .borrow()
            .get(daemon)
            .is_some_and(|at| *at > since)
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn permille(share: f64) -> u32 {
    (share * 1e3) as u32
}
