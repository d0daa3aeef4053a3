//! Answers on one connection.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::header::CONNECTION;
use monoio::io::AsyncWriteRentExt;
use monoio::io::OwnedWriteHalf;
use monoio::net::TcpStream;

use crate::encode;
use crate::encode::BodyUse;
use crate::error::RequestError;
use crate::message::Request;
use crate::message::Response;
use crate::server::CountGuard;
use crate::server::Handler;
use crate::server::Shared;
use crate::server::handover::Taker;
use crate::server::reading::After;
use crate::server::reading::Incoming;

/// How long a closing server waits for a request on an open connection: one that was sent before
/// its client could know of the close is on its way by then.
const LINGER: Duration = Duration::from_millis(250);

type Writer = OwnedWriteHalf<TcpStream>;

/// Answers requests in their order, one at a time.
pub(super) async fn answer_requests<H: Handler>(
    mut w: Writer,
    mut rx: Taker<Incoming>,
    handler: Rc<H>,
    shared: Rc<Shared>,
) {
    let mut pipelined = None;
    loop {
        let incoming = if pipelined.is_some() {
            pipelined.take()
        } else {
            next_request(&mut rx, &shared).await
        };
        let Some(incoming) = incoming else { return };
        let guard = CountGuard::new(&shared, |shared| &shared.requests);
        let next = match incoming {
            Incoming::Request(req, after) => {
                answer(&mut w, &mut rx, &handler, &shared, (req, after)).await
            }
            Incoming::Continue => go_on(&mut w).await,
            Incoming::Fault(fault) => refuse(&mut w, fault).await,
        };
        drop(guard);
        match next {
            Next::Close => return,
            Next::Go => {}
            Next::GoWith(incoming) => pipelined = Some(incoming),
        }
    }
}

/// The next request; `None` when the client has gone, or none came by the end of a close.
async fn next_request(rx: &mut Taker<Incoming>, shared: &Shared) -> Option<Incoming> {
    monoio::select! {
        incoming = rx.take() => return incoming,
        () = shared.closing.wait() => {}
    }
    monoio::time::timeout(LINGER, rx.take()).await.ok()?
}

enum Next {
    Close,
    Go,
    GoWith(Incoming),
}

async fn answer<H: Handler>(
    w: &mut Writer,
    rx: &mut Taker<Incoming>,
    handler: &Rc<H>,
    shared: &Shared,
    (req, after): (Request, After),
) -> Next {
    let body_use = body_use(&req);
    let mut reply = std::pin::pin!(handler.handle(req));
    let mut next = Next::Go;
    let first = monoio::select! {
        res = &mut reply => Ok(res),
        incoming = rx.take() => Err(incoming),
    };
    let mut res = match first {
        Ok(res) => res,
        // The client has gone; dropping the future tells the handler.
        Err(None) => return Next::Close,
        Err(Some(incoming)) => {
            next = Next::GoWith(incoming);
            reply.await
        }
    };
    if after == After::Close || shared.draining.is_set() {
        let close = HeaderValue::from_static("close");
        res.headers.insert(CONNECTION, close);
        next = Next::Close;
    }
    match write(w, res, body_use).await {
        Ok(()) => next,
        Err(_) => Next::Close,
    }
}

fn body_use(req: &Request) -> BodyUse {
    if req.method == Method::HEAD {
        BodyUse::Measured
    } else {
        BodyUse::Sent
    }
}

async fn go_on(w: &mut Writer) -> Next {
    let (written, _) = w.write_all(encode::CONTINUE).await;
    written.map_or(Next::Close, |_| Next::Go)
}

async fn refuse(w: &mut Writer, fault: RequestError) -> Next {
    if let Some(status) = fault.status() {
        log::info!("http: refused a request: {fault}");
        let res = Response::text(status, fault.to_string()).with_header("connection", "close");
        let _ = write(w, res, BodyUse::Sent).await;
    }
    Next::Close
}

async fn write(w: &mut Writer, res: Response, body_use: BodyUse) -> io::Result<()> {
    let (head, body): (_, Bytes) = encode::response(res, body_use);
    w.write_all(head).await.0?;
    if !body.is_empty() {
        w.write_all(body).await.0?;
    }
    Ok(())
}
