//! Server side: accepts connections and hands requests to a handler.

mod answering;
mod handover;
mod reading;

use std::cell::Cell;
use std::future::Future;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use monoio::io::Splitable;
use monoio::net::ListenerOpts;
use monoio::net::TcpListener;
use monoio::net::TcpStream;

use crate::latch::Latch;
use crate::limited::Limits;
use crate::message::Request;
use crate::message::Response;

/// Pause after a failed accept, so that a lack of file descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How long a closing server waits for the next connection that the system holds for it.
const BACKLOG_POLL: Duration = Duration::from_millis(1);

/// How long it takes such connections at most.
const BACKLOG_TIME: Duration = Duration::from_millis(50);

/// How often [`Server::close`] looks whether the last request has ended.
const CLOSE_POLL: Duration = Duration::from_millis(5);

/// Answers requests. The future is dropped when the client goes away before its answer; one that
/// only closes its sending side counts as gone.
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
    pub idle_timeout: Duration,
    /// Connections at once; further ones are closed at once.
    pub max_connections: usize,
}

impl Default for ServerCfg {
    fn default() -> Self {
        Self {
            limits: Limits::default(),
            idle_timeout: Duration::from_mins(1),
            max_connections: 4096,
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
    pub fn active_requests(&self) -> usize {
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
    if shared.connections.get() >= cfg.max_connections {
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
    let (tx, rx) = handover::handover();
    // Reading goes on while a request is handled, so that the end of the connection is noticed.
    let reader = async {
        reading::read_requests(r, tx, cfg).await;
        std::future::pending::<()>().await;
    };
    let writer = answering::answer_requests(w, rx, handler, shared);
    monoio::select! {
        () = writer => {}
        () = reader => {}
    }
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
