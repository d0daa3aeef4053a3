//! Handles the requests of one connection and writes the responses.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::header::CONNECTION;
use monoio::io::AsyncWriteRent;
use monoio::io::OwnedWriteHalf;
use monoio::net::TcpStream;

use crate::budget::Account;
use crate::encode;
use crate::encode::BodyMode;
use crate::error::RequestError;
use crate::latch::Latch;
use crate::message::Request;
use crate::message::Response;
use crate::server::CountGuard;
use crate::server::Handler;
use crate::server::Shared;
use crate::server::channel::Receiver;
use crate::server::reader::ConnState;
use crate::server::reader::Incoming;
use crate::server::reader::Persistence;

/// How long a closing server waits for a request on an idle connection: the client may have sent
/// one before it learned of the close.
const CLOSE_LINGER: Duration = Duration::from_millis(250);

struct Writer<'a> {
    io: OwnedWriteHalf<TcpStream>,
    account: &'a Account,
    /// Longest time without any byte written.
    idle_timeout: Duration,
}

/// Handles requests in order, one at a time.
pub(super) async fn serve_requests<H: Handler>(
    io: OwnedWriteHalf<TcpStream>,
    mut rx: Receiver<Incoming>,
    conn: &ConnState,
    (handler, shared): (&Rc<H>, &Rc<Shared>),
) {
    let idle_timeout = shared.cfg.get().idle_timeout;
    let mut w = Writer {
        io,
        account: &conn.account,
        idle_timeout,
    };
    while let Some(incoming) = next_request(&mut rx, conn, shared).await {
        let guard = CountGuard::new(shared, |shared| &shared.active_requests);
        let next = match incoming {
            Incoming::Request(..) if conn.gone.is_set() => NextStep::Close,
            Incoming::Request(req, persistence) => {
                handle_request(&mut w, &conn.gone, handler, shared, (req, persistence)).await
            }
            Incoming::ExpectContinue => send_continue(&mut w).await,
            Incoming::Error(error) => send_error(&mut w, error).await,
            Incoming::Refused(head) => {
                send_refusal(&mut w, handler.refuse(head.as_ref())).await;
                let linger = shared.cfg.get().linger_timeout;
                let _ = monoio::time::timeout(linger, rx.recv()).await;
                NextStep::Close
            }
            Incoming::Close => NextStep::Close,
        };
        drop(guard);
        match next {
            NextStep::Close => return,
            NextStep::ReadNext => {}
        }
    }
}

/// Receives the next request; `None` if the client has disconnected, or if none arrives within
/// [`CLOSE_LINGER`] of the start of a close. One that has begun to arrive is awaited.
async fn next_request(
    rx: &mut Receiver<Incoming>,
    conn: &ConnState,
    shared: &Shared,
) -> Option<Incoming> {
    monoio::select! {
        incoming = rx.recv() => return incoming,
        () = shared.closing.wait() => {}
    }
    loop {
        if let Ok(incoming) = monoio::time::timeout(CLOSE_LINGER, rx.recv()).await {
            return incoming;
        }
        if !conn.has_begun.get() {
            return None;
        }
    }
}

/// What the writer does after a response.
enum NextStep {
    Close,
    ReadNext,
}

async fn handle_request<H: Handler>(
    w: &mut Writer<'_>,
    gone: &Latch,
    handler: &Rc<H>,
    shared: &Shared,
    (req, persistence): (Request, Persistence),
) -> NextStep {
    let body_mode = body_mode(&req);
    w.account.set_running(true);
    let mut next = NextStep::ReadNext;
    let mut res = monoio::select! {
        res = handler.handle(req) => res,
        // Dropping the handler's future cancels it.
        () = gone.wait() => return NextStep::Close,
    };
    w.account.set_running(false);
    if persistence == Persistence::Close || shared.draining.is_set() {
        let close = HeaderValue::from_static("close");
        res.headers.insert(CONNECTION, close);
        next = NextStep::Close;
    }
    match write_response(w, res, body_mode).await {
        Ok(()) => next,
        Err(_) => NextStep::Close,
    }
}

fn body_mode(req: &Request) -> BodyMode {
    if req.method == Method::HEAD {
        BodyMode::LengthOnly
    } else {
        BodyMode::Full
    }
}

async fn send_continue(w: &mut Writer<'_>) -> NextStep {
    let written = w
        .write_all(Bytes::from_static(encode::CONTINUE_RESPONSE))
        .await;
    written.map_or(NextStep::Close, |()| NextStep::ReadNext)
}

async fn send_error(w: &mut Writer<'_>, error: RequestError) -> NextStep {
    if let Some(status) = error.status() {
        log::info!("http: rejected a request: {error}");
        let res = Response::text(status, error.to_string()).with_header("connection", "close");
        let _ = write_response(w, res, BodyMode::Full).await;
    }
    NextStep::Close
}

/// Refuses a request for which there is no memory. The client may still be sending.
async fn send_refusal(w: &mut Writer<'_>, res: Response) {
    let res = res.with_header("connection", "close");
    let _ = write_response(w, res, BodyMode::Full).await;
}

async fn write_response(
    w: &mut Writer<'_>,
    mut res: Response,
    body_mode: BodyMode,
) -> io::Result<()> {
    // From here on the connection is charged.
    drop(res.charge.take());
    let (head, body): (_, Bytes) = encode::encode_response(res, body_mode);
    let hold = (!body.is_empty()).then(|| w.account.hold_answer(body.len()));
    w.write_all(head).await?;
    let written = w.write_all(body).await;
    drop(hold);
    written
}

impl Writer<'_> {
    /// Writes all bytes; fails if none can be written for too long.
    async fn write_all(&mut self, mut bytes: Bytes) -> io::Result<()> {
        while !bytes.is_empty() {
            let written = monoio::time::timeout(self.idle_timeout, self.io.write(bytes.clone()));
            let written = written.await.map_err(|_| io::ErrorKind::TimedOut)?;
            match written.0? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                n => {
                    bytes.advance(n);
                    self.account.record_progress();
                }
            }
        }
        Ok(())
    }
}
