//! Answers feed requests of children.

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

use super::state::FeedState;
use super::state::TRANSFER_TIME;

/// Answers at once if the child lacks something; otherwise holds the request until there is
/// something new or the hold time is over.
pub(super) async fn handle_request(feed: &Rc<FeedState>, req: &Request) -> Response {
    let req: FeedRequest = match codec::decode(&req.body.to_bytes()) {
        Ok(req) => req,
        Err(e) => return Response::text(StatusCode::BAD_REQUEST, e.to_string()),
    };
    let arrived = Instant::now();
    loop {
        match feed.answer(&req, arrived) {
            Answer::Reply(reply) => return encode_reply(&reply),
            Answer::NeedsState => return complete_state(feed, &req),
            Answer::Refuse => return Response::text(StatusCode::BAD_REQUEST, "other wire"),
            Answer::Hold { until } => wait_for_change(feed, until).await,
        }
    }
}

/// Response with the complete state, for operators and tools.
pub(super) fn state_response(feed: &FeedState) -> Response {
    Response::new(StatusCode::OK, codec::encode(&*feed.shared.state.get()))
}

fn complete_state(feed: &Rc<FeedState>, req: &FeedRequest) -> Response {
    let (reply, acquired) = feed.state_reply(req);
    if let Some(AcquireResult::Granted(permit)) = acquired {
        let feed = Rc::clone(feed);
        monoio::spawn(async move {
            monoio::time::sleep(TRANSFER_TIME).await;
            feed.limiter.borrow_mut().release(permit);
        });
    }
    encode_reply(&reply)
}

fn encode_reply(reply: &FeedReply) -> Response {
    Response::new(StatusCode::OK, codec::encode(reply))
}

/// Waits until state, lease or rollbacks change, at the latest until `until`.
async fn wait_for_change(feed: &FeedState, until: Instant) {
    let shared = &feed.shared;
    let left = until.saturating_duration_since(Instant::now());
    monoio::select! {
        _ = shared.state.changed_since(shared.state.revision()) => {}
        _ = shared.lease.changed_since(shared.lease.revision()) => {}
        _ = shared.rollbacks.changed_since(shared.rollbacks.revision()) => {}
        () = monoio::time::sleep(left) => {}
    }
}
