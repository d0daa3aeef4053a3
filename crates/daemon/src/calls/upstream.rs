//! Upstream side: accepts attempts from other daemons and runs them on the local upstream.

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

use crate::calls::pending::PendingAttempt;
use crate::calls::pending::SetOnDrop;
use crate::calls::slots::Slot;
use crate::calls::slots::Slots;
use crate::calls::wire;
use crate::calls::wire::not_run;
use crate::shared_state::SharedState;
use crate::shared_state::ShutdownPhase;

/// Time between two checks whether an attempt has ended, for callers that wait for its end.
const RESOLVE_POLL: Duration = Duration::from_millis(5);

/// Result of one call on the upstream; evidence reports count these.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// Service that was called.
    pub service: ServiceName,
    /// Version of the instance that ran the call.
    pub version: VersionName,
    /// Route that matched the call.
    pub route: RoutePrefix,
    /// Whether it failed: a 5xx answer, a cut connection or a timeout.
    pub failed: bool,
    /// Time from the start of forwarding to the complete answer or the failure.
    pub took: Duration,
}

/// Runs attempts on the local upstream.
pub struct UpstreamSide {
    shared: SharedState,
    pool: Pool,
    table: RefCell<AttemptTable<Response>>,
    slots: Rc<Slots>,
    /// Attempts that were received and have not begun.
    pending: RefCell<FastSet<AttemptId>>,
    tx: unbounded::Tx<Observation>,
    rx: RefCell<Option<unbounded::Rx<Observation>>>,
}

enum ForwardResult {
    Answered(Response),
    NotRun(NotRunReason),
    ConnectionLost,
    /// The caller disconnected from an idempotent call.
    Cancelled,
}

impl UpstreamSide {
    /// Creates an upstream side that has run no attempt.
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
            pending: RefCell::default(),
            tx,
            rx: RefCell::new(Some(rx)),
        }
    }

    /// Takes the receiver of call observations; there is only one.
    ///
    /// # Panics
    /// When called a second time.
    pub fn take_observations(&self) -> unbounded::Rx<Observation> {
        self.rx.take().expect("observations have one receiver")
    }

    /// Waits until no attempt is queued or running, for at most `max_wait`.
    pub async fn wait_idle(&self, max_wait: Duration) {
        let all_ended = async {
            while self.slots.load().running > 0 || self.slots.load().queued > 0 {
                monoio::time::sleep(RESOLVE_POLL).await;
            }
        };
        let _ = monoio::time::timeout(max_wait, all_ended).await;
    }

    /// Runs one attempt. Dropping the future while the attempt waits for a slot fences the attempt;
    /// dropping it later cancels an idempotent attempt and lets any other run to its end.
    pub async fn call(self: &Rc<Self>, req: Request) -> Response {
        let Some(head) = wire::call_head(&req) else {
            log::info!("calls: refused a call without a readable call head");
            return Response::text(StatusCode::BAD_REQUEST, "no call head");
        };
        let deadline = Instant::now() + head.remaining;
        if let Err(reason) = self.check(&head) {
            return self.refuse(&head.attempt, not_run(reason));
        }
        let Some(pending_attempt) = PendingAttempt::new(self, &head.attempt) else {
            return self.unknown(&head.attempt);
        };
        let slot = match self.slots.acquire(head.class, deadline).await {
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
        drop(pending_attempt);
        let caller_gone = Latch::default();
        let disconnect_guard = SetOnDrop(caller_gone.clone());
        let side = Rc::clone(self);
        let run =
            monoio::spawn(async move { side.run(req, head, deadline, slot, caller_gone).await });
        let res = run.await;
        drop(disconnect_guard);
        res
    }

    /// Answers a caller's query for the outcome of an attempt.
    pub async fn resolve(&self, req: Request) -> Response {
        let Ok(request) = codec::decode::<ResolveRequest>(&req.body.to_bytes()) else {
            log::info!("calls: refused an unreadable resolve request");
            return Response::text(StatusCode::BAD_REQUEST, "no question");
        };
        let deadline = Instant::now() + request.remaining;
        loop {
            if let Some(res) = self.resolution(&request) {
                return res;
            }
            if Instant::now() >= deadline {
                return self.reply(&request.attempt, Outcome::Pending, empty());
            }
            monoio::time::sleep(RESOLVE_POLL).await;
        }
    }

    /// The reply to a resolve request; `None` while the attempt is queued or running.
    fn resolution(&self, request: &ResolveRequest) -> Option<Response> {
        if self.pending.borrow().contains(&request.attempt) {
            return None;
        }
        let mut table = self.table.borrow_mut();
        let (outcome, res) = match table.resolve(request) {
            Resolution::Running => return None,
            Resolution::Fenced => (Outcome::NotRun(not_run(NotRunReason::GivenUp)), empty()),
            Resolution::Finished(answer) => (Outcome::Answered, answer.clone()),
            Resolution::Unknown => (Outcome::Unknown, empty()),
        };
        Some(self.reply(&request.attempt, outcome, res))
    }

    /// Registers a pending attempt; false if a copy of it is already pending.
    pub(super) fn add_pending(&self, attempt: &AttemptId) -> bool {
        self.pending.borrow_mut().insert(attempt.clone())
    }

    /// Removes a pending attempt and fences it unless it has begun.
    pub(super) fn remove_pending(&self, attempt: &AttemptId) {
        self.pending.borrow_mut().remove(attempt);
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
        deadline: Instant,
        slot: Slot,
        caller_gone: Latch,
    ) -> Response {
        let began = Instant::now();
        let result = match head.repeat {
            Idempotency::AtMostOnce => self.forward(req, &head, deadline).await,
            Idempotency::Idempotent => monoio::select! {
                () = caller_gone.wait() => ForwardResult::Cancelled,
                result = self.forward(req, &head, deadline) => result,
            },
        };
        let took = began.elapsed();
        let failed = match &result {
            ForwardResult::Answered(res) => Some(res.status.is_server_error()),
            ForwardResult::ConnectionLost => Some(true),
            ForwardResult::NotRun(_) | ForwardResult::Cancelled => None,
        };
        if let Some(failed) = failed {
            slot.complete_call(took);
            self.observe(&head, failed, took);
        }
        self.finish(&head, result)
    }

    fn observe(&self, head: &CallHead, failed: bool, took: Duration) {
        // The receiver is gone when the daemon stops.
        let _ = self.tx.send(Observation {
            service: head.service.clone(),
            version: head.version.clone(),
            route: head.route.clone(),
            failed,
            took,
        });
    }

    async fn forward(&self, req: Request, head: &CallHead, deadline: Instant) -> ForwardResult {
        let upstream = self.shared.upstream.get();
        let Some(Announcement { address, .. }) = upstream.as_ref() else {
            return ForwardResult::NotRun(NotRunReason::NoInstance);
        };
        let Ok(mut conn) = self.pool.take(*address).await else {
            return ForwardResult::NotRun(NotRunReason::Unreachable);
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let out = wire::upstream_request(req, head, left);
        match conn.call(out, left).await {
            Ok(res) => {
                if res.header(NOT_RUN_HEADER).is_some() {
                    // Answers carry no id, so a copy of the refusal would count for the next call.
                    conn.close();
                    if res.status.is_success() {
                        log::warn!(
                            "calls: the upstream answered and stated that it did not run the call"
                        );
                        return ForwardResult::ConnectionLost;
                    }
                    return ForwardResult::NotRun(NotRunReason::UpstreamRefused);
                }
                self.pool.put(conn);
                ForwardResult::Answered(res)
            }
            Err(e) => {
                log::info!("calls: no answer from the upstream: {e}");
                conn.close();
                self.pool.close_idle(*address);
                ForwardResult::ConnectionLost
            }
        }
    }

    fn finish(&self, head: &CallHead, result: ForwardResult) -> Response {
        let attempt = &head.attempt;
        let mut table = self.table.borrow_mut();
        match result {
            ForwardResult::Answered(res) => {
                let bytes = res.body.len();
                let answer = res.clone();
                table.finish(attempt, Completion::Answered { answer, bytes });
                self.reply(attempt, Outcome::Answered, res)
            }
            ForwardResult::NotRun(reason) => {
                table.finish(attempt, Completion::NotRun);
                self.not_run(attempt, not_run(reason))
            }
            ForwardResult::ConnectionLost | ForwardResult::Cancelled => {
                table.finish(attempt, Completion::NoAnswer);
                self.unknown(attempt)
            }
        }
    }

    /// Refuses an attempt that has not begun and fences it, so that a late copy cannot begin.
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
