//! HTTP/1.1 server: accepts connections and passes requests to a handler.

mod channel;
mod reader;
mod writer;

use std::cell::Cell;
use std::future::Future;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use monoio::io::Splitable;
use monoio::net::ListenerOpts;
use monoio::net::TcpListener;
use monoio::net::TcpStream;

use crate::budget::MemoryBudget;
use crate::head::RawHead;
use crate::latch::Latch;
use crate::limits::Limits;
use crate::message::Request;
use crate::message::Response;
use crate::server::reader::ConnState;

/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How long a closing server waits for each further connection from the kernel's accept queue.
const BACKLOG_POLL_TIMEOUT: Duration = Duration::from_millis(1);

/// Longest time in which a closing server accepts connections from that queue.
const BACKLOG_DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// How often [`Server::close`] checks whether all requests and connections have ended.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Handles requests. The future is dropped if the client disconnects before the response, whatever it has
/// sent after the request; a client that only closes its sending side counts as disconnected, since its end
/// looks the same as that of one that has closed its connection. Pipelined requests of a client that has
/// disconnected are not handled.
pub trait Handler: 'static {
    /// Returns the response to one request.
    fn handle(&self, req: Request) -> impl Future<Output = Response>;

    /// Returns the response to a request for which there is no memory; its head is given if it is
    /// whole. The request is not handled.
    fn refuse(&self, head: Option<&RawHead>) -> Response {
        let _ = head;
        Response::text(StatusCode::SERVICE_UNAVAILABLE, "no memory")
    }
}

/// Settings of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerCfg {
    /// Size limits of requests.
    pub limits: Limits,
    /// Connections on which nothing arrives, or nothing can be written, for this time are closed.
    pub idle_timeout: Duration,
    /// Longest time from the first byte of a request's head to its last.
    pub head_timeout: Duration,
    /// Most open connections of this server; further ones are closed immediately.
    pub max_connections: usize,
    /// Whether connections are closed for others only after those of servers without this.
    pub keeps_connections: bool,
    /// How long the input of a refused request is dropped, so that its client can read the refusal.
    pub linger_timeout: Duration,
    /// Most bytes of it that are dropped.
    pub linger_bytes: usize,
}

impl Default for ServerCfg {
    fn default() -> Self {
        Self {
            limits: Limits::default(),
            idle_timeout: Duration::from_mins(1),
            head_timeout: Duration::from_mins(1),
            max_connections: 4096,
            keeps_connections: false,
            linger_timeout: Duration::from_millis(250),
            linger_bytes: 256 * 1024,
        }
    }
}

/// Opens a listening socket that is not shared with other processes.
///
/// # Errors
/// When the address is in use or not local.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let opts = ListenerOpts::new()
        .reuse_port(false)
        .reuse_addr(true)
        .backlog(1024);
    TcpListener::bind_with_config(address, &opts)
}

/// A running server; it goes on when this handle is dropped.
pub struct Server {
    shared: Rc<Shared>,
}

struct Shared {
    cfg: Rc<Cell<ServerCfg>>,
    budget: MemoryBudget,
    /// Set once responses carry `Connection: close`.
    draining: Latch,
    /// Set once the server stops accepting connections and closes idle ones.
    closing: Latch,
    /// Set once the listening socket is closed.
    listener_closed: Latch,
    open_connections: Cell<usize>,
    active_requests: Cell<usize>,
}

impl Server {
    /// Starts accepting connections on the current runtime, with a budget of its own.
    pub fn start<H: Handler>(listener: TcpListener, handler: Rc<H>, cfg: ServerCfg) -> Self {
        let cfg = Rc::new(Cell::new(cfg));
        Self::start_within(MemoryBudget::default(), listener, handler, cfg)
    }

    /// Starts accepting connections within a budget that other servers may share. Changes of the
    /// settings hold from the next request of each connection on.
    pub fn start_within<H: Handler>(
        budget: MemoryBudget,
        listener: TcpListener,
        handler: Rc<H>,
        cfg: Rc<Cell<ServerCfg>>,
    ) -> Self {
        let shared = Rc::new(Shared {
            cfg,
            budget,
            draining: Latch::default(),
            closing: Latch::default(),
            listener_closed: Latch::default(),
            open_connections: Cell::new(0),
            active_requests: Cell::new(0),
        });
        monoio::spawn(accept_connections(listener, handler, Rc::clone(&shared)));
        Self { shared }
    }

    /// Adds `Connection: close` to each response from now on; further requests are still accepted.
    pub fn drain(&self) {
        self.shared.draining.set();
    }

    /// Number of requests that are being handled, until their response is written.
    #[must_use]
    pub fn active_requests(&self) -> usize {
        self.shared.active_requests.get()
    }

    /// Closes the listener and idle connections, and waits up to `drain_timeout` until all requests
    /// and connections have ended.
    ///
    /// Requests that are in transit when this is called are answered too, also if their head or body is
    /// still on its way.
    pub async fn close(self, drain_timeout: Duration) {
        self.shared.draining.set();
        self.shared.closing.set();
        let all_ended = async {
            self.shared.listener_closed.wait().await;
            while self.shared.active_requests.get() > 0 || self.shared.open_connections.get() > 0 {
                monoio::time::sleep(CLOSE_POLL_INTERVAL).await;
            }
        };
        // Requests that outlast the timeout are cut off when the process ends.
        let _ = monoio::time::timeout(drain_timeout, all_ended).await;
    }
}

async fn accept_connections<H: Handler>(listener: TcpListener, handler: Rc<H>, shared: Rc<Shared>) {
    loop {
        let accepted = monoio::select! {
            () = shared.closing.wait() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(stream, &handler, &shared),
            Err(e) => {
                log::warn!("http: accept failed: {e}");
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Closing the listener would reset the connections that wait in the kernel's accept queue.
    let end = Instant::now() + BACKLOG_DRAIN_TIMEOUT;
    while Instant::now() < end {
        match monoio::time::timeout(BACKLOG_POLL_TIMEOUT, listener.accept()).await {
            Ok(Ok((stream, _))) => spawn_connection(stream, &handler, &shared),
            _ => break,
        }
    }
    while let Some(stream) = try_accept(&listener).await {
        spawn_connection(stream, &handler, &shared);
    }
    drop(listener);
    shared.listener_closed.set();
}

/// Accepts a connection that already waits. Polls once and never yields, so that the listener can
/// be dropped with an empty accept queue.
async fn try_accept(listener: &TcpListener) -> Option<TcpStream> {
    let mut accept = std::pin::pin!(listener.accept());
    match poll_fn(|cx| Poll::Ready(accept.as_mut().poll(cx))).await {
        Poll::Ready(Ok((stream, _))) => Some(stream),
        _ => None,
    }
}

fn spawn_connection<H: Handler>(stream: TcpStream, handler: &Rc<H>, shared: &Rc<Shared>) {
    let cfg = shared.cfg.get();
    if shared.open_connections.get() >= cfg.max_connections {
        log::warn!("http: connection limit reached, closed a new connection");
        return;
    }
    let Some(account) = shared.budget.open(cfg.keeps_connections) else {
        log::warn!("http: requests run on all connections, closed a new one");
        return;
    };
    let guard = CountGuard::new(shared, |shared| &shared.open_connections);
    let handler = Rc::clone(handler);
    let shared = Rc::clone(shared);
    let conn = ConnState {
        account,
        has_begun: Cell::new(false),
        gone: Latch::default(),
    };
    monoio::spawn(async move {
        serve_connection(stream, &handler, &conn, &shared).await;
        drop(guard);
    });
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: &Rc<H>,
    conn: &ConnState,
    shared: &Rc<Shared>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (r, w) = stream.into_split();
    let (tx, rx) = channel::channel();
    // Reads while a request is handled, so that a disconnect is detected.
    let read_loop = async {
        reader::read_requests(r, tx, conn, shared).await;
        // The write loop may still have a response to write, and ends the connection after it.
        std::future::pending::<()>().await;
    };
    let write_loop = writer::serve_requests(w, rx, conn, (handler, shared));
    monoio::select! {
        () = write_loop => {}
        () = read_loop => {}
        () = conn.account.closing() => {}
    }
}

/// Increments a counter, and decrements it when dropped.
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
