//! Caller side: takes calls from clients and passes them to the daemon beside an upstream.

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
use crate::calls::call::Matched;
use crate::calls::wire;
use crate::shared_state::SharedState;

/// Calls slower than this part of the latest ones are hedged.
const HEDGE_QUANTILE: f64 = 0.95;

/// How often unused connections and knowledge are dropped.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);

/// Takes calls from clients.
pub struct CallerSide {
    core: Rc<CallerCore>,
}

/// What all calls share.
pub(super) struct CallerCore {
    pub(super) shared: SharedState,
    pub(super) pool: Pool,
    pub(super) balancer: RefCell<Balancer>,
    extras: RefCell<FastMap<ServiceName, Extras>>,
    sequence: Cell<u64>,
}

/// Limits on extra attempts to one service.
pub(super) struct Extras {
    pub(super) budget: RetryBudget,
    pub(super) hedge: HedgePolicy,
}

impl CallerSide {
    /// A caller side without connections.
    #[must_use]
    pub fn new(shared: &SharedState) -> Self {
        let settings = &shared.daemon_cfg.settings;
        let cfg = shared.daemon_cfg.pool(shared.daemon_cfg.inner_limits());
        let balancer = Balancer::new(BalancerConfig::default(), settings.zone.clone());
        let core = Rc::new(CallerCore {
            shared: shared.clone(),
            pool: Pool::new(cfg),
            balancer: RefCell::new(balancer),
            extras: RefCell::default(),
            sequence: Cell::new(0),
        });
        monoio::spawn(sweep(Rc::downgrade(&core)));
        Self { core }
    }

    /// A daemon that has just started cannot say that there is no such route.
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
        let limit = matched.route.timeout;
        let timeout = wire::deadline(&req).map_or(limit, |own| own.min(limit));
        let matched = Matched {
            prefix: matched.prefix.clone(),
            route: matched.route.clone(),
        };
        let service = matched.route.service.clone();
        let arrived = Instant::now();
        let until = arrived + timeout;
        let call = Call::start(&self.core, req, id.clone(), matched, until);
        let (end, answer) = call.finish().await;
        let (outcome, res) = match (end, answer) {
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
    /// Never gives the same one twice.
    pub(super) fn next_attempt(&self) -> AttemptId {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        AttemptId {
            caller: self.shared.daemon_cfg.settings.daemon.clone(),
            incarnation: self.shared.daemon_cfg.incarnation,
            sequence,
        }
    }

    /// Runs `f` with the limits on extra attempts to a service.
    pub(super) fn with_extras<R>(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut Extras) -> R,
    ) -> R {
        let mut extras = self.extras.borrow_mut();
        let extras = extras.entry(service.clone()).or_insert_with(|| Extras {
            budget: RetryBudget::new(RetryBudgetConfig::default(), Instant::now()),
            hedge: HedgePolicy::new(HEDGE_QUANTILE),
        });
        f(extras)
    }

    /// Time after which an idempotent call may be hedged.
    pub(super) fn hedge_delay(
        &self,
        service: &ServiceName,
        repeat: Idempotency,
    ) -> Option<Duration> {
        match repeat {
            Idempotency::AtMostOnce => None,
            Idempotency::Idempotent => self.with_extras(service, |extras| extras.hedge.delay()),
        }
    }

    /// Chooses an instance in the version's order, past those that were tried.
    pub(super) fn choose(&self, service: &str, tried: &[DaemonId]) -> Option<Endpoint> {
        let table = self.shared.table.get();
        let service = table.service(service)?;
        let mut rng = rand::rng();
        let draw = rng.random_range(0..base::FULL_SHARE);
        let draws = RandomPair(rng.random(), rng.random());
        self.choose_in(service, tried, draw, draws)
    }

    fn choose_in(
        &self,
        service: &ServiceTable,
        tried: &[DaemonId],
        draw: base::Share,
        draws: RandomPair,
    ) -> Option<Endpoint> {
        let balancer = self.balancer.borrow();
        let order = service.versions_in_order(self.lease(), draw);
        order.iter().find_map(|version| {
            let endpoints = service.endpoints(version);
            match balancer.choose(endpoints, tried, draws, Instant::now()) {
                Choice::Selected(endpoint) => Some(endpoint.clone()),
                Choice::Unavailable => None,
            }
        })
    }

    fn lease(&self) -> LeaseState {
        let heard = self.shared.lease.get();
        let life = self.shared.daemon_cfg.settings.timing.lease;
        let is_current = heard.lease.epoch >= self.shared.state.get().epoch;
        match heard.last_renewal {
            Some(at) if is_current && at.elapsed() <= life => LeaseState::Fresh,
            _ => LeaseState::Expired,
        }
    }
}

/// Drops what is kept about connections, instances and services that are no longer in use.
async fn sweep(core: Weak<CallerCore>) {
    loop {
        monoio::time::sleep(SWEEP_PERIOD).await;
        let Some(core) = core.upgrade() else {
            return;
        };
        core.pool.close_expired();
        let endpoints = core.shared.endpoints.get();
        let daemons: FastSet<_> = endpoints.iter().map(|it| &it.daemon).collect();
        let is_member = |daemon: &DaemonId| daemons.contains(daemon);
        core.balancer.borrow_mut().retain(is_member);
        let state = core.shared.state.get();
        let mut extras = core.extras.borrow_mut();
        extras.retain(|service, _| state.services.contains_key(service));
    }
}

fn call_id(req: &Request) -> smol_str::SmolStr {
    match req.header(CALL_ID_HEADER) {
        Some(id) => id.into(),
        None => format!("{:032x}", rand::rng().random::<u128>()).into(),
    }
}
