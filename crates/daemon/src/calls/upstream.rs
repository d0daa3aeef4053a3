//! Upstream side: takes attempts from other daemons and runs them on the upstream beside it.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::RoutePrefix;
use base::ServiceName;
use base::VersionName;
use http::StatusCode;
use http_edge::Pool;
use http_edge::PoolCfg;
use http_edge::Request;
use http_edge::Response;
use local_sync::mpsc::unbounded;
use protocol::announce::Announcement;
use protocol::announce::UpstreamPhase;
use protocol::call::AttemptId;
use protocol::call::CALL_ID_HEADER;
use protocol::call::CallHead;
use protocol::call::DEADLINE_HEADER;
use protocol::call::HEAD_HEADER;
use protocol::call::Load;
use protocol::call::NOT_RUN_HEADER;
use protocol::call::NotRun;
use protocol::call::NotRunReason;
use protocol::call::OUTCOME_HEADER;
use protocol::call::Outcome;
use protocol::call::OutcomeHead;
use protocol::call::Resolve;
use protocol::codec;
use routing::CallTable;
use routing::calltable::Begin;
use routing::calltable::CallTableLimits;
use routing::calltable::Ending;
use routing::calltable::Resolution;

use crate::board::Board;
use crate::board::Leaving;

/// How often a waiting question looks again whether its call has ended.
const RESOLVE_POLL: Duration = Duration::from_millis(5);

/// What one call did on the upstream; the raw matter of evidence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// Service.
    pub service: ServiceName,
    /// Version that ran the call.
    pub version: VersionName,
    /// Route.
    pub route: RoutePrefix,
    /// Whether it failed: a 5xx answer, a cut connection or a timeout.
    pub failed: bool,
    /// Time from sending to the whole answer.
    pub took: Duration,
}

/// Runs attempts on the upstream beside this daemon.
pub struct UpstreamSide {
    board: Board,
    pool: Pool,
    table: RefCell<CallTable<Response>>,
    running: Cell<u32>,
    tx: unbounded::Tx<Observation>,
    rx: RefCell<Option<unbounded::Rx<Observation>>>,
}

impl UpstreamSide {
    /// An upstream side that has run nothing.
    #[must_use]
    pub fn new(board: &Board) -> Self {
        let (tx, rx) = unbounded::channel();
        let table = CallTable::new(board.me.incarnation, CallTableLimits::default());
        Self {
            board: board.clone(),
            pool: Pool::new(PoolCfg::default()),
            table: RefCell::new(table),
            running: Cell::new(0),
            tx,
            rx: RefCell::new(Some(rx)),
        }
    }

    /// Observations of calls that ended; there is one receiver.
    ///
    /// # Panics
    /// When it was taken before.
    pub fn observations(&self) -> unbounded::Rx<Observation> {
        self.rx.take().expect("observations have one receiver")
    }

    /// Returns when nothing runs, or after `patience`.
    pub async fn idle(&self, patience: Duration) {
        let all_ended = async {
            while self.running.get() > 0 {
                monoio::time::sleep(RESOLVE_POLL).await;
            }
        };
        let _ = monoio::time::timeout(patience, all_ended).await;
    }

    /// One attempt.
    pub async fn call(self: &Rc<Self>, req: Request) -> Response {
        let head = req
            .header(HEAD_HEADER)
            .and_then(|text| codec::decode_text::<CallHead>(text).ok());
        let Some(head) = head else {
            return Response::text(StatusCode::BAD_REQUEST, "no call head");
        };
        let announcement = match self.admit(&head) {
            Ok(announcement) => announcement,
            Err(reason) => return self.not_run(&head.attempt, reason),
        };
        match self.table.borrow_mut().begin(&head.attempt) {
            Begin::Run => {}
            Begin::Fenced | Begin::NoRoom => {
                return self.not_run(&head.attempt, NotRunReason::GivenUp);
            }
            Begin::Repeated | Begin::Forgotten => {
                return self.reply(&head.attempt, Outcome::Unknown, unknown());
            }
        }
        // A task of its own: the run goes on when the caller side loses its connection.
        let side = Rc::clone(self);
        monoio::spawn(async move { side.run(req, head, announcement).await }).await
    }

    /// What became of an attempt.
    pub async fn resolve(&self, req: Request) -> Response {
        let Ok(question) = codec::decode::<Resolve>(&req.body) else {
            return Response::text(StatusCode::BAD_REQUEST, "no question");
        };
        let until = Instant::now() + question.remaining;
        loop {
            let reply = match self.table.borrow_mut().resolve(&question) {
                Resolution::Fenced => {
                    Some((Outcome::NotRun(not_run(NotRunReason::GivenUp)), unknown()))
                }
                Resolution::Finished(answer) => Some((Outcome::Answered, answer.clone())),
                Resolution::Unknown => Some((Outcome::Unknown, unknown())),
                Resolution::Running => None,
            };
            if let Some((outcome, res)) = reply {
                return self.reply(&question.attempt, outcome, res);
            }
            if Instant::now() >= until {
                return self.reply(&question.attempt, Outcome::Unknown, unknown());
            }
            monoio::time::sleep(RESOLVE_POLL).await;
        }
    }

    fn admit(&self, head: &CallHead) -> Result<Rc<Option<Announcement>>, NotRunReason> {
        let upstream = self.board.upstream.get();
        let Some(announced) = upstream.as_ref() else {
            return Err(NotRunReason::NoInstance);
        };
        if announced.service != head.service || announced.version != head.version {
            return Err(NotRunReason::WrongVersion);
        }
        let is_leaving = *self.board.leaving.get() != Leaving::No;
        if is_leaving || announced.phase == UpstreamPhase::Draining {
            return Err(NotRunReason::Leaving);
        }
        if self.running.get() >= announced.slots {
            return Err(NotRunReason::Overloaded);
        }
        if head.remaining.is_zero() {
            return Err(NotRunReason::DeadlineTooShort);
        }
        Ok(upstream)
    }

    async fn run(
        &self,
        req: Request,
        head: CallHead,
        upstream: Rc<Option<Announcement>>,
    ) -> Response {
        let Some(announced) = upstream.as_ref() else {
            return self.not_run(&head.attempt, NotRunReason::NoInstance);
        };
        self.running.set(self.running.get() + 1);
        let began = Instant::now();
        let result = self.forward(req, &head, announced).await;
        self.running.set(self.running.get() - 1);
        let is_refusal = matches!(&result, Forwarded::NotRun(_));
        let failed = match &result {
            Forwarded::Answered(res) => res.status.is_server_error(),
            Forwarded::NotRun(_) => false,
            Forwarded::Lost => true,
        };
        if !is_refusal {
            let _ = self.tx.send(Observation {
                service: head.service.clone(),
                version: head.version.clone(),
                route: head.route.clone(),
                failed,
                took: began.elapsed(),
            });
        }
        self.finish(&head.attempt, result)
    }

    async fn forward(&self, req: Request, head: &CallHead, announced: &Announcement) -> Forwarded {
        let Ok(mut conn) = self.pool.take(announced.address).await else {
            return Forwarded::NotRun(NotRunReason::Unreachable);
        };
        let target = req.header("x-target").unwrap_or("/").to_owned();
        let mut out = Request { target, ..req };
        out.headers.remove(HEAD_HEADER);
        out.headers.remove("x-target");
        let out = out
            .with_header(CALL_ID_HEADER, &head.call)
            .with_header(DEADLINE_HEADER, head.remaining.as_millis().to_string());
        match conn.call(out, head.remaining).await {
            Ok(res) => {
                self.pool.put(conn);
                if res.header(NOT_RUN_HEADER).is_some() {
                    return Forwarded::NotRun(NotRunReason::UpstreamRefused);
                }
                Forwarded::Answered(res)
            }
            Err(e) => {
                log::info!("calls: no answer from the upstream: {e}");
                conn.close();
                Forwarded::Lost
            }
        }
    }

    fn finish(&self, attempt: &AttemptId, result: Forwarded) -> Response {
        let mut table = self.table.borrow_mut();
        match result {
            Forwarded::Answered(res) => {
                let bytes = res.body.len();
                table.finish(
                    attempt,
                    Ending::Answered {
                        answer: res.clone(),
                        bytes,
                    },
                );
                self.reply(attempt, Outcome::Answered, res)
            }
            Forwarded::NotRun(reason) => {
                table.finish(attempt, Ending::NotRun);
                self.not_run(attempt, reason)
            }
            Forwarded::Lost => {
                table.finish(attempt, Ending::Lost);
                self.reply(attempt, Outcome::Unknown, unknown())
            }
        }
    }

    fn not_run(&self, attempt: &AttemptId, reason: NotRunReason) -> Response {
        self.reply(attempt, Outcome::NotRun(not_run(reason)), unknown())
    }

    fn reply(&self, attempt: &AttemptId, outcome: Outcome, res: Response) -> Response {
        let head = OutcomeHead {
            attempt: attempt.clone(),
            outcome,
            load: self.load(),
        };
        res.with_header(OUTCOME_HEADER, codec::encode_text(&head))
    }

    fn load(&self) -> Load {
        let slots = self
            .board
            .upstream
            .get()
            .as_ref()
            .as_ref()
            .map_or(0, |announced| announced.slots);
        Load {
            running: self.running.get(),
            queued: 0,
            slots,
        }
    }
}

enum Forwarded {
    Answered(Response),
    NotRun(NotRunReason),
    Lost,
}

fn not_run(reason: NotRunReason) -> NotRun {
    NotRun {
        reason,
        retry_after: None,
    }
}

fn unknown() -> Response {
    Response::new(StatusCode::OK, "")
}
