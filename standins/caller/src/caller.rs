//! Load generator: sends calls at a constant rate, whether or not earlier calls have ended.

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

/// Time that the caller waits for a response after the deadline of the call.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// Which calls are sent, where and how fast; set on the command line or by a test.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// Addresses on which daemons accept calls; each call starts at a random one.
    pub daemons: Vec<SocketAddr>,
    /// Request path of every call.
    pub route: SmolStr,
    /// Calls started per second; 0 counts as 1.
    pub calls_per_second: u32,
    /// Time during which calls are started.
    pub duration: Duration,
    /// Whether a call may run more than once; determines the method and the prefix of the call id.
    pub idempotency: Idempotency,
    /// Time limit of each call, sent as a header in milliseconds.
    pub deadline: Duration,
    /// Filler bytes requested in each response.
    pub response_size: usize,
    /// Seed of the random number generator; also a part of each call id.
    pub seed: u64,
}

/// Sends the calls of one plan and collects their records.
pub struct Caller {
    plan: CallPlan,
    pool: Pool,
    records: RefCell<Vec<CallRecord>>,
}

impl Caller {
    /// Creates a caller without connections.
    #[must_use]
    pub fn new(plan: CallPlan) -> Self {
        Self {
            plan,
            pool: Pool::new(PoolCfg::default()),
            records: RefCell::default(),
        }
    }

    /// Starts calls until the plan's duration is over or `stop` is set, waits for all of them, and
    /// returns their records in the order in which they ended.
    ///
    /// Calls start on schedule whether or not earlier ones have ended.
    pub async fn run(self, stop: Latch) -> Vec<CallRecord> {
        let caller = Rc::new(self);
        let mut rng = StdRng::seed_from_u64(caller.plan.seed);
        let interval = Duration::from_secs(1) / caller.plan.calls_per_second.max(1);
        let started = Instant::now();
        let mut tasks = Vec::new();
        let mut due = Duration::ZERO;
        while due < caller.plan.duration && !stop.is_set() {
            let first = rng.random_range(0..caller.plan.daemons.len());
            let id = caller.call_id(tasks.len());
            tasks.push(monoio::spawn(Rc::clone(&caller).call(id, first)));
            due += interval;
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

    /// Returns a call id that is unique among callers with different seeds or routes.
    fn call_id(&self, number: usize) -> SmolStr {
        let prefix = match self.plan.idempotency {
            Idempotency::Idempotent => 'i',
            Idempotency::AtMostOnce => 'o',
        };
        let route = self.plan.route.trim_matches('/').replace('/', ".");
        format_smolstr!("{prefix}.{route}.{}.{number}", self.plan.seed)
    }

    async fn call(self: Rc<Self>, id: SmolStr, first: usize) {
        let started = Instant::now();
        let outcome = self.send(&id, first).await;
        let record = CallRecord::new(id, outcome, started.elapsed());
        self.records.borrow_mut().push(record);
    }

    async fn send(&self, id: &str, first: usize) -> Outcome {
        let daemons = &self.plan.daemons;
        let (before, after) = daemons.split_at(first);
        for daemon in after.iter().chain(before) {
            let Ok(mut conn) = self.pool.take(*daemon).await else {
                continue;
            };
            let res = conn
                .call(self.request(id), self.plan.deadline + RESPONSE_GRACE)
                .await;
            self.pool.put(conn);
            return match res {
                Ok(res) => Outcome::from_response(&res, id),
                Err(e) => {
                    log::info!("caller: call {id} to daemon {daemon} failed: {e}");
                    Outcome::from_error(&e)
                }
            };
        }
        Outcome::Unreachable
    }

    fn request(&self, id: &str) -> Request {
        let target = format!("{}?size={}", self.plan.route, self.plan.response_size);
        let method = match self.plan.idempotency {
            Idempotency::Idempotent => Method::GET,
            Idempotency::AtMostOnce => Method::POST,
        };
        Request::new(method, target, "")
            .with_header(CALL_ID_HEADER, id)
            .with_header(DEADLINE_HEADER, self.plan.deadline.as_millis().to_string())
    }
}
