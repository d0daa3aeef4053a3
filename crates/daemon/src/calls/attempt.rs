//! One attempt of a call: sends it, watches for silence, and asks what became of it.

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
use crate::calls::call::Sent;
use crate::calls::wire;
use crate::calls::wire::Told;

/// Time for the answer to a question that waits for nothing.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Pause between questions to an instance that does not answer.
const ASK_PAUSE: Duration = Duration::from_millis(100);

/// What a look at a silent attempt shows.
enum Look {
    /// It waits or runs.
    Pending,
    /// Its end is known, so its own connection went silent.
    Told(Told),
    /// The instance does not answer on a new connection either.
    Blind,
}

/// Sends an attempt and feeds back what became of it, unless it is cancelled.
pub(super) async fn send(cx: Rc<CallCx>, sent: Sent) {
    cx.core
        .balancer
        .borrow_mut()
        .attempt_started(&sent.endpoint);
    monoio::select! {
        () = sent.cancel.wait() => {}
        event = exchange(&cx, &sent) => cx.tell(event),
    }
    cx.core.balancer.borrow_mut().attempt_ended(&sent.endpoint);
}

async fn exchange(cx: &CallCx, sent: &Sent) -> Event {
    let Ok(mut conn) = cx.core.pool.take(sent.endpoint.address).await else {
        note_failure(cx, sent, Failure::Unreachable);
        return Event::ConnectFailed(sent.index);
    };
    if cx.permit_send(sent.index) == Permit::Denied {
        conn.close();
        return Event::ConnectFailed(sent.index);
    }
    let began = Instant::now();
    match watched_call(cx, sent, &mut conn).await {
        Watched::Replied(Ok(res)) => match wire::read_reply(res, &sent.head.attempt) {
            Ok(told) => {
                cx.core.pool.put(conn);
                note_latency(cx, sent, &told, began.elapsed());
                Event::Replied(sent.index, take_in(cx, sent, told))
            }
            Err(fault) => {
                log::error!("calls: closed a connection after a reply: {fault:?}");
                conn.close();
                Event::ConnectionLost(sent.index)
            }
        },
        Watched::Replied(Err(e)) => {
            log::info!("calls: lost sight of an attempt: {e}");
            conn.close();
            lose_sight(cx, sent, Failure::Error)
        }
        Watched::Silent(Some(told)) => {
            log::warn!(
                "calls: a connection to {} went silent",
                sent.endpoint.daemon
            );
            conn.close();
            cx.core.pool.close_idle(sent.endpoint.address);
            Event::Replied(sent.index, take_in(cx, sent, told))
        }
        Watched::Silent(None) => {
            log::warn!("calls: {} went silent", sent.endpoint.daemon);
            conn.close();
            lose_sight(cx, sent, Failure::Unresponsive)
        }
    }
}

enum Watched {
    Replied(Result<Response, CallError>),
    /// Nothing came; holds what a new connection told about the attempt.
    Silent(Option<Told>),
}

/// Awaits the reply, and looks over a new connection whenever it stays away for long.
async fn watched_call(cx: &CallCx, sent: &Sent, conn: &mut Conn) -> Watched {
    let inner = wire::inner_request(&cx.req, &sent.head);
    let silence = cx.core.shared.daemon_cfg.settings.timing.heartbeat;
    let mut reply = std::pin::pin!(conn.call(inner, sent.head.remaining));
    loop {
        let look = async {
            monoio::time::sleep(silence).await;
            look(cx, sent).await
        };
        monoio::select! {
            res = &mut reply => return Watched::Replied(res),
            look = look => match look {
                Look::Pending => {}
                Look::Told(told) => return Watched::Silent(Some(told)),
                Look::Blind => return Watched::Silent(None),
            },
        }
    }
}

async fn look(cx: &CallCx, sent: &Sent) -> Look {
    match ask(cx, sent, Duration::ZERO).await {
        Ok(told) if told.outcome == Outcome::Pending => Look::Pending,
        Ok(told) => Look::Told(told),
        Err(_) => Look::Blind,
    }
}

fn lose_sight(cx: &CallCx, sent: &Sent, failure: Failure) -> Event {
    // What else is open to that address may be as dead.
    cx.core.pool.close_idle(sent.endpoint.address);
    note_failure(cx, sent, failure);
    Event::ConnectionLost(sent.index)
}

/// Asks over new connections what became of an attempt, until it is told or the call is over.
pub(super) async fn resolve(cx: Rc<CallCx>, sent: Sent) {
    monoio::select! {
        () = sent.cancel.wait() => {}
        event = ask_until_told(&cx, &sent) => cx.tell(event),
    }
}

/// Each question waits for a while only, so that a silent connection does not cost the whole time.
async fn ask_until_told(cx: &CallCx, sent: &Sent) -> Event {
    let longest = cx.core.shared.daemon_cfg.settings.timing.heartbeat;
    loop {
        let left = cx.until.saturating_duration_since(Instant::now());
        match ask(cx, sent, left.min(longest)).await {
            Ok(told) if told.outcome == Outcome::Pending && !left.is_zero() => {}
            Ok(told) => return Event::Resolved(sent.index, take_in(cx, sent, told)),
            Err(AskError::Gone) => return Event::ResolveFailed(sent.index),
            Err(AskError::Silent) if left.is_zero() => return Event::ResolveFailed(sent.index),
            Err(AskError::Silent) => monoio::time::sleep(ASK_PAUSE).await,
        }
    }
}

enum AskError {
    /// Nobody listens there any more, so nobody remembers.
    Gone,
    /// No answer in time; a later question may have one.
    Silent,
}

async fn ask(cx: &CallCx, sent: &Sent, patience: Duration) -> Result<Told, AskError> {
    let question = ResolveRequest {
        attempt: sent.head.attempt.clone(),
        incarnation: sent.endpoint.incarnation,
        remaining: patience,
    };
    let opened = cx.core.pool.connect_new(sent.endpoint.address).await;
    let mut conn = opened.map_err(|e| match e {
        ConnectError::Io(_) => AskError::Gone,
        ConnectError::TimedOut => AskError::Silent,
    })?;
    let req = Request::post(paths::RESOLVE, codec::encode(&question));
    let answer = conn.call(req, patience + ASK_TIMEOUT).await;
    let res = answer.map_err(|_| AskError::Silent)?;
    wire::read_reply(res, &sent.head.attempt).map_err(|_| AskError::Silent)
}

/// Notes what a reply tells about the instance, and keeps the answer.
fn take_in(cx: &CallCx, sent: &Sent, told: Told) -> Reply {
    let load = told.load;
    note(cx, sent, |balancer, _| {
        balancer.record_load(&sent.endpoint, load, Instant::now());
    });
    match told.outcome {
        Outcome::Answered => {
            note_answer(cx, sent, told.res.status);
            sent.keep(told.res);
            Reply::Answered
        }
        Outcome::NotRun(not_run) => {
            note(cx, sent, |balancer, siblings| {
                balancer.record_refusal(&sent.endpoint, siblings, not_run.reason, Instant::now());
            });
            Reply::NotRun(not_run)
        }
        Outcome::Pending | Outcome::Unknown => Reply::Unknown,
    }
}

fn note_answer(cx: &CallCx, sent: &Sent, status: StatusCode) {
    if status.is_server_error() {
        return note_failure(cx, sent, Failure::Error);
    }
    note(cx, sent, |balancer, _| {
        balancer.record_success(&sent.endpoint);
    });
}

fn note_latency(cx: &CallCx, sent: &Sent, told: &Told, took: Duration) {
    if told.outcome == Outcome::Answered {
        let observe = |extras: &mut super::caller::Extras| extras.hedge.observe(took);
        cx.core.with_extras(&sent.head.service, observe);
    }
}

fn note_failure(cx: &CallCx, sent: &Sent, failure: Failure) {
    note(cx, sent, |balancer, siblings| {
        balancer.record_failure(&sent.endpoint, siblings, failure, Instant::now());
    });
}

/// Notes something about the attempt's instance, given the instances of the same version.
fn note(cx: &CallCx, sent: &Sent, f: impl FnOnce(&mut Balancer, &[Endpoint])) {
    let table = cx.core.shared.table.get();
    let siblings = table
        .service(&sent.head.service)
        .map_or(&[][..], |service| service.endpoints(&sent.head.version));
    f(&mut cx.core.balancer.borrow_mut(), siblings);
}
