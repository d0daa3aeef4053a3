//! Caller side: takes calls from clients and passes them to the daemon beside an upstream.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use base::Share;
use http::StatusCode;
use http_edge::Conn;
use http_edge::Handler;
use http_edge::Pool;
use http_edge::PoolCfg;
use http_edge::Request;
use http_edge::Response;
use ledger::Repeat;
use protocol::WIRE_VERSION;
use protocol::call::AttemptId;
use protocol::call::CALL_ID_HEADER;
use protocol::call::CallHead;
use protocol::call::DEADLINE_HEADER;
use protocol::call::HEAD_HEADER;
use protocol::call::NotRun;
use protocol::call::NotRunReason;
use protocol::call::OUTCOME_HEADER;
use protocol::call::Outcome;
use protocol::call::OutcomeHead;
use protocol::call::Resolve;
use protocol::codec;
use protocol::paths;
use rand::Rng;
use routing::Endpoint;
use routing::table::LeaseState;

use crate::board::Board;

/// Attempts of one call at most.
const MAX_ATTEMPTS: usize = 3;

/// When a client may come back after a refusal that names no time.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Takes calls from clients.
pub struct CallerSide {
    board: Board,
    pool: Pool,
    sequence: Cell<u64>,
}

enum Ending {
    Answered(Response),
    NotRun(NotRun),
    Unknown,
}

impl CallerSide {
    /// A caller side without connections.
    #[must_use]
    pub fn new(board: &Board) -> Self {
        let cfg = PoolCfg {
            connect: board.me.settings.timing.connect,
            ..PoolCfg::default()
        };
        Self {
            board: board.clone(),
            pool: Pool::new(cfg),
            sequence: Cell::new(0),
        }
    }

    async fn serve(&self, req: Request) -> Response {
        let table = self.board.table.get();
        let Some(matched) = table.route(req.path()) else {
            return Response::text(StatusCode::NOT_FOUND, "no route");
        };
        let call = match req.header(CALL_ID_HEADER) {
            Some(id) => id.into(),
            None => format!("{:032x}", rand::rng().random::<u128>()).into(),
        };
        let timeout =
            deadline(&req).map_or(matched.route.timeout, |own| own.min(matched.route.timeout));
        let until = Instant::now() + timeout;
        let mut ending = Ending::NotRun(not_run(NotRunReason::NoInstance));
        for _ in 0..MAX_ATTEMPTS {
            let draw = rand::rng().random_range(0..base::FULL_SHARE);
            let Some(endpoint) = pick(matched.service, self.lease(), draw) else {
                break;
            };
            let head = CallHead {
                wire: WIRE_VERSION,
                attempt: self.next_attempt(),
                call: smol_str::SmolStr::clone(&call),
                service: matched.route.service.clone(),
                version: endpoint.version.clone(),
                route: matched.prefix.clone(),
                repeat: matched.route.repeat,
                class: matched.route.class,
                remaining: until.saturating_duration_since(Instant::now()),
                offset: table.offset(),
            };
            ending = self.attempt(&req, &head, endpoint).await;
            let may_go_on = match &ending {
                Ending::Answered(_) => false,
                Ending::NotRun(_) => true,
                Ending::Unknown => head.repeat == Repeat::Idempotent,
            };
            if !may_go_on || Instant::now() >= until {
                break;
            }
        }
        finish(ending).with_header(CALL_ID_HEADER, &call)
    }

    fn lease(&self) -> LeaseState {
        let heard = self.board.lease.get();
        let life = self.board.me.settings.timing.lease;
        let is_current = heard.lease.epoch >= self.board.state.get().epoch;
        match heard.at {
            Some(at) if is_current && at.elapsed() <= life => LeaseState::Fresh,
            _ => LeaseState::Expired,
        }
    }

    fn next_attempt(&self) -> AttemptId {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        AttemptId {
            caller: self.board.me.settings.daemon.clone(),
            incarnation: self.board.me.incarnation,
            sequence,
        }
    }

    async fn attempt(&self, req: &Request, head: &CallHead, endpoint: &Endpoint) -> Ending {
        let Ok(mut conn) = self.pool.take(endpoint.address).await else {
            return Ending::NotRun(not_run(NotRunReason::Unreachable));
        };
        let inner = inner_request(req, head);
        match conn.call(inner, head.remaining).await {
            Ok(res) => {
                self.pool.put(conn);
                read_reply(res, &head.attempt)
            }
            Err(e) => {
                log::info!("calls: lost sight of an attempt: {e}");
                conn.close();
                self.pool.forget(endpoint.address);
                self.resolve(head, endpoint).await
            }
        }
    }

    /// Asks over a new connection what became of an attempt.
    async fn resolve(&self, head: &CallHead, endpoint: &Endpoint) -> Ending {
        let resolve = Resolve {
            attempt: head.attempt.clone(),
            incarnation: endpoint.incarnation,
            remaining: self.board.me.settings.timing.connect,
        };
        let Ok(mut conn) = self.pool.open(endpoint.address).await else {
            return Ending::Unknown;
        };
        let req = Request::post(paths::RESOLVE, codec::encode(&resolve));
        match ask(&mut conn, req).await {
            Some(res) => read_reply(res, &head.attempt),
            None => Ending::Unknown,
        }
    }
}

impl Handler for CallerSide {
    async fn handle(&self, req: Request) -> Response {
        self.serve(req).await
    }
}

async fn ask(conn: &mut Conn, req: Request) -> Option<Response> {
    conn.call(req, Duration::from_secs(1)).await.ok()
}

fn pick(
    service: &routing::table::ServiceTable,
    lease: LeaseState,
    draw: Share,
) -> Option<&Endpoint> {
    let order = service.versions_in_order(lease, draw);
    order.iter().find_map(|version| {
        let serving: Vec<_> = service
            .endpoints(version)
            .iter()
            .filter(|endpoint| endpoint.is_serving())
            .collect();
        if serving.is_empty() {
            return None;
        }
        Some(serving[rand::rng().random_range(0..serving.len())])
    })
}

fn deadline(req: &Request) -> Option<Duration> {
    let millis = req.header(DEADLINE_HEADER)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

fn inner_request(req: &Request, head: &CallHead) -> Request {
    let mut inner = req.clone();
    inner.target = format!("{}{}", paths::CALL, query_of(&req.target));
    inner
        .with_header(HEAD_HEADER, codec::encode_text(head))
        .with_header("x-target", &req.target)
}

fn query_of(target: &str) -> String {
    target
        .split_once('?')
        .map_or_else(String::new, |(_, query)| format!("?{query}"))
}

fn read_reply(mut res: Response, attempt: &AttemptId) -> Ending {
    let head = res
        .header(OUTCOME_HEADER)
        .and_then(|text| codec::decode_text::<OutcomeHead>(text).ok());
    let Some(head) = head else {
        return Ending::Unknown;
    };
    if head.attempt != *attempt {
        log::error!("calls: a reply to another attempt");
        return Ending::Unknown;
    }
    match head.outcome {
        Outcome::Answered => {
            res.headers.remove(OUTCOME_HEADER);
            Ending::Answered(res)
        }
        Outcome::NotRun(not_run) => Ending::NotRun(not_run),
        Outcome::Unknown => Ending::Unknown,
    }
}

fn not_run(reason: NotRunReason) -> NotRun {
    NotRun {
        reason,
        retry_after: None,
    }
}

fn finish(ending: Ending) -> Response {
    match ending {
        Ending::Answered(res) => res,
        Ending::NotRun(not_run) => {
            let after = not_run.retry_after.unwrap_or(RETRY_AFTER).as_secs().max(1);
            Response::text(
                StatusCode::SERVICE_UNAVAILABLE,
                format!("not run: {:?}", not_run.reason),
            )
            .with_header("x-not-run", "true")
            .with_header("retry-after", after.to_string())
        }
        Ending::Unknown => Response::text(StatusCode::GATEWAY_TIMEOUT, "unknown: may have run"),
    }
}
