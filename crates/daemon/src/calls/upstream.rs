//! Upstream side: takes attempts from other daemons and runs them on the upstream beside it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::FastSet;
use base::RoutePrefix;
use base::ServiceName;
use base::VersionName;
use http::StatusCode;
use http_edge::Latch;
use http_edge::Pool;
use http_edge::Request;
use http_edge::Response;
use ledger::Idempotency;
use local_sync::mpsc::unbounded;
use protocol::announce::Announcement;
use protocol::announce::UpstreamPhase;
use protocol::call::AttemptId;
use protocol::call::CallHead;
use protocol::call::NOT_RUN_HEADER;
use protocol::call::NotRun;
use protocol::call::NotRunReason;
use protocol::call::Outcome;
use protocol::call::ResolveRequest;
use protocol::codec;
use routing::AttemptTable;
use routing::attempt_table::AttemptTableLimits;
use routing::attempt_table::Begin;
use routing::attempt_table::Completion;
use routing::attempt_table::Refusal;
use routing::attempt_table::Resolution;

use crate::calls::arrival::Arrival;
use crate::calls::arrival::SetOnDrop;
use crate::calls::slots::Slot;
use crate::calls::slots::Slots;
use crate::calls::wire;
use crate::calls::wire::not_run;
use crate::shared_state::SharedState;
use crate::shared_state::ShutdownPhase;

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
    shared: SharedState,
    pool: Pool,
    table: RefCell<AttemptTable<Response>>,
    slots: Rc<Slots>,
    /// Attempts that wait for a slot.
    queued: RefCell<FastSet<AttemptId>>,
    tx: unbounded::Tx<Observation>,
    rx: RefCell<Option<unbounded::Rx<Observation>>>,
}

enum Forwarded {
    Answered(Response),
    NotRun(NotRunReason),
    Lost,
    /// The caller side no longer wants an idempotent call.
    Cancelled,
}

impl UpstreamSide {
    /// An upstream side that has run nothing.
    #[must_use]
    pub fn new(shared: &SharedState) -> Self {
        let (tx, rx) = unbounded::channel();
        let answers = shared.daemon_cfg.settings.limits.memory_of_calls;
        let limits = AttemptTableLimits {
            max_answer_bytes: usize::try_from(answers).unwrap_or(usize::MAX),
            ..AttemptTableLimits::default()
        };
        let table = AttemptTable::new(shared.daemon_cfg.incarnation, limits);
        Self {
            shared: shared.clone(),
            pool: Pool::new(shared.daemon_cfg.pool(shared.daemon_cfg.limits())),
            table: RefCell::new(table),
            slots: Rc::new(Slots::new(shared.daemon_cfg.settings.limits.queue)),
            queued: RefCell::default(),
            tx,
            rx: RefCell::new(Some(rx)),
        }
    }

    /// Observations of calls that ended; there is one receiver.
    ///
    /// # Panics
    /// When it was taken before.
    pub fn take_observations(&self) -> unbounded::Rx<Observation> {
        self.rx.take().expect("observations have one receiver")
    }

    /// Returns when nothing waits or runs, or after `patience`.
    pub async fn wait_idle(&self, patience: Duration) {
        let all_ended = async {
            while self.slots.load().running > 0 || self.slots.load().queued > 0 {
                monoio::time::sleep(RESOLVE_POLL).await;
            }
        };
        let _ = monoio::time::timeout(patience, all_ended).await;
    }

    /// One attempt. Dropped while it waits for a slot, it is fenced; dropped later, it runs on
    /// unless it is idempotent.
    pub async fn call(self: &Rc<Self>, req: Request) -> Response {
        let Some(head) = wire::call_head(&req) else {
            log::info!("calls: refused a call without a head");
            return Response::text(StatusCode::BAD_REQUEST, "no call head");
        };
        let until = Instant::now() + head.remaining;
        if let Err(reason) = self.check(&head) {
            return self.refuse(&head.attempt, not_run(reason));
        }
        let Some(arrival) = Arrival::new(self, &head.attempt) else {
            return self.unknown(&head.attempt);
        };
        let slot = match self.slots.enter(head.class, until).await {
            Ok(slot) => slot,
            Err(not_run) => return self.refuse(&head.attempt, not_run),
        };
        let begin = self.table.borrow_mut().begin(&head.attempt);
        match begin {
            Begin::Run => {}
            Begin::Fenced | Begin::TableFull => {
                return self.not_run(&head.attempt, not_run(NotRunReason::GivenUp));
            }
            Begin::Duplicate | Begin::BelowWatermark => return self.unknown(&head.attempt),
        }
        drop(arrival);
        let gone = Latch::default();
        let watch = SetOnDrop(gone.clone());
        let side = Rc::clone(self);
        let run = monoio::spawn(async move { side.run(req, head, until, slot, gone).await });
        let res = run.await;
        drop(watch);
        res
    }

    /// What became of an attempt.
    pub async fn resolve(&self, req: Request) -> Response {
        let Ok(question) = codec::decode::<ResolveRequest>(&req.body) else {
            log::info!("calls: refused an unreadable question");
            return Response::text(StatusCode::BAD_REQUEST, "no question");
        };
        let until = Instant::now() + question.remaining;
        loop {
            if let Some(res) = self.told(&question) {
                return res;
            }
            if Instant::now() >= until {
                return self.reply(&question.attempt, Outcome::Pending, empty());
            }
            monoio::time::sleep(RESOLVE_POLL).await;
        }
    }

    /// The answer to a question, unless the attempt still waits or runs.
    fn told(&self, question: &ResolveRequest) -> Option<Response> {
        if self.queued.borrow().contains(&question.attempt) {
            return None;
        }
        let mut table = self.table.borrow_mut();
        let (outcome, res) = match table.resolve(question) {
            Resolution::Running => return None,
            Resolution::Fenced => (Outcome::NotRun(not_run(NotRunReason::GivenUp)), empty()),
            Resolution::Finished(answer) => (Outcome::Answered, answer.clone()),
            Resolution::Unknown => (Outcome::Unknown, empty()),
        };
        Some(self.reply(&question.attempt, outcome, res))
    }

    /// Notes that an attempt waits; false for the second copy of one that does.
    pub(super) fn queue(&self, attempt: &AttemptId) -> bool {
        self.queued.borrow_mut().insert(attempt.clone())
    }

    /// Notes that an attempt no longer waits. Fences it, unless it has begun.
    pub(super) fn withdraw(&self, attempt: &AttemptId) {
        self.queued.borrow_mut().remove(attempt);
        self.table.borrow_mut().refuse(attempt);
    }

    fn check(&self, head: &CallHead) -> Result<(), NotRunReason> {
        let upstream = self.shared.upstream.get();
        let Some(announced) = upstream.as_ref() else {
            return Err(NotRunReason::NoInstance);
        };
        if announced.service != head.service || announced.version != head.version {
            return Err(NotRunReason::WrongVersion);
        }
        let is_leaving = *self.shared.shutdown.get() != ShutdownPhase::NotStarted;
        if is_leaving || announced.phase == UpstreamPhase::Draining {
            return Err(NotRunReason::Leaving);
        }
        self.slots.set_slots(announced.slots);
        Ok(())
    }

    async fn run(
        self: Rc<Self>,
        req: Request,
        head: CallHead,
        until: Instant,
        slot: Slot,
        gone: Latch,
    ) -> Response {
        let began = Instant::now();
        let result = match head.repeat {
            Idempotency::AtMostOnce => self.forward(req, &head, until).await,
            Idempotency::Idempotent => monoio::select! {
                () = gone.wait() => Forwarded::Cancelled,
                result = self.forward(req, &head, until) => result,
            },
        };
        let took = began.elapsed();
        let failed = match &result {
            Forwarded::Answered(res) => Some(res.status.is_server_error()),
            Forwarded::Lost => Some(true),
            Forwarded::NotRun(_) | Forwarded::Cancelled => None,
        };
        if let Some(failed) = failed {
            slot.close(took);
            self.observe(&head, failed, took);
        }
        self.finish(&head, result)
    }

    fn observe(&self, head: &CallHead, failed: bool, took: Duration) {
        // Nobody listens when the daemon stops.
        let _ = self.tx.send(Observation {
            service: head.service.clone(),
            version: head.version.clone(),
            route: head.route.clone(),
            failed,
            took,
        });
    }

    async fn forward(&self, req: Request, head: &CallHead, until: Instant) -> Forwarded {
        let upstream = self.shared.upstream.get();
        let Some(Announcement { address, .. }) = upstream.as_ref() else {
            return Forwarded::NotRun(NotRunReason::NoInstance);
        };
        let Ok(mut conn) = self.pool.take(*address).await else {
            return Forwarded::NotRun(NotRunReason::Unreachable);
        };
        let left = until.saturating_duration_since(Instant::now());
        let out = wire::upstream_request(req, head, left);
        match conn.call(out, left).await {
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
                self.pool.close_idle(*address);
                Forwarded::Lost
            }
        }
    }

    fn finish(&self, head: &CallHead, result: Forwarded) -> Response {
        let attempt = &head.attempt;
        let mut table = self.table.borrow_mut();
        match result {
            Forwarded::Answered(res) => {
                let bytes = res.body.len();
                let answer = res.clone();
                table.finish(attempt, Completion::Answered { answer, bytes });
                self.reply(attempt, Outcome::Answered, res)
            }
            Forwarded::NotRun(reason) => {
                table.finish(attempt, Completion::NotRun);
                self.not_run(attempt, not_run(reason))
            }
            Forwarded::Lost | Forwarded::Cancelled => {
                table.finish(attempt, Completion::NoAnswer);
                self.unknown(attempt)
            }
        }
    }

    /// Refuses an attempt that has not begun, and sees to it that it never will.
    fn refuse(&self, attempt: &AttemptId, not_run: NotRun) -> Response {
        let refusal = self.table.borrow_mut().refuse(attempt);
        match refusal {
            Refusal::NotRun => self.not_run(attempt, not_run),
            Refusal::Unknown => self.unknown(attempt),
        }
    }

    fn not_run(&self, attempt: &AttemptId, not_run: NotRun) -> Response {
        self.reply(attempt, Outcome::NotRun(not_run), empty())
    }

    fn unknown(&self, attempt: &AttemptId) -> Response {
        self.reply(attempt, Outcome::Unknown, empty())
    }

    fn reply(&self, attempt: &AttemptId, outcome: Outcome, res: Response) -> Response {
        wire::reply(attempt, outcome, self.slots.load(), res)
    }
}

fn empty() -> Response {
    Response::new(StatusCode::OK, "")
}
