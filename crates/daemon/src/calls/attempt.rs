//! One attempt of a call: sends it, checks on it while no reply comes, and resolves its outcome
//! after the connection was lost.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use http_edge::CallError;
use http_edge::Conn;
use http_edge::ConnectError;
use http_edge::Request;
use http_edge::Response;
use protocol::call::Outcome;
use protocol::call::ResolveRequest;
use protocol::codec;
use protocol::paths;
use routing::Balancer;
use routing::Endpoint;
use routing::attempts::Event;
use routing::attempts::Permit;
use routing::attempts::Reply;
use routing::balancer::Failure;

use crate::calls::call::CallCx;
use crate::calls::call::SentAttempt;
use crate::calls::wire;
use crate::calls::wire::AttemptReply;

/// Time for the reply to a resolve request, in addition to the time that the request may wait.
const QUERY_TIMEOUT: Duration = Duration::from_millis(250);

/// Pause between resolve requests to an instance that does not reply.
const QUERY_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Result of checking over a new connection on an attempt without a reply.
enum AttemptCheck {
    /// The attempt is queued or running.
    Pending,
    /// The attempt has ended, so its own connection has failed silently.
    Ended(AttemptReply),
    /// The instance does not reply on a new connection either.
    InstanceUnreachable,
}

/// Sends an attempt and reports its outcome to the call, unless it is cancelled.
pub(super) async fn send(cx: Rc<CallCx>, sent: SentAttempt) {
    cx.core
        .balancer
        .borrow_mut()
        .attempt_started(&sent.endpoint);
    monoio::select! {
        () = sent.cancel.wait() => {}
        event = exchange(&cx, &sent) => cx.send_event(event),
    }
    cx.core.balancer.borrow_mut().attempt_ended(&sent.endpoint);
}

async fn exchange(cx: &CallCx, sent: &SentAttempt) -> Event {
    let Ok(mut conn) = cx.core.pool.take(sent.endpoint.address).await else {
        record_attempt_failure(cx, sent, Failure::Unreachable);
        return Event::ConnectFailed(sent.index);
    };
    if cx.permit_send(sent.index) == Permit::Denied {
        conn.close();
        return Event::ConnectFailed(sent.index);
    }
    let started = Instant::now();
    match await_reply(cx, sent, &mut conn).await {
        ReplyWait::Replied(Ok(res)) => match wire::read_reply(res, &sent.head.attempt) {
            Ok(received) => {
                cx.core.pool.put(conn);
                record_latency(cx, sent, &received, started.elapsed());
                Event::Replied(sent.index, process_reply(cx, sent, received))
            }
            Err(fault) => {
                log::error!("calls: unusable reply, closing the connection: {fault:?}");
                conn.close();
                Event::ConnectionLost(sent.index)
            }
        },
        ReplyWait::Replied(Err(e)) => {
            log::info!("calls: connection of an attempt failed: {e}");
            conn.close();
            on_connection_lost(cx, sent, Failure::Error)
        }
        ReplyWait::NoReply(Some(received)) => {
            log::warn!(
                "calls: a connection to {} stopped delivering replies",
                sent.endpoint.daemon
            );
            conn.close();
            cx.core.pool.close_idle(sent.endpoint.address);
            Event::Replied(sent.index, process_reply(cx, sent, received))
        }
        ReplyWait::NoReply(None) => {
            log::warn!("calls: {} is unresponsive", sent.endpoint.daemon);
            conn.close();
            on_connection_lost(cx, sent, Failure::Unresponsive)
        }
    }
}

enum ReplyWait {
    Replied(Result<Response, CallError>),
    /// No reply came; holds the outcome if a new connection delivered it.
    NoReply(Option<AttemptReply>),
}

/// Awaits the reply; checks over a new connection after each heartbeat interval without one.
async fn await_reply(cx: &CallCx, sent: &SentAttempt, conn: &mut Conn) -> ReplyWait {
    let inner = wire::inner_request(&cx.req, &sent.head);
    let check_interval = cx.core.shared.daemon_cfg.settings.timing.heartbeat;
    let mut reply = std::pin::pin!(conn.call(inner, sent.head.remaining));
    loop {
        let check = async {
            monoio::time::sleep(check_interval).await;
            check_attempt(cx, sent).await
        };
        monoio::select! {
            res = &mut reply => return ReplyWait::Replied(res),
            check = check => match check {
                AttemptCheck::Pending => {}
                AttemptCheck::Ended(received) => return ReplyWait::NoReply(Some(received)),
                AttemptCheck::InstanceUnreachable => return ReplyWait::NoReply(None),
            },
        }
    }
}

async fn check_attempt(cx: &CallCx, sent: &SentAttempt) -> AttemptCheck {
    match query_outcome(cx, sent, Duration::ZERO).await {
        Ok(received) if received.outcome == Outcome::Pending => AttemptCheck::Pending,
        Ok(received) => AttemptCheck::Ended(received),
        Err(_) => AttemptCheck::InstanceUnreachable,
    }
}

fn on_connection_lost(cx: &CallCx, sent: &SentAttempt, failure: Failure) -> Event {
    // Idle connections to that address may have failed in the same way.
    cx.core.pool.close_idle(sent.endpoint.address);
    record_attempt_failure(cx, sent, failure);
    Event::ConnectionLost(sent.index)
}

/// Requests the outcome of an attempt over new connections until it is known or the call is over.
pub(super) async fn resolve(cx: Rc<CallCx>, sent: SentAttempt) {
    monoio::select! {
        () = sent.cancel.wait() => {}
        event = resolve_until_final(&cx, &sent) => cx.send_event(event),
    }
}

/// Each request waits for one heartbeat interval at most, so that an unresponsive connection does
/// not use up the remaining time.
async fn resolve_until_final(cx: &CallCx, sent: &SentAttempt) -> Event {
    let max_query_wait = cx.core.shared.daemon_cfg.settings.timing.heartbeat;
    loop {
        let left = cx.deadline_at.saturating_duration_since(Instant::now());
        match query_outcome(cx, sent, left.min(max_query_wait)).await {
            Ok(received) if received.outcome == Outcome::Pending && !left.is_zero() => {}
            Ok(received) => return Event::Resolved(sent.index, process_reply(cx, sent, received)),
            Err(QueryError::ProcessGone) => return Event::ResolveFailed(sent.index),
            Err(QueryError::NoReply) if left.is_zero() => return Event::ResolveFailed(sent.index),
            Err(QueryError::NoReply) => monoio::time::sleep(QUERY_RETRY_PAUSE).await,
        }
    }
}

enum QueryError {
    /// The connection failed at once: the process that knew the outcome is gone.
    ProcessGone,
    /// No reply in time; a later request may get one.
    NoReply,
}

async fn query_outcome(
    cx: &CallCx,
    sent: &SentAttempt,
    max_wait: Duration,
) -> Result<AttemptReply, QueryError> {
    let query = ResolveRequest {
        attempt: sent.head.attempt.clone(),
        incarnation: sent.endpoint.incarnation,
        remaining: max_wait,
    };
    let opened = cx.core.pool.connect_new(sent.endpoint.address).await;
    let mut conn = opened.map_err(|e| match e {
        ConnectError::Io(_) => QueryError::ProcessGone,
        ConnectError::TimedOut => QueryError::NoReply,
    })?;
    let req = Request::post(paths::RESOLVE, codec::encode(&query));
    let answer = conn.call(req, max_wait + QUERY_TIMEOUT).await;
    let res = answer.map_err(|_| QueryError::NoReply)?;
    wire::read_reply(res, &sent.head.attempt).map_err(|_| QueryError::NoReply)
}

/// Records the load and the result in the balancer and stores the answer.
fn process_reply(cx: &CallCx, sent: &SentAttempt, received: AttemptReply) -> Reply {
    let load = received.load;
    with_balancer(cx, sent, |balancer, _| {
        balancer.record_load(&sent.endpoint, load, Instant::now());
    });
    match received.outcome {
        Outcome::Answered => {
            record_answer(cx, sent, received.res.status);
            sent.store_answer(received.res);
            Reply::Answered
        }
        Outcome::NotRun(not_run) => {
            with_balancer(cx, sent, |balancer, siblings| {
                balancer.record_refusal(&sent.endpoint, siblings, not_run.reason, Instant::now());
            });
            Reply::NotRun(not_run)
        }
        Outcome::Pending | Outcome::Unknown => Reply::Unknown,
    }
}

fn record_answer(cx: &CallCx, sent: &SentAttempt, status: StatusCode) {
    if status.is_server_error() {
        return record_attempt_failure(cx, sent, Failure::Error);
    }
    with_balancer(cx, sent, |b, _| b.record_success(&sent.endpoint));
}

fn record_latency(cx: &CallCx, sent: &SentAttempt, received: &AttemptReply, took: Duration) {
    if received.outcome == Outcome::Answered {
        let observe = |limits: &mut super::caller::RetryLimits| limits.hedge.observe(took);
        cx.core.with_limits(&sent.head.service, observe);
    }
}

fn record_attempt_failure(cx: &CallCx, sent: &SentAttempt, failure: Failure) {
    with_balancer(cx, sent, |balancer, siblings| {
        balancer.record_failure(&sent.endpoint, siblings, failure, Instant::now());
    });
}

/// Runs `f` with the balancer and the instances of the attempt's version.
fn with_balancer(cx: &CallCx, sent: &SentAttempt, f: impl FnOnce(&mut Balancer, &[Endpoint])) {
    let table = cx.core.shared.table.get();
    let siblings = table
        .service(&sent.head.service)
        .map_or(&[][..], |service| service.endpoints(&sent.head.version));
    f(&mut cx.core.balancer.borrow_mut(), siblings);
}
