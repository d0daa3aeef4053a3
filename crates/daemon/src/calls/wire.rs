//! Forms of calls on the wire: from clients, between daemons, and back.

use std::time::Duration;

use http::StatusCode;
use http::header::CONNECTION;
use http_edge::Request;
use http_edge::Response;
use protocol::call::AttemptId;
use protocol::call::CALL_HEADER;
use protocol::call::CallHead;
use protocol::call::DEADLINE_HEADER;
use protocol::call::Load;
use protocol::call::NOT_RUN_HEADER;
use protocol::call::NotRun;
use protocol::call::NotRunReason;
use protocol::call::OUTCOME_HEADER;
use protocol::call::Outcome;
use protocol::call::OutcomeHead;
use protocol::call::TARGET_HEADER;
use protocol::codec;
use protocol::paths;

/// What an instance said about an attempt.
pub(super) struct Told {
    pub(super) outcome: Outcome,
    pub(super) load: Load,
    /// The upstream's answer, when the outcome is that it answered.
    pub(super) res: Response,
}

/// A reply that does not belong to the attempt, or is no reply at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReplyFault {
    Unreadable,
    OtherAttempt,
}

/// Time that the client leaves for a call, if it names one.
pub(super) fn deadline(req: &Request) -> Option<Duration> {
    let millis = req.header(DEADLINE_HEADER)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// The request from daemon to daemon.
pub(super) fn inner_request(req: &Request, head: &CallHead) -> Request {
    let mut inner = req.clone();
    paths::CALL.clone_into(&mut inner.target);
    inner.headers.remove(CONNECTION);
    inner
        .with_header(CALL_HEADER, codec::encode_header_value(head))
        .with_header(TARGET_HEADER, &req.target)
}

/// Head of the request from daemon to daemon.
pub(super) fn call_head(req: &Request) -> Option<CallHead> {
    codec::decode_header_value(req.header(CALL_HEADER)?).ok()
}

/// The request to the upstream.
pub(super) fn upstream_request(req: Request, head: &CallHead, remaining: Duration) -> Request {
    use protocol::call::CALL_ID_HEADER;

    let target = req.header(TARGET_HEADER).unwrap_or("/").to_owned();
    let mut out = Request { target, ..req };
    for name in [CALL_HEADER, TARGET_HEADER, CONNECTION.as_str()] {
        out.headers.remove(name);
    }
    out.with_header(CALL_ID_HEADER, &head.call)
        .with_header(DEADLINE_HEADER, remaining.as_millis().to_string())
}

/// Reads the reply to an attempt; one to another attempt is refused.
pub(super) fn read_reply(mut res: Response, attempt: &AttemptId) -> Result<Told, ReplyFault> {
    let head: OutcomeHead = res
        .header(OUTCOME_HEADER)
        .and_then(|text| codec::decode_header_value(text).ok())
        .ok_or(ReplyFault::Unreadable)?;
    if head.attempt != *attempt {
        return Err(ReplyFault::OtherAttempt);
    }
    res.headers.remove(OUTCOME_HEADER);
    res.headers.remove(CONNECTION);
    Ok(Told {
        outcome: head.outcome,
        load: head.load,
        res,
    })
}

/// The response from daemon to daemon.
pub(super) fn reply(attempt: &AttemptId, outcome: Outcome, load: Load, res: Response) -> Response {
    let head = OutcomeHead {
        attempt: attempt.clone(),
        outcome,
        load,
    };
    res.with_header(OUTCOME_HEADER, codec::encode_header_value(&head))
}

/// A refusal that names no time to come back.
pub(super) fn not_run(reason: NotRunReason) -> NotRun {
    NotRun {
        reason,
        retry_after: None,
    }
}

/// What the client gets when its call did not run.
pub(super) fn not_run_response(not_run: &NotRun) -> Response {
    let after = not_run.retry_after.unwrap_or_default();
    let text = format!("not run: {:?}", not_run.reason);
    Response::text(StatusCode::SERVICE_UNAVAILABLE, text)
        .with_header(NOT_RUN_HEADER, format!("{:?}", not_run.reason))
        .with_header("retry-after", whole_seconds(after).to_string())
}

/// What the client gets when its call may have run.
pub(super) fn unknown_response() -> Response {
    Response::text(StatusCode::GATEWAY_TIMEOUT, "unknown: may have run")
}

/// The header counts in whole seconds; a shorter time is rounded up.
fn whole_seconds(after: Duration) -> u64 {
    let is_whole = after.subsec_nanos() == 0;
    (after.as_secs() + u64::from(!is_whole)).max(1)
}
