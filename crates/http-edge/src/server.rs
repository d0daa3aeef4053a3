//! Server side: accepts connections and hands requests to a handler.

use std::cell::Cell;
use std::future::Future;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use http::HeaderValue;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use local_sync::mpsc::bounded;
use monoio::io::OwnedReadHalf;
use monoio::io::OwnedWriteHalf;
use monoio::io::Splitable;
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::net::ListenerOpts;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use monoio_http::common::error::HttpError;
use monoio_http::h1::codec::decoder::FillPayload;
use monoio_http::h1::codec::decoder::RequestDecoder;
use monoio_http::h1::codec::encoder::GenericEncoder;

use crate::client::collect;
use crate::client::payload;
use crate::error::RequestFault;
use crate::latch::Latch;
use crate::limited::Budget;
use crate::limited::Limited;
use crate::limited::Limits;
use crate::message::Request;
use crate::message::Response;

/// Pause after a failed accept, so that a lack of file descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How long a closing server waits for a request on an open connection: one that was sent before
/// its client could know of the close is on its way by then.
const LINGER: Duration = Duration::from_millis(250);

/// How long a closing server waits for the next connection that the system holds for it.
const BACKLOG_POLL: Duration = Duration::from_millis(1);

/// How long it takes such connections at most.
const BACKLOG_TIME: Duration = Duration::from_millis(50);

/// How often [`Server::close`] looks whether the last request has ended.
const CLOSE_POLL: Duration = Duration::from_millis(5);

/// Answers requests. The future is dropped when the client goes away before its answer.
pub trait Handler: 'static {
    /// Answers one request.
    fn handle(&self, req: Request) -> impl Future<Output = Response>;
}

/// Settings of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerCfg {
    /// Sizes of requests.
    pub limits: Limits,
    /// Connections without a request are closed after this time.
    pub idle: Duration,
    /// Connections at once; further ones are closed at once.
    pub connections: usize,
}

impl Default for ServerCfg {
    fn default() -> Self {
        Self {
            limits: Limits::default(),
            idle: Duration::from_mins(1),
            connections: 4096,
        }
    }
}

/// Opens a listening socket that no other process may share.
///
/// # Errors
/// When the address is taken or not ours.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let opts = ListenerOpts::new()
        .reuse_port(false)
        .reuse_addr(true)
        .backlog(1024);
    TcpListener::bind_with_config(address, &opts)
}

/// A running server.
pub struct Server {
    shared: Rc<Shared>,
}

#[derive(Default)]
struct Shared {
    /// Answers carry `connection: close` from now on.
    draining: Latch,
    /// No new connections, idle ones are closed.
    closing: Latch,
    /// The listening socket is gone.
    not_listening: Latch,
    connections: Cell<usize>,
    requests: Cell<usize>,
}

impl Server {
    /// Starts to accept connections.
    pub fn start<H: Handler>(listener: TcpListener, handler: Rc<H>, cfg: ServerCfg) -> Self {
        let shared = Rc::new(Shared::default());
        monoio::spawn(accept(listener, handler, cfg, Rc::clone(&shared)));
        Self { shared }
    }

    /// Asks clients to close their connections, one answer at a time. Requests are still taken.
    pub fn drain(&self) {
        self.shared.draining.set();
    }

    /// Number of requests under way.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.shared.requests.get()
    }

    /// Stops to listen, lets requests under way end within `patience`, and closes.
    ///
    /// Requests that are still on their way when this begins are answered too.
    pub async fn close(self, patience: Duration) {
        self.shared.draining.set();
        self.shared.closing.set();
        let all_ended = async {
            self.shared.not_listening.wait().await;
            while self.shared.requests.get() > 0 || self.shared.connections.get() > 0 {
                monoio::time::sleep(CLOSE_POLL).await;
            }
        };
        // What has not ended by then is cut with the process.
        let _ = monoio::time::timeout(patience, all_ended).await;
    }
}

async fn accept<H: Handler>(
    listener: TcpListener,
    handler: Rc<H>,
    cfg: ServerCfg,
    shared: Rc<Shared>,
) {
    loop {
        let accepted = monoio::select! {
            () = shared.closing.wait() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(stream, &handler, cfg, &shared),
            Err(e) => {
                log::warn!("http: accept failed: {e}");
                monoio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Connections that the system has taken for us would be reset with the listener.
    let end = Instant::now() + BACKLOG_TIME;
    while Instant::now() < end {
        match monoio::time::timeout(BACKLOG_POLL, listener.accept()).await {
            Ok(Ok((stream, _))) => spawn_connection(stream, &handler, cfg, &shared),
            _ => break,
        }
    }
    while let Some(stream) = accept_now(&listener).await {
        spawn_connection(stream, &handler, cfg, &shared);
    }
    drop(listener);
    shared.not_listening.set();
}

/// A connection that waits already; gives no other task a turn, so that the listener can go with
/// none left.
async fn accept_now(listener: &TcpListener) -> Option<TcpStream> {
    let mut accept = std::pin::pin!(listener.accept());
    match poll_fn(|cx| Poll::Ready(accept.as_mut().poll(cx))).await {
        Poll::Ready(Ok((stream, _))) => Some(stream),
        _ => None,
    }
}

fn spawn_connection<H: Handler>(
    stream: TcpStream,
    handler: &Rc<H>,
    cfg: ServerCfg,
    shared: &Rc<Shared>,
) {
    if shared.connections.get() >= cfg.connections {
        log::warn!("http: too many connections, closed one");
        return;
    }
    let guard = CountGuard::new(shared, |shared| &shared.connections);
    let handler = Rc::clone(handler);
    let shared = Rc::clone(shared);
    monoio::spawn(async move {
        serve_connection(stream, handler, cfg, shared).await;
        drop(guard);
    });
}

type Incoming = Result<Request, RequestFault>;

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Rc<H>,
    cfg: ServerCfg,
    shared: Rc<Shared>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (r, w) = stream.into_split();
    let (tx, rx) = bounded::channel(1);
    // Reading goes on while a request is handled, so that the end of the connection is noticed.
    let reader = async {
        read_requests(r, tx, cfg).await;
        std::future::pending::<()>().await;
    };
    let writer = answer_requests(GenericEncoder::new(w), rx, handler, shared);
    monoio::select! {
        () = writer => {}
        () = reader => {}
    }
}

async fn read_requests(r: OwnedReadHalf<TcpStream>, tx: bounded::Tx<Incoming>, cfg: ServerCfg) {
    let budget = Budget::new(cfg.limits.budget());
    let mut decoder = RequestDecoder::new_with_timeout(Limited::new(r, budget.clone()), cfg.idle);
    loop {
        budget.reset(cfg.limits.budget());
        let Some(incoming) = read_request(&mut decoder, &budget, cfg.limits).await else {
            return;
        };
        let is_last = incoming.is_err();
        if tx.send(incoming).await.is_err() || is_last {
            return;
        }
    }
}

async fn read_request(
    decoder: &mut RequestDecoder<Limited<OwnedReadHalf<TcpStream>>>,
    budget: &Budget,
    limits: Limits,
) -> Option<Incoming> {
    let head = match decoder.next().await? {
        Ok(head) => head,
        Err(e) => return Some(Err(fault(&e, budget))),
    };
    if declared_length(head.headers()) > limits.body {
        return Some(Err(RequestFault::TooLarge));
    }
    if let Err(e) = decoder.fill_payload().await {
        return Some(Err(fault(&e, budget)));
    }
    let (parts, payload) = head.into_parts();
    let body = match collect(payload).await {
        Ok(body) => body,
        Err(e) => return Some(Err(fault(&e, budget))),
    };
    if body.len() > limits.body {
        return Some(Err(RequestFault::TooLarge));
    }
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str())
        .to_owned();
    Some(Ok(Request {
        method: parts.method,
        target,
        headers: parts.headers,
        body,
    }))
}

fn declared_length(headers: &http::HeaderMap) -> usize {
    let value = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok());
    value.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn fault(e: &HttpError, budget: &Budget) -> RequestFault {
    use monoio_http::h1::codec::decoder::DecodeError;

    if budget.is_spent() {
        return RequestFault::TooLarge;
    }
    match e {
        HttpError::H1DecodeError(DecodeError::TimedOut) => RequestFault::Idle,
        HttpError::H1DecodeError(DecodeError::UnexpectedEof | DecodeError::Io(_))
        | HttpError::IOError(_) => RequestFault::Cut,
        _ => RequestFault::Malformed,
    }
}

async fn answer_requests<H: Handler>(
    mut encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
    mut rx: bounded::Rx<Incoming>,
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
            Ok(req) => answer(&mut encoder, &mut rx, &handler, &shared, req).await,
            Err(fault) => {
                refuse(&mut encoder, fault).await;
                Next::Close
            }
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
async fn next_request(rx: &mut bounded::Rx<Incoming>, shared: &Shared) -> Option<Incoming> {
    monoio::select! {
        incoming = rx.recv() => return incoming,
        () = shared.closing.wait() => {}
    }
    monoio::time::timeout(LINGER, rx.recv()).await.ok()?
}

enum Next {
    Close,
    Go,
    GoWith(Incoming),
}

async fn answer<H: Handler>(
    encoder: &mut GenericEncoder<OwnedWriteHalf<TcpStream>>,
    rx: &mut bounded::Rx<Incoming>,
    handler: &Rc<H>,
    shared: &Shared,
    req: Request,
) -> Next {
    let wants_close = req.header(CONNECTION.as_str()).is_some_and(is_close);
    let mut reply = std::pin::pin!(handler.handle(req));
    let mut after = Next::Go;
    let first = monoio::select! {
        res = &mut reply => Ok(res),
        incoming = rx.recv() => Err(incoming),
    };
    let mut res = match first {
        Ok(res) => res,
        // The client has gone; dropping the future tells the handler.
        Err(None) => return Next::Close,
        Err(Some(incoming)) => {
            after = Next::GoWith(incoming);
            reply.await
        }
    };
    let close = wants_close || shared.draining.is_set();
    if close {
        res.headers
            .insert(CONNECTION, HeaderValue::from_static("close"));
        after = Next::Close;
    }
    match write(encoder, res).await {
        Ok(()) => after,
        Err(_) => Next::Close,
    }
}

fn is_close(value: &str) -> bool {
    value.eq_ignore_ascii_case("close")
}

async fn refuse(encoder: &mut GenericEncoder<OwnedWriteHalf<TcpStream>>, fault: RequestFault) {
    let Some(status) = fault.status() else { return };
    log::info!("http: refused a request: {fault}");
    let res = Response::text(status, fault.to_string()).with_header("connection", "close");
    let _ = write(encoder, res).await;
}

async fn write(
    encoder: &mut GenericEncoder<OwnedWriteHalf<TcpStream>>,
    res: Response,
) -> Result<(), HttpError> {
    let mut out = http::Response::new(payload(res.body));
    *out.status_mut() = res.status;
    *out.headers_mut() = res.headers;
    out.headers_mut().remove(CONTENT_LENGTH);
    out.headers_mut().remove(TRANSFER_ENCODING);
    encoder.send_and_flush(out).await
}

/// Counts something for as long as it lives.
struct CountGuard {
    shared: Rc<Shared>,
    counter: fn(&Shared) -> &Cell<usize>,
}

impl CountGuard {
    fn new(shared: &Rc<Shared>, counter: fn(&Shared) -> &Cell<usize>) -> Self {
        let cell = counter(shared);
        cell.set(cell.get() + 1);
        Self {
            shared: Rc::clone(shared),
            counter,
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let cell = (self.counter)(&self.shared);
        cell.set(cell.get() - 1);
    }
}
