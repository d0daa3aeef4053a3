//! Caller side: accepts calls from clients and sends them to the daemon beside an upstream.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;
use base::FastSet;
use base::ServiceName;
use http::StatusCode;
use http_edge::Handler;
use http_edge::Pool;
use http_edge::Request;
use http_edge::Response;
use ledger::Idempotency;
use protocol::call::AttemptId;
use protocol::call::CALL_ID_HEADER;
use protocol::call::NotRunReason;
use rand::Rng;
use report::metrics::CallOutcome;
use routing::Balancer;
use routing::Endpoint;
use routing::HedgePolicy;
use routing::RetryBudget;
use routing::attempts::FinalOutcome;
use routing::balancer::BalancerConfig;
use routing::balancer::Choice;
use routing::balancer::RandomPair;
use routing::budget::RetryBudgetConfig;
use routing::table::LeaseState;
use routing::table::ServiceTable;

use crate::calls::call::Call;
use crate::calls::call::MatchedRoute;
use crate::calls::wire;
use crate::shared_state::SharedState;

/// Calls slower than this quantile of recent ones are hedged.
const HEDGE_QUANTILE: f64 = 0.95;

/// Time between two removals of unused connections and per-instance state.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

/// Accepts calls from clients.
pub struct CallerSide {
    core: Rc<CallerCore>,
}

/// State that all calls share.
pub(super) struct CallerCore {
    pub(super) shared: SharedState,
    pub(super) pool: Pool,
    pub(super) balancer: RefCell<Balancer>,
    retry_limits: RefCell<FastMap<ServiceName, RetryLimits>>,
    sequence: Cell<u64>,
}

/// Limits on retries and hedges to one service.
pub(super) struct RetryLimits {
    pub(super) budget: RetryBudget,
    pub(super) hedge: HedgePolicy,
}

impl CallerSide {
    /// Creates a caller side without connections.
    #[must_use]
    pub fn new(shared: &SharedState) -> Self {
        let settings = &shared.daemon_cfg.settings;
        let cfg = shared.daemon_cfg.pool(shared.daemon_cfg.inner_limits());
        let balancer = Balancer::new(BalancerConfig::default(), settings.zone.clone());
        let core = Rc::new(CallerCore {
            shared: shared.clone(),
            pool: Pool::new(cfg),
            balancer: RefCell::new(balancer),
            retry_limits: RefCell::default(),
            sequence: Cell::new(0),
        });
        monoio::spawn(drop_unused(Rc::downgrade(&core)));
        Self { core }
    }

    /// Response for a path without a route. Until a configuration is in force, this daemon cannot
    /// know that the route does not exist, so the call is refused as not run.
    fn no_route(&self) -> Response {
        if self.core.shared.state.get().ticket == 0 {
            return wire::not_run_response(&wire::not_run(NotRunReason::NoConfiguration));
        }
        Response::text(StatusCode::NOT_FOUND, "no route")
    }

    async fn serve(&self, req: Request) -> Response {
        let table = self.core.shared.table.get();
        let Some(matched) = table.route(req.path()) else {
            return self.no_route();
        };
        let id = call_id(&req);
        let route_timeout = matched.route.timeout;
        let timeout = wire::client_timeout(&req)
            .map_or(route_timeout, |requested| requested.min(route_timeout));
        let matched = MatchedRoute {
            prefix: matched.prefix.clone(),
            route: matched.route.clone(),
        };
        let service = matched.route.service.clone();
        let arrived = Instant::now();
        let deadline_at = arrived + timeout;
        let call = Call::start(&self.core, req, id.clone(), matched, deadline_at);
        let (final_outcome, answer) = call.finish().await;
        let (outcome, res) = match (final_outcome, answer) {
            (FinalOutcome::Answer(_), Some(answer)) if answer.status.is_server_error() => {
                (CallOutcome::Failed, answer)
            }
            (FinalOutcome::Answer(_), Some(answer)) => (CallOutcome::Answered, answer),
            (FinalOutcome::NotRun(not_run), _) => {
                (CallOutcome::NotRun, wire::not_run_response(&not_run))
            }
            _ => (CallOutcome::Unknown, wire::unknown_response()),
        };
        let meter = &self.core.shared.meter;
        meter.record_call(&service, outcome, arrived.elapsed());
        res.with_header(CALL_ID_HEADER, &id)
    }
}

impl Handler for CallerSide {
    async fn handle(&self, req: Request) -> Response {
        self.serve(req).await
    }
}

impl CallerCore {
    /// Returns a new attempt id; no id is returned twice.
    pub(super) fn next_attempt(&self) -> AttemptId {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        AttemptId {
            caller: self.shared.daemon_cfg.settings.daemon.clone(),
            incarnation: self.shared.daemon_cfg.incarnation,
            sequence,
        }
    }

    /// Runs `f` with the limits on retries and hedges to a service.
    pub(super) fn with_limits<R>(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut RetryLimits) -> R,
    ) -> R {
        let mut retry_limits = self.retry_limits.borrow_mut();
        let retry_limits = retry_limits
            .entry(service.clone())
            .or_insert_with(|| RetryLimits {
                budget: RetryBudget::new(RetryBudgetConfig::default(), Instant::now()),
                hedge: HedgePolicy::new(HEDGE_QUANTILE),
            });
        f(retry_limits)
    }

    /// Time after which a call may be hedged; `None` if it is not idempotent.
    pub(super) fn hedge_delay(
        &self,
        service: &ServiceName,
        repeat: Idempotency,
    ) -> Option<Duration> {
        match repeat {
            Idempotency::AtMostOnce => None,
            Idempotency::Idempotent => {
                self.with_limits(service, |retry_limits| retry_limits.hedge.delay())
            }
        }
    }

    /// Selects an instance, trying versions in their order and skipping excluded instances.
    pub(super) fn choose(&self, service: &str, excluded: &[DaemonId]) -> Option<Endpoint> {
        let table = self.shared.table.get();
        let service = table.service(service)?;
        let mut rng = rand::rng();
        let version_draw = rng.random_range(0..base::FULL_SHARE);
        let draws = RandomPair(rng.random(), rng.random());
        self.choose_in(service, excluded, version_draw, draws)
    }

    fn choose_in(
        &self,
        service: &ServiceTable,
        excluded: &[DaemonId],
        version_draw: base::Share,
        draws: RandomPair,
    ) -> Option<Endpoint> {
        let balancer = self.balancer.borrow();
        let versions = service.versions_in_order(self.lease_state(), version_draw);
        versions.iter().find_map(|version| {
            let endpoints = service.endpoints(version);
            match balancer.choose(endpoints, excluded, draws, Instant::now()) {
                Choice::Selected(endpoint) => Some(endpoint.clone()),
                Choice::Unavailable => None,
            }
        })
    }

    fn lease_state(&self) -> LeaseState {
        let observed = self.shared.lease.get();
        let lease_timeout = self.shared.daemon_cfg.settings.timing.lease;
        let is_current = observed.lease.epoch >= self.shared.state.get().epoch;
        match observed.last_renewal {
            Some(at) if is_current && at.elapsed() <= lease_timeout => LeaseState::Fresh,
            _ => LeaseState::Expired,
        }
    }
}

/// Periodically drops expired connections and state of instances and services that are gone.
async fn drop_unused(core: Weak<CallerCore>) {
    loop {
        monoio::time::sleep(CLEANUP_INTERVAL).await;
        let Some(core) = core.upgrade() else {
            return;
        };
        core.pool.close_expired();
        let endpoints = core.shared.endpoints.get();
        let daemons: FastSet<_> = endpoints.iter().map(|it| &it.daemon).collect();
        let is_member = |daemon: &DaemonId| daemons.contains(daemon);
        core.balancer.borrow_mut().retain(is_member);
        let state = core.shared.state.get();
        let mut retry_limits = core.retry_limits.borrow_mut();
        retry_limits.retain(|service, _| state.services.contains_key(service));
    }
}

fn call_id(req: &Request) -> smol_str::SmolStr {
    match req.header(CALL_ID_HEADER) {
        Some(id) => id.into(),
        None => format!("{:032x}", rand::rng().random::<u128>()).into(),
    }
}
