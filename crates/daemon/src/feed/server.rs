//! Answers to children.

use std::rc::Rc;
use std::time::Instant;

use http::StatusCode;
use http_edge::Request;
use http_edge::Response;
use membership::feed::AcquireResult;
use membership::feed::Answer;
use protocol::codec;
use protocol::feed::FeedReply;
use protocol::feed::FeedRequest;

use super::hub::Hub;
use super::hub::TRANSFER_TIME;

/// Answers a child at once when it lacks something, otherwise holds its request for a while.
pub(super) async fn feed(hub: &Rc<Hub>, req: &Request) -> Response {
    let req: FeedRequest = match codec::decode(&req.body) {
        Ok(req) => req,
        Err(e) => return Response::text(StatusCode::BAD_REQUEST, e.to_string()),
    };
    let arrived = Instant::now();
    loop {
        match hub.answer(&req, arrived) {
            Answer::Reply(reply) => return encoded(&reply),
            Answer::NeedsState => return whole_state(hub, &req),
            Answer::Refuse => return Response::text(StatusCode::BAD_REQUEST, "other wire"),
            Answer::Hold { until } => news(hub, until).await,
        }
    }
}

/// Whole state, for people and tools.
pub(super) fn snapshot(hub: &Hub) -> Response {
    Response::new(StatusCode::OK, codec::encode(&*hub.shared.state.get()))
}

fn whole_state(hub: &Rc<Hub>, req: &FeedRequest) -> Response {
    let (reply, admit) = hub.state_reply(req);
    if let Some(AcquireResult::Granted(permit)) = admit {
        let hub = Rc::clone(hub);
        monoio::spawn(async move {
            monoio::time::sleep(TRANSFER_TIME).await;
            hub.limiter.borrow_mut().release(permit);
        });
    }
    encoded(&reply)
}

fn encoded(reply: &FeedReply) -> Response {
    Response::new(StatusCode::OK, codec::encode(reply))
}

/// Returns when something on the shared changed, at the latest at `until`.
async fn news(hub: &Hub, until: Instant) {
    let shared = &hub.shared;
    let pause = until.saturating_duration_since(Instant::now());
    monoio::select! {
        _ = shared.state.changed_since(shared.state.revision()) => {}
        _ = shared.lease.changed_since(shared.lease.revision()) => {}
        _ = shared.rollbacks.changed_since(shared.rollbacks.revision()) => {}
        () = monoio::time::sleep(pause) => {}
    }
}
