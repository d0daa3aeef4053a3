//! State of the local instance as the daemon beside it keeps it: slots, connections, health and speed.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::FastMap;
use base::FastSet;
use base::UnixMillis;
use http_edge::Conn;
use http_edge::ConnectError;
use http_edge::MemoryBudget;
use http_edge::Pool;
use http_edge::PoolCfg;
use http_edge::Request;
use http_edge::Response;
use local_sync::oneshot;
use mesh::AdmissionController;
use mesh::admission::AdmissionCfg;
use mesh::admission::QueueAction;
use mesh::config::Rank;
use mesh::health::Health;
use mesh::latency::RelativeLatency;
use mesh::latency::WorkTime;
use mesh::latency::WorkTimeNotice;
use mesh::rate_limit::LimitNotice;
use mesh::rate_limit::LimitReport;
use mesh::rate_limit::RequestRate;
use mesh::run_origins::RunOrigins;
use mesh::wire::ForwardHead;
use protocol::call::Load;
use protocol::call::NotRun;
use protocol::call::NotRunReason;
use smol_str::SmolStr;

use crate::evidence::RouteCounts;
use crate::evidence::ToldEvidence;
use crate::node::Node;

/// Slots assumed until the first heartbeat reports them; fewer than any of the users' instances
/// has.
const INITIAL_SLOTS: u32 = 8;

/// Most queued requests. Bounds memory; each request's deadline bounds its wait.
const MAX_QUEUED: usize = 128;

/// Shortest retry delay sent with a refusal: about the time until one of a few slots is free.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest retry delay sent with a refusal; clients have less than two seconds in total.
pub(crate) const MAX_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Timeout for connecting to the instance on the same machine; a connection takes 1 ms there.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time in which the end of the instance closes a connection that it has just accepted.
const END_SETTLE_TIME: Duration = Duration::from_millis(10);

/// Idle time after which a connection to the instance is not reused; instances close idle
/// connections after several seconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Most idle connections to the instance; more than any of the users' instances has slots.
const MAX_IDLE_CONNS: usize = 64;

/// Interval at which the queue is processed when no request ends: the shortest retry delay.
pub const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

pub(crate) type RequestKey = u64;

/// Most refused requests that are remembered; a request is sent again within a second or not at all.
const MAX_REFUSED: usize = 1024;

/// Ids of the requests that were refused last.
#[derive(Debug, Default)]
struct RecentRefusals {
    ids: FastSet<SmolStr>,
    oldest_first: VecDeque<SmolStr>,
}

impl RecentRefusals {
    fn contains(&self, id: &SmolStr) -> bool {
        self.ids.contains(id)
    }

    fn record(&mut self, id: &SmolStr) {
        if !self.ids.insert(id.clone()) {
            return;
        }
        self.oldest_first.push_back(id.clone());
        if self.oldest_first.len() > MAX_REFUSED
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }
}

/// Outcome for a queued request.
pub(crate) enum WaitOutcome {
    Run,
    Refused(NotRun),
}

/// Admits requests to the local instance and pools the connections to it.
pub struct InstanceDispatcher {
    pub(crate) admission: RefCell<AdmissionController<RequestKey>>,
    pub(crate) waiting: RefCell<FastMap<RequestKey, oneshot::Sender<WaitOutcome>>>,
    /// Requests that were granted a slot but have not resumed yet.
    pub(crate) granted: RefCell<FastSet<RequestKey>>,
    pub(crate) last_key: Cell<RequestKey>,
    /// Requests that hold a slot, which may make calls.
    pub(crate) origins: RefCell<RunOrigins>,
    pub(crate) conns: Pool,
    /// Requests that the instance refused lately.
    refused: RefCell<RecentRefusals>,
    pub(crate) instance: Cell<SocketAddr>,
    pub(crate) counts: RefCell<RouteCounts>,
    pub(crate) pages: RefCell<ToldEvidence>,
    pub(crate) health: RefCell<Health>,
    pub(crate) latency: RefCell<RelativeLatency>,
    pub(crate) work_time: RefCell<WorkTime>,
    /// What the instance stated about its work time last.
    pub(crate) last_work_time_notice: Cell<WorkTimeNotice>,
    /// What the instance stated about its limit last.
    pub(crate) last_limit_notice: Cell<LimitNotice>,
}

impl InstanceDispatcher {
    /// Creates a dispatcher for the instance at this address, whose answers are charged to the budget.
    pub fn new(instance: SocketAddr, budget: MemoryBudget) -> Self {
        let cfg = AdmissionCfg {
            slots: INITIAL_SLOTS,
            max_queued: MAX_QUEUED,
            min_retry_after: MIN_RETRY_AFTER,
            max_retry_after: MAX_RETRY_AFTER,
        };
        let pool = PoolCfg {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            max_idle_per_peer: MAX_IDLE_CONNS,
            ..PoolCfg::default()
        };
        Self {
            admission: RefCell::new(AdmissionController::new(cfg)),
            waiting: RefCell::default(),
            granted: RefCell::default(),
            last_key: Cell::new(0),
            origins: RefCell::default(),
            conns: Pool::within(pool, budget),
            refused: RefCell::default(),
            instance: Cell::new(instance),
            counts: RefCell::default(),
            pages: RefCell::default(),
            health: RefCell::default(),
            latency: RefCell::default(),
            work_time: RefCell::default(),
            last_work_time_notice: Cell::new(WorkTimeNotice::Absent),
            last_limit_notice: Cell::new(LimitNotice::Absent),
        }
    }

    /// Returns the running and queued requests and the slots, for gossip and replies.
    pub fn load(&self) -> Load {
        self.admission.borrow().load()
    }

    /// Returns the number of slots that requests of this rank leave free for more urgent ones.
    pub fn kept_slots(&self, rank: Rank) -> u32 {
        self.admission.borrow().kept_slots(rank, Instant::now())
    }

    /// Returns the decayed failure rate of the instance, in thousandths.
    pub fn failures(&self, now: Instant) -> u16 {
        self.health.borrow().failures_permille(now)
    }

    /// Returns the limit of the instance that is in force; `None` without one.
    pub fn limit(&self) -> Option<RequestRate> {
        self.admission.borrow().limit()
    }

    /// Returns the state of the instance's limit, for gossip and replies.
    pub fn limit_report(&self, now: Instant) -> LimitReport {
        self.admission.borrow().limit_report(now)
    }

    /// Whether the instance accepts a new connection, which then serves a request. One that is about
    /// to end may accept and close it, as one with too many connections does, so it is asked twice.
    pub(crate) async fn accepts_connection(&self) -> bool {
        for _ in 0..2 {
            let Ok(mut conn) = self.conns.connect_new(self.instance.get()).await else {
                return false;
            };
            monoio::time::sleep(END_SETTLE_TIME).await;
            if conn.is_idle() {
                self.conns.put(conn);
                return true;
            }
        }
        true
    }

    /// Returns a connection for a request. One that the instance has refused before gets a new one: on the
    /// connection of the refusal a copy of it would look like the answer.
    pub(crate) async fn connection_for(&self, id: &SmolStr) -> Result<Conn, ConnectError> {
        let address = self.instance.get();
        if self.has_refused(id) {
            self.conns.connect_new(address).await
        } else {
            self.conns.take(address).await
        }
    }

    /// Whether the instance has refused the request before.
    pub(crate) fn has_refused(&self, id: &SmolStr) -> bool {
        self.refused.borrow().contains(id)
    }

    pub(crate) fn record_refusal(&self, id: &SmolStr) {
        self.refused.borrow_mut().record(id);
    }

    /// Sends the instance a request of the daemon's own, which takes no slot; `req` gets its address.
    ///
    /// # Errors
    /// Why there is no answer.
    pub(crate) async fn call_instance(
        &self,
        req: impl FnOnce(SocketAddr) -> Request,
        timeout: Duration,
    ) -> Result<Response, String> {
        let address = self.instance.get();
        let conn = self.conns.take(address).await;
        let mut conn = conn.map_err(|e| e.to_string())?;
        let res = conn.call(req(address), timeout).await;
        let res = res.map_err(|e| e.to_string())?;
        self.conns.put(conn);
        Ok(res)
    }

    /// Builds a refusal with the time after which a slot is expected.
    pub fn not_run(&self, reason: NotRunReason) -> NotRun {
        self.admission.borrow().not_run(reason, Instant::now())
    }

    /// Returns the latency of the instance relative to the others, in thousandths; 0 while unknown.
    pub fn latency_permille(&self) -> u16 {
        self.latency.borrow().permille()
    }

    /// Returns how long work takes on the machine of the instance, in thousandths of its usual time, if
    /// the instance states it.
    pub fn work_time_permille(&self, now: Instant) -> Option<u16> {
        self.work_time.borrow().permille(now)
    }

    /// Sets the address of the instance; if it changed, discards idle connections to the earlier
    /// address.
    pub fn set_instance(&self, address: SocketAddr) {
        let earlier = self.instance.replace(address);
        if earlier != address {
            self.conns.close_idle(earlier);
        }
    }

    /// Sets the slot count. If `born` shows another instance, discards the statistics and
    /// connections of the previous one.
    pub fn set_slots(&self, slots: u32, born: UnixMillis) {
        let mut counts = self.counts.borrow_mut();
        if counts.born != born {
            *counts = RouteCounts {
                born,
                ..RouteCounts::default()
            };
            self.admission.borrow_mut().reset_for_new_instance();
            *self.health.borrow_mut() = Health::default();
            *self.latency.borrow_mut() = RelativeLatency::default();
            *self.work_time.borrow_mut() = WorkTime::default();
            self.conns.close_idle(self.instance.get());
        }
        drop(counts);
        self.admission.borrow_mut().set_slots(slots);
        self.process_queue();
    }

    /// Refuses all queued requests.
    pub fn refuse_waiting(&self, reason: NotRunReason) {
        let now = Instant::now();
        let refused = self.admission.borrow_mut().refuse_waiting(reason, now);
        for (key, not_run) in refused {
            self.notify_waiter(key, WaitOutcome::Refused(not_run));
        }
    }

    /// Starts or refuses queued requests as far as slots and deadlines require.
    pub fn process_queue(&self) {
        loop {
            let next = self.admission.borrow_mut().next(Instant::now());
            match next {
                QueueAction::Run(key) => {
                    self.granted.borrow_mut().insert(key);
                    if !self.notify_waiter(key, WaitOutcome::Run)
                        && self.granted.borrow_mut().remove(&key)
                    {
                        self.admission.borrow_mut().released();
                    }
                }
                QueueAction::Refuse(key, not_run) => {
                    self.notify_waiter(key, WaitOutcome::Refused(not_run));
                }
                QueueAction::Idle => return,
            }
        }
    }

    pub(crate) fn notify_waiter(&self, key: RequestKey, wait_outcome: WaitOutcome) -> bool {
        let tx = self.waiting.borrow_mut().remove(&key);
        tx.is_some_and(|tx| tx.send(wait_outcome).is_ok())
    }

    pub(crate) fn record_health(&self, is_failure: bool) {
        let now = Instant::now();
        self.health.borrow_mut().record(is_failure, now);
    }

    /// Records the latency of a request for the comparison with other instances. A failure counts
    /// only if it took longer than the mean, since failing instances often answer immediately.
    pub(crate) fn record_latency(
        &self,
        node: &Node,
        head: &ForwardHead,
        took: Duration,
        is_failure: bool,
    ) {
        let mean = node.balancer.borrow().mean_latency(&head.route);
        if let Some(mean) = mean
            && (!is_failure || took > mean)
        {
            let work_time = self.work_time.borrow().factor(Instant::now());
            self.latency.borrow_mut().record(took, mean, work_time);
        }
    }
}
