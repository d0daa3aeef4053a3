//! A TCP relay that cuts, stalls and delays connections.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_edge::Latch;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::io::Splitable;
use monoio::net::TcpListener;
use monoio::net::TcpStream;

/// Fault of one connection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Fault {
    /// The connection works.
    Healthy,
    /// The connection is cut after this many bytes of the request.
    CutRequest(usize),
    /// The connection is cut after this many bytes of the reply.
    CutReply(usize),
    /// The connection stays open but drops the request.
    SilentRequest,
    /// The connection stays open but drops the reply.
    SilentReply,
    /// The reply is delayed by this time.
    LateReply(Duration),
}

/// Relays to one address. Connections get the planned faults in the order in which they are opened.
#[derive(Clone)]
pub(super) struct Relay {
    pub(super) address: SocketAddr,
    target: Rc<Cell<SocketAddr>>,
    plan: Rc<RefCell<VecDeque<Fault>>>,
    cut: Rc<RefCell<Latch>>,
    opened: Rc<Cell<u32>>,
}

impl Relay {
    pub(super) fn start(target: SocketAddr) -> Self {
        let listener = http_edge::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let relay = Self {
            address: listener.local_addr().unwrap(),
            target: Rc::new(Cell::new(target)),
            plan: Rc::default(),
            cut: Rc::default(),
            opened: Rc::default(),
        };
        monoio::spawn(relay.clone().accept(listener));
        relay
    }

    pub(super) fn plan(&self, faults: &[Fault]) {
        self.plan.replace(faults.iter().copied().collect());
    }

    pub(super) fn set_target(&self, target: SocketAddr) {
        self.target.set(target);
    }

    /// Connections opened so far.
    pub(super) fn opened(&self) -> u32 {
        self.opened.get()
    }

    /// Cuts all open connections.
    pub(super) fn cut_all(&self) {
        self.cut.take().set();
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let fault = self.plan.borrow_mut().pop_front().unwrap_or(Fault::Healthy);
            let cut = self.cut.borrow().clone();
            let target = self.target.get();
            self.opened.set(self.opened.get() + 1);
            monoio::spawn(async move {
                monoio::select! {
                    () = cut.wait() => {}
                    () = relay_connection(stream, target, fault) => {}
                }
            });
        }
    }
}

async fn relay_connection(client: TcpStream, target: SocketAddr, fault: Fault) {
    let Ok(server) = TcpStream::connect_addr(target).await else {
        return;
    };
    let (client_r, client_w) = client.into_split();
    let (server_r, server_w) = server.into_split();
    let (request, reply, delay) = match fault {
        Fault::Healthy => (PumpFault::Forward, PumpFault::Forward, Duration::ZERO),
        Fault::CutRequest(at) => (PumpFault::Cut(at), PumpFault::Forward, Duration::ZERO),
        Fault::CutReply(at) => (PumpFault::Forward, PumpFault::Cut(at), Duration::ZERO),
        Fault::SilentRequest => (PumpFault::Drop, PumpFault::Forward, Duration::ZERO),
        Fault::SilentReply => (PumpFault::Forward, PumpFault::Drop, Duration::ZERO),
        Fault::LateReply(delay) => (PumpFault::Forward, PumpFault::Forward, delay),
    };
    monoio::select! {
        () = pump(client_r, server_w, request, Duration::ZERO) => {}
        () = pump(server_r, client_w, reply, delay) => {}
    }
}

/// Fault of one direction of a connection.
#[derive(Clone, Copy)]
enum PumpFault {
    Forward,
    Cut(usize),
    Drop,
}

async fn pump(
    mut r: impl AsyncReadRent,
    mut w: impl AsyncWriteRentExt,
    pump_fault: PumpFault,
    mut delay: Duration,
) {
    let mut forwarded = 0;
    loop {
        let (res, mut buf) = r.read(vec![0; 16 * 1024]).await;
        let Ok(n @ 1..) = res else { return };
        buf.truncate(n);
        monoio::time::sleep(std::mem::take(&mut delay)).await;
        match pump_fault {
            PumpFault::Drop => continue,
            PumpFault::Cut(at) => buf.truncate(at.saturating_sub(forwarded)),
            PumpFault::Forward => {}
        }
        forwarded += n;
        let (res, _) = w.write_all(buf).await;
        let is_cut = matches!(pump_fault, PumpFault::Cut(at) if forwarded >= at);
        if res.is_err() || is_cut {
            return;
        }
    }
}
