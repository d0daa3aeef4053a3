//! Grants for large bodies: asks the receiving daemon before a body is sent, and answers such
//! requests of others.

use std::cell::RefCell;
use std::time::Duration;
use std::time::Instant;

use base::FastMap;
use http_edge::CallError;
use http_edge::Conn;
use http_edge::Request;
use http_edge::Response;
use local_sync::oneshot;
use mesh::transfers::Transfer;
use mesh::transfers::TransferDecision;
use mesh::transfers::TransferLimiter;
use mesh::transfers::TransferStep;
use mesh::wire::ForwardHead;
use mesh::wire::ForwardOutcome;
use mesh::wire::TransferHead;
use protocol::call::NotRun;
use protocol::call::NotRunReason;
use protocol::codec;
use serde_json::json;
use smol_str::SmolStr;

use crate::dispatcher::MAX_RETRY_AFTER;
use crate::dispatcher::MIN_RETRY_AFTER;
use crate::limits::MEMORY_RETRY;
use crate::logs::EventClass;
use crate::node::Node;

/// Path that answers requests for a grant.
pub const TRANSFER_PATH: &str = "/inner/transfer";

/// Header that carries a [`TransferHead`].
const TRANSFER_HEADER: &str = "x-bronzehead-transfer";

/// Part of the time to the full value of an answer that its request's body may spend on the network.
const ARRIVAL_DIVISOR: u32 = 2;

type TransferKey = SmolStr;

/// Grants large bodies to the senders in turn.
pub struct TransferGate {
    limiter: RefCell<TransferLimiter<TransferKey>>,
    waiting: RefCell<FastMap<TransferKey, oneshot::Sender<TransferStep<TransferKey>>>>,
}

impl TransferGate {
    /// Creates a gate for a machine with this link.
    pub fn new(link_mbps: u32) -> Self {
        Self {
            limiter: RefCell::new(TransferLimiter::new(link_mbps)),
            waiting: RefCell::default(),
        }
    }

    /// Records that the body of a request arrived or will not be sent.
    pub fn end(&self, request: &SmolStr) {
        self.limiter.borrow_mut().end(request);
        self.process_queue();
    }

    /// Grants or refuses waiting transfers as far as the link allows.
    pub fn process_queue(&self) {
        loop {
            let step = self.limiter.borrow_mut().next(Instant::now());
            let Some(step) = step else { return };
            let (TransferStep::Grant(key) | TransferStep::Refuse(key, _)) = &step;
            let key = key.clone();
            let tx = self.waiting.borrow_mut().remove(&key);
            let is_delivered = tx.is_some_and(|tx| tx.send(step).is_ok());
            if !is_delivered {
                self.limiter.borrow_mut().end(&key);
            }
        }
    }
}

/// Ends a transfer whose sender left before the grant.
struct WaitGuard<'a> {
    gate: &'a TransferGate,
    key: &'a TransferKey,
    is_waiting: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.is_waiting {
            self.gate.waiting.borrow_mut().remove(self.key);
            self.gate.end(self.key);
        }
    }
}

impl Node {
    /// Asks the daemon at the other end of a connection for a grant, and returns its reply.
    pub(crate) async fn request_grant(
        &self,
        conn: &mut Conn,
        head: &ForwardHead,
        bytes: usize,
        timeout: Duration,
    ) -> Result<Response, CallError> {
        let transfer = TransferHead {
            head: head.clone(),
            bytes: bytes as u64,
        };
        let req = Request::get(TRANSFER_PATH)
            .with_header(TRANSFER_HEADER, codec::encode_header_value(&transfer));
        conn.call(req, timeout).await
    }

    /// Decides on a request for a grant; `None` if its head is missing or unreadable.
    pub(crate) async fn answer_grant(&self, req: &Request) -> Option<ForwardOutcome> {
        let transfer = req
            .header(TRANSFER_HEADER)
            .map(codec::decode_header_value::<TransferHead>);
        let Some(Ok(transfer)) = transfer else {
            log::warn!("peer request for a transfer with a missing or unreadable head");
            return None;
        };
        let outcome = match self.mismatch(&transfer.head) {
            Some(reason) => ForwardOutcome::NotRun(self.dispatcher.not_run(reason)),
            None => match self.refusal_by_limit(&transfer.head) {
                Some(not_run) => ForwardOutcome::NotRun(not_run),
                None => self.wait_for_grant(&transfer).await,
            },
        };
        if let ForwardOutcome::NotRun(not_run) = &outcome {
            let now = Instant::now();
            self.event_log
                .emit(EventClass::Failure, "transfer-refused", now, || {
                    json!({
                        "request": transfer.head.request,
                        "route": transfer.head.route,
                        "bytes": transfer.bytes,
                        "reason": format!("{:?}", not_run.reason),
                        "retry_after_ms": not_run.retry_after.map(|after| after.as_millis()),
                        "full_value_ms": transfer.head.full_value_ms,
                    })
                });
        }
        Some(outcome)
    }

    /// Refuses a body that the instance would not accept in time, before it takes the link.
    fn refusal_by_limit(&self, head: &ForwardHead) -> Option<NotRun> {
        self.adopt_limit(head);
        let now = Instant::now();
        let latest_start = now + Duration::from_millis(u64::from(head.full_value_ms));
        let admission = self.dispatcher.admission.borrow();
        admission.refusal_by_limit(latest_start, now)
    }

    async fn wait_for_grant(&self, transfer: &TransferHead) -> ForwardOutcome {
        let gate = &self.transfers;
        let key = &transfer.head.request;
        let bytes = usize::try_from(transfer.bytes).unwrap_or(usize::MAX);
        if !self.limits.budget.has_room(bytes) {
            return refused(MEMORY_RETRY);
        }
        let now = Instant::now();
        let full_value = Duration::from_millis(u64::from(transfer.head.full_value_ms));
        let offered = Transfer {
            key: key.clone(),
            bytes: transfer.bytes,
            rank: transfer.head.rank,
            arrive_by: now + full_value / ARRIVAL_DIVISOR,
        };
        let decision = gate.limiter.borrow_mut().offer(offered, now);
        match decision {
            TransferDecision::Granted => return ForwardOutcome::Granted,
            TransferDecision::Refused(after) => return refused(after),
            TransferDecision::Queued => {}
        }
        let (tx, rx) = oneshot::channel();
        gate.waiting.borrow_mut().insert(key.clone(), tx);
        let mut guard = WaitGuard {
            gate,
            key,
            is_waiting: true,
        };
        let step = rx.await;
        guard.is_waiting = false;
        match step {
            Ok(TransferStep::Grant(_)) => ForwardOutcome::Granted,
            Ok(TransferStep::Refuse(_, after)) => refused(after),
            // Another transfer with the same request id took its place.
            Err(_) => refused(Duration::ZERO),
        }
    }
}

fn refused(after: Duration) -> ForwardOutcome {
    ForwardOutcome::NotRun(NotRun {
        reason: NotRunReason::Overloaded,
        retry_after: Some(after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)),
    })
}
