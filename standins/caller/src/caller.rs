//! Sends the calls.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use http_edge::Latch;
use http_edge::Pool;
use http_edge::PoolCfg;
use http_edge::Request;
use ledger::Idempotency;
use protocol::call::CALL_ID_HEADER;
use protocol::call::DEADLINE_HEADER;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::outcome::CallRecord;
use crate::outcome::Outcome;

/// How much longer than its deadline a call is waited for.
const GRACE: Duration = Duration::from_millis(500);

/// Which calls are sent.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Addresses of the daemons' calls; each call goes to one of them.
    pub to: Vec<SocketAddr>,
    /// Path of the calls.
    pub route: SmolStr,
    /// Calls a second.
    pub rate: u32,
    /// How long calls are sent.
    pub duration: Duration,
    /// Whether a call may run more than once; decides on its method and on its id.
    pub repeat: Idempotency,
    /// Deadline of each call.
    pub deadline: Duration,
    /// Size of the answers that are asked for, in bytes.
    pub size: usize,
    /// Seed of all that is random.
    pub seed: u64,
}

/// Sends the calls of one plan.
pub struct Caller {
    plan: Plan,
    pool: Pool,
    records: RefCell<Vec<CallRecord>>,
}

impl Caller {
    /// A caller with no connections yet.
    #[must_use]
    pub fn new(plan: Plan) -> Self {
        Self {
            plan,
            pool: Pool::new(PoolCfg::default()),
            records: RefCell::default(),
        }
    }

    /// Sends all calls, or fewer once `stop` is set, and waits for the last one to end.
    ///
    /// Calls start on time whether or not earlier ones have ended.
    pub async fn run(self, stop: Latch) -> Vec<CallRecord> {
        let caller = Rc::new(self);
        let mut rng = StdRng::seed_from_u64(caller.plan.seed);
        let period = Duration::from_secs(1) / caller.plan.rate.max(1);
        let started = Instant::now();
        let mut tasks = Vec::new();
        let mut due = Duration::ZERO;
        while due < caller.plan.duration && !stop.is_set() {
            let first = rng.random_range(0..caller.plan.to.len());
            let id = caller.id(tasks.len());
            tasks.push(monoio::spawn(Rc::clone(&caller).call(id, first)));
            due += period;
            let pause = due.saturating_sub(started.elapsed());
            monoio::select! {
                () = monoio::time::sleep(pause) => {}
                () = stop.wait() => {}
            }
        }
        for task in tasks {
            task.await;
        }
        caller.records.take()
    }

    /// Unique among callers with different seeds or routes.
    fn id(&self, number: usize) -> SmolStr {
        let kind = match self.plan.repeat {
            Idempotency::Idempotent => 'i',
            Idempotency::AtMostOnce => 'o',
        };
        let route = self.plan.route.trim_matches('/').replace('/', ".");
        format_smolstr!("{kind}.{route}.{}.{number}", self.plan.seed)
    }

    async fn call(self: Rc<Self>, id: SmolStr, first: usize) {
        let started = Instant::now();
        let outcome = self.send(&id, first).await;
        let record = CallRecord::new(id, outcome, started.elapsed());
        self.records.borrow_mut().push(record);
    }

    async fn send(&self, id: &str, first: usize) -> Outcome {
        let to = &self.plan.to;
        let (before, after) = to.split_at(first);
        for daemon in after.iter().chain(before) {
            let Ok(mut conn) = self.pool.take(*daemon).await else {
                continue;
            };
            let res = conn
                .call(self.request(id), self.plan.deadline + GRACE)
                .await;
            self.pool.put(conn);
            return match res {
                Ok(res) => Outcome::of_response(&res, id),
                Err(e) => {
                    log::info!("caller: {id} to {daemon}: {e}");
                    Outcome::of_error(&e)
                }
            };
        }
        Outcome::Unreachable
    }

    fn request(&self, id: &str) -> Request {
        let target = format!("{}?size={}", self.plan.route, self.plan.size);
        let method = match self.plan.repeat {
            Idempotency::Idempotent => Method::GET,
            Idempotency::AtMostOnce => Method::POST,
        };
        Request::new(method, target, "")
            .with_header(CALL_ID_HEADER, id)
            .with_header(DEADLINE_HEADER, self.plan.deadline.as_millis().to_string())
    }
}
