//! Encodes and decodes calls on the wire: from clients, between daemons, and to the upstream.

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

/// Reply of an instance about an attempt.
pub(super) struct AttemptReply {
    pub(super) outcome: Outcome,
    pub(super) load: Load,
    /// The upstream's answer if the outcome is [`Outcome::Answered`].
    pub(super) res: Response,
}

/// Why a reply cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReplyFault {
    Unreadable,
    OtherAttempt,
}

/// Remaining time from the client's deadline header, if present and valid.
pub(super) fn client_timeout(req: &Request) -> Option<Duration> {
    let millis = req.header(DEADLINE_HEADER)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// Builds the request from the caller side to the upstream side.
pub(super) fn inner_request(req: &Request, head: &CallHead) -> Request {
    let mut inner = req.clone();
    paths::CALL.clone_into(&mut inner.target);
    inner.headers.remove(CONNECTION);
    inner
        .with_header(CALL_HEADER, codec::encode_header_value(head))
        .with_header(TARGET_HEADER, &req.target)
}

/// Decodes the call head of a request from another daemon.
pub(super) fn call_head(req: &Request) -> Option<CallHead> {
    codec::decode_header_value(req.header(CALL_HEADER)?).ok()
}

/// Builds the request to the upstream, without the headers that daemons added.
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

/// Decodes the reply to an attempt; rejects a reply to another attempt.
pub(super) fn read_reply(
    mut res: Response,
    attempt: &AttemptId,
) -> Result<AttemptReply, ReplyFault> {
    let head: OutcomeHead = res
        .header(OUTCOME_HEADER)
        .and_then(|text| codec::decode_header_value(text).ok())
        .ok_or(ReplyFault::Unreadable)?;
    if head.attempt != *attempt {
        return Err(ReplyFault::OtherAttempt);
    }
    res.headers.remove(OUTCOME_HEADER);
    res.headers.remove(CONNECTION);
    Ok(AttemptReply {
        outcome: head.outcome,
        load: head.load,
        res,
    })
}

/// Builds the response from the upstream side to the caller side.
pub(super) fn reply(attempt: &AttemptId, outcome: Outcome, load: Load, res: Response) -> Response {
    let head = OutcomeHead {
        attempt: attempt.clone(),
        outcome,
        load,
    };
    res.with_header(OUTCOME_HEADER, codec::encode_header_value(&head))
}

/// A refusal without a retry-after time.
pub(super) fn not_run(reason: NotRunReason) -> NotRun {
    NotRun {
        reason,
        retry_after: None,
    }
}

/// Response to the client when its call did not run.
pub(super) fn not_run_response(not_run: &NotRun) -> Response {
    let after = not_run.retry_after.unwrap_or_default();
    let text = format!("not run: {:?}", not_run.reason);
    Response::text(StatusCode::SERVICE_UNAVAILABLE, text)
        .with_header(NOT_RUN_HEADER, format!("{:?}", not_run.reason))
        .with_header("retry-after", retry_after_seconds(after).to_string())
}

/// Response to the client when its call may have run.
pub(super) fn unknown_response() -> Response {
    Response::text(StatusCode::GATEWAY_TIMEOUT, "unknown: may have run")
}

/// Rounds up to whole seconds, the unit of the retry-after header; at least 1.
fn retry_after_seconds(after: Duration) -> u64 {
    let is_whole = after.subsec_nanos() == 0;
    (after.as_secs() + u64::from(!is_whole)).max(1)
}
