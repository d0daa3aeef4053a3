//! A TCP proxy on the loopback interface that delays data, discards data and closes connections.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_edge::Latch;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::io::OwnedReadHalf;
use monoio::io::OwnedWriteHalf;
use monoio::io::Splitable;
use monoio::net::TcpListener;
use monoio::net::TcpStream;

use crate::soak::plan::LinkMode;

/// Size of the read buffer.
const CHUNK_BYTES: usize = 16 * 1024;

/// A proxy for one address.
#[derive(Clone)]
pub struct Proxy {
    state: Rc<State>,
}

struct State {
    mode: Cell<LinkMode>,
    /// Set to close all open connections; replaced for later ones.
    disconnect: RefCell<Latch>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Reply,
}

impl Proxy {
    /// Starts a proxy that listens at `from` and connects to `to`.
    pub fn start(from: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = http_edge::listen(from)?;
        let state = Rc::new(State {
            mode: Cell::new(LinkMode::Pass),
            disconnect: RefCell::default(),
        });
        monoio::spawn(accept(listener, to, Rc::clone(&state)));
        Ok(Self { state })
    }

    /// Sets the mode. A connection that has discarded data in one direction discards all later data
    /// in that direction.
    pub fn set_mode(&self, mode: LinkMode) {
        self.state.mode.set(mode);
    }

    /// Closes all open connections.
    pub fn disconnect_all(&self) {
        self.state.disconnect.take().set();
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, state: Rc<State>) {
    while let Ok((client, _)) = listener.accept().await {
        monoio::spawn(connect(client, to, Rc::clone(&state)));
    }
}

async fn connect(client: TcpStream, to: SocketAddr, state: Rc<State>) {
    let Ok(server) = TcpStream::connect_addr(to).await else {
        return;
    };
    // Without TCP_NODELAY small messages are delayed; a failure to set it is harmless otherwise.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let disconnect = state.disconnect.borrow().clone();
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    monoio::select! {
        () = pump(client_in, server_out, &state, Direction::Forward) => {}
        () = pump(server_in, client_out, &state, Direction::Reply) => {}
        () = disconnect.wait() => {}
    }
}

/// Forwards data until one end closes.
async fn pump(
    mut from: OwnedReadHalf<TcpStream>,
    mut to: OwnedWriteHalf<TcpStream>,
    state: &State,
    direction: Direction,
) {
    let mut is_discarding = false;
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let (read, returned) = from.read(buf).await;
        let len = match read {
            Ok(len) if len > 0 => len,
            // A direction that discards data does not forward the end of the stream either.
            _ if is_discarding => return std::future::pending().await,
            _ => return,
        };
        buf = returned;
        match state.mode.get() {
            LinkMode::Blackhole => is_discarding = true,
            LinkMode::BlackholeReplies if direction == Direction::Reply => is_discarding = true,
            LinkMode::Delay(ms) => monoio::time::sleep(Duration::from_millis(ms)).await,
            LinkMode::Pass | LinkMode::BlackholeReplies => {}
        }
        if is_discarding {
            continue;
        }
        let chunk = buf[..len].to_vec();
        if to.write_all(chunk).await.0.is_err() {
            return;
        }
    }
}
