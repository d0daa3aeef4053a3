//! What the parts of one daemon share.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;
use base::Incarnation;
use base::Offset;
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
use mesh::balancer::BalancerCfg;
use mesh::balancer::RandomPair;
use mesh::canary::CanaryAnalysis;
use mesh::directory::Entry;
use mesh::directory::Merge;
use mesh::election::Claim;
use mesh::election::Role;
use mesh::election::strength;
use mesh::moves::Moves;
use mesh::moves::VersionFilter;
use mesh::retry_budgets::RetryBudgets;
use mesh::table::ActiveTable;
use mesh::table::Adoption;
use mesh::wire::Member;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use report::metrics::Metrics;
use serde_json::Value;
use serde_json::json;
use users_platform::BootConfig;
use users_platform::StoreClient;
use users_platform::operator;

use crate::gate::GateTask;
use crate::logs::EventClass;
use crate::logs::EventLog;

/// Idle connections between daemons are not used again after this time; shorter than the time
/// after which a server closes them.
const INNER_IDLE: Duration = Duration::from_secs(20);

/// Longest time to open a connection to another daemon: some round trips of a few milliseconds.
const INNER_CONNECT: Duration = Duration::from_millis(200);

/// Daemons that are assumed to share the budget of repeats before any is known: more than the users'
/// sites have, so that too little is spent rather than too much.
const UNKNOWN_FLEET: usize = 100;

/// State of one daemon. Only tasks of the one thread touch it, and no borrow lives over an await.
pub struct Node {
    pub boot: RefCell<BootConfig>,
    pub incarnation: Cell<Incarnation>,
    pub tables: RefCell<ActiveTable>,
    /// The configuration in force as the store gave it, compressed for other daemons.
    pub packed_config: RefCell<Bytes>,
    /// Daemon that told of a later configuration.
    pub config_from: Cell<Option<SocketAddr>>,
    /// Daemon that knows members that this one does not.
    pub members_from: Cell<Option<SocketAddr>>,
    pub election: RefCell<LeaderElection>,
    /// Announcements that came from the store, for the daemons of the zone.
    pub member_news: RefCell<Vec<Member>>,
    pub local: RefCell<LocalInstance>,
    pub directory: RefCell<Directory>,
    pub balancer: RefCell<Balancer>,
    pub heard: RefCell<FastMap<DaemonId, Instant>>,
    pub retry_budgets: RefCell<RetryBudgets>,
    pub moves: RefCell<Moves>,
    pub canary: RefCell<CanaryAnalysis>,
    /// When an order was seen first here.
    pub orders_seen: RefCell<FastMap<Offset, Instant>>,
    pub gate: GateTask,
    pub inner: Pool,
    pub store: StoreClient,
    pub metrics: Metrics,
    pub event_log: EventLog,
    pub has_members: Cell<bool>,
    pub stopping: Latch,
    /// Other daemons should send no more requests.
    pub closing: Latch,
    /// Datagrams between daemons.
    pub datagrams: DatagramSocket,
    rng: RefCell<SmallRng>,
}

/// A daemon that shares its state between tasks.
pub type Shared = Rc<Node>;

impl Node {
    /// State of a daemon that knows nothing but its settings.
    pub fn new(
        boot: BootConfig,
        incarnation: Incarnation,
        metrics: Metrics,
        datagrams: DatagramSocket,
    ) -> Self {
        let inner = PoolCfg {
            connect_timeout: INNER_CONNECT,
            idle_timeout: INNER_IDLE,
            ..PoolCfg::default()
        };
        Self {
            incarnation: Cell::new(incarnation),
            tables: RefCell::default(),
            packed_config: RefCell::default(),
            config_from: Cell::new(None),
            members_from: Cell::new(None),
            election: RefCell::new(LeaderElection::new(
                boot.daemon.clone(),
                boot.zone.clone(),
                strength(boot.cpu_permille, boot.link_mbps),
            )),
            member_news: RefCell::default(),
            local: RefCell::default(),
            directory: RefCell::default(),
            balancer: RefCell::new(Balancer::new(BalancerCfg::default(), boot.zone.clone())),
            heard: RefCell::default(),
            retry_budgets: RefCell::new(RetryBudgets::new(
                boot.retry_ratio,
                boot.retry_slack,
                UNKNOWN_FLEET,
            )),
            moves: RefCell::default(),
            canary: RefCell::default(),
            orders_seen: RefCell::default(),
            gate: GateTask::new(boot.instance_address),
            inner: Pool::new(inner),
            store: StoreClient::new(boot.store_address),
            metrics,
            event_log: EventLog::new(Instant::now()),
            has_members: Cell::new(false),
            stopping: Latch::default(),
            closing: Latch::default(),
            datagrams,
            rng: RefCell::new(SmallRng::seed_from_u64(base::hash::stable(&[
                boot.daemon.as_bytes(),
                &incarnation.to_be_bytes(),
            ]))),
            boot: RefCell::new(boot),
        }
    }

    /// Name of this daemon.
    pub fn name(&self) -> DaemonId {
        self.boot.borrow().daemon.clone()
    }

    /// A random number.
    pub fn random(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    /// Writes a line about what the daemon believes.
    pub fn log_state(&self, event: &'static str, fields: impl FnOnce() -> Value) {
        self.event_log
            .emit(EventClass::State, event, Instant::now(), fields);
    }

    /// Whether clients on this machine should be sent here.
    pub fn is_ready(&self) -> bool {
        !self.stopping.is_set()
            && self.tables.borrow().current().is_some()
            && self.has_members.get()
    }

    /// Service that runs on this machine: what the instance told last, else the settings.
    pub fn own_service(&self) -> ServiceName {
        let local = self.local.borrow();
        match local.last_heartbeat() {
            Some(heartbeat) => heartbeat.service.clone(),
            None => self.boot.borrow().service.clone(),
        }
    }

    /// Takes in the bytes of a configuration; `source` says where it came from, `pack` gives them
    /// compressed for other daemons.
    pub fn adopt_config(&self, bytes: &Bytes, source: &str, pack: impl FnOnce() -> Bytes) {
        let cfg = match operator::decode_config(bytes) {
            Ok(cfg) => cfg,
            Err(e) => {
                self.log_state(
                    "config-unreadable",
                    || json!({ "source": source, "reason": e }),
                );
                return;
            }
        };
        let before = self.tables.borrow().version();
        if self.tables.borrow_mut().adopt(&cfg) == Adoption::Adopted {
            *self.packed_config.borrow_mut() = pack();
            self.log_state("config-adopted", || {
                json!({
                    "version": cfg.version,
                    "before": before,
                    "routes": cfg.routes.len(),
                    "source": source,
                })
            });
        }
    }

    /// Takes in the announcement of a daemon; `source` says which way it came.
    pub fn learn_member(&self, member: Member, source: &'static str) -> Merge {
        if member.daemon == self.name() {
            self.outrun(&member);
            return Merge::Known;
        }
        let daemon = member.daemon.clone();
        let merge = self.directory.borrow_mut().merge(member, Instant::now());
        if merge == Merge::Newer {
            self.resize_retries();
            self.log_state("member-learned", || {
                let directory = self.directory.borrow();
                let member = directory.get(&daemon).map(|entry| describe(&entry.member));
                json!({ "member": member, "source": source })
            });
        }
        merge
    }

    /// Whether this daemon reads the store for its zone.
    pub fn is_leader(&self) -> bool {
        !self.stopping.is_set() && self.election.borrow().role(Instant::now()) == Role::Leader
    }

    /// This daemon's claim to lead its zone, once it knows what the store holds.
    pub fn claim(&self) -> Option<Claim> {
        let election = self.election.borrow();
        let is_claimed = self.is_leader()
            && self.has_members.get()
            && !election.is_store_failing(Instant::now());
        is_claimed.then(|| election.own_claim(self.directory.borrow().digest()))
    }

    /// An incarnation of this daemon that ran under a clock ahead of the present one must not
    /// outlive its end.
    fn outrun(&self, own: &Member) {
        if own.incarnation > self.incarnation.get() {
            self.incarnation.set(own.incarnation + 1);
            self.log_state("incarnation-raised", || json!({ "above": own.incarnation }));
        }
    }

    /// Shares the fleet's budget of repeats among the daemons that are known.
    fn resize_retries(&self) {
        let boot = self.boot.borrow();
        let members = self.directory.borrow().len();
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        retry_budgets.resize(boot.retry_ratio, boot.retry_slack, members);
    }

    /// Instances of a service that a request may go to and was not sent to yet.
    pub fn choose(&self, service: &ServiceName, tried: &[DaemonId]) -> Option<Entry> {
        let (random, random_pair) = (self.random(), RandomPair(self.random(), self.random()));
        let now = Instant::now();
        let directory = self.directory.borrow();
        let moves = self.moves.borrow();
        let serving: Vec<&Entry> = directory.serving(service).collect();
        let allowed = filter_versions(&serving, moves.version_filter(service, random));
        let open: Vec<&Entry> = allowed
            .into_iter()
            .filter(|entry| !tried.contains(&entry.member.daemon))
            .collect();
        let balancer = self.balancer.borrow();
        // A request that was refused already is not tried where nobody could be reached lately.
        let is_last_resort = tried.is_empty();
        balancer
            .choose(&open, random_pair, is_last_resort, now)
            .cloned()
    }

    /// Notes that a daemon was heard.
    pub fn hear(&self, daemon: &DaemonId) {
        self.heard
            .borrow_mut()
            .insert(daemon.clone(), Instant::now());
        self.balancer.borrow_mut().mark_reachable(daemon);
    }

    /// Whether a daemon was heard after this moment.
    pub fn was_heard_since(&self, daemon: &DaemonId, since: Instant) -> bool {
        self.heard
            .borrow()
            .get(daemon)
            .is_some_and(|at| *at > since)
    }
}

fn describe(member: &Member) -> Value {
    json!({
        "daemon": member.daemon,
        "incarnation": member.incarnation,
        "revision": member.revision,
        "open": member.is_open,
        "instance": member.instance.as_ref().map(|info| &info.id),
        "service": member.instance.as_ref().map(|info| &info.service),
        "version": member.instance.as_ref().map(|info| &info.version),
    })
}

fn filter_versions<'a>(serving: &[&'a Entry], versions: VersionFilter<'_>) -> Vec<&'a Entry> {
    match versions {
        VersionFilter::Only(target) => with_version(serving, |version| version == target),
        VersionFilter::Except(target) => with_version(serving, |version| version != target),
        VersionFilter::Prefer(target) => {
            let wanted = with_version(serving, |version| version == target);
            if wanted.is_empty() {
                serving.to_vec()
            } else {
                wanted
            }
        }
        VersionFilter::Oldest => {
            let infos = serving
                .iter()
                .filter_map(|entry| entry.member.instance.as_ref());
            match infos.min_by_key(|info| info.born) {
                Some(oldest) => with_version(serving, |version| *version == oldest.version),
                None => Vec::new(),
            }
        }
    }
}

fn with_version<'a>(
    serving: &[&'a Entry],
    keep: impl Fn(&base::VersionName) -> bool,
) -> Vec<&'a Entry> {
    let is_kept = |entry: &Entry| {
        let instance = entry.member.instance.as_ref();
        instance.is_some_and(|info| keep(&info.version))
    };
    serving
        .iter()
        .copied()
        .filter(|entry| is_kept(entry))
        .collect()
}
