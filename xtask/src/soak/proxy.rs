//! A loopback proxy that delays, swallows and breaks.

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

use crate::soak::plan::Manner;

/// Bytes that are read at once.
const CHUNK: usize = 16 * 1024;

/// A proxy before one address.
#[derive(Clone)]
pub struct Proxy {
    state: Rc<State>,
}

struct State {
    manner: Cell<Manner>,
    /// Set to break the connections that are open.
    broken: RefCell<Latch>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    There,
    Back,
}

impl Proxy {
    /// Starts a proxy.
    pub fn start(from: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = http_edge::listen(from)?;
        let state = Rc::new(State {
            manner: Cell::new(Manner::Pass),
            broken: RefCell::default(),
        });
        monoio::spawn(accept(listener, to, Rc::clone(&state)));
        Ok(Self { state })
    }

    /// Changes what it does with bytes. A connection that swallowed bytes stays silent for good.
    pub fn bend(&self, manner: Manner) {
        self.state.manner.set(manner);
    }

    /// Breaks all open connections.
    pub fn cut(&self) {
        self.state.broken.take().set();
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
    // Small messages must not wait for each other; without it the proxy is slower, nothing else.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let broken = state.broken.borrow().clone();
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    monoio::select! {
        () = pump(client_in, server_out, &state, Direction::There) => {}
        () = pump(server_in, client_out, &state, Direction::Back) => {}
        () = broken.wait() => {}
    }
}

/// Passes bytes on until one end closes.
async fn pump(
    mut from: OwnedReadHalf<TcpStream>,
    mut to: OwnedWriteHalf<TcpStream>,
    state: &State,
    direction: Direction,
) {
    let mut is_silent = false;
    let mut buf = vec![0; CHUNK];
    loop {
        let (read, returned) = from.read(buf).await;
        let len = match read {
            Ok(len) if len > 0 => len,
            // A silent way tells nothing of its end either.
            _ if is_silent => return std::future::pending().await,
            _ => return,
        };
        buf = returned;
        match state.manner.get() {
            Manner::Silent => is_silent = true,
            Manner::OneWay if direction == Direction::Back => is_silent = true,
            Manner::Delay(ms) => monoio::time::sleep(Duration::from_millis(ms)).await,
            Manner::Pass | Manner::OneWay => {}
        }
        if is_silent {
            continue;
        }
        let chunk = buf[..len].to_vec();
        if to.write_all(chunk).await.0.is_err() {
            return;
        }
    }
}
