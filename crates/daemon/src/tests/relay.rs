//! A TCP relay that cuts, silences and delays connections.

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

/// What happens to one connection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Fault {
    /// Nothing.
    Whole,
    /// It is cut after so many bytes of the request.
    CutRequest(usize),
    /// It is cut after so many bytes of the reply.
    CutReply(usize),
    /// It goes silent before the request gets through.
    SilentRequest,
    /// It goes silent before the reply gets through.
    SilentReply,
    /// The reply is late.
    LateReply(Duration),
}

/// Relays to one address. Connections meet the planned faults in the order of their opening.
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
            let fault = self.plan.borrow_mut().pop_front().unwrap_or(Fault::Whole);
            let cut = self.cut.borrow().clone();
            let target = self.target.get();
            self.opened.set(self.opened.get() + 1);
            monoio::spawn(async move {
                monoio::select! {
                    () = cut.wait() => {}
                    () = carry(stream, target, fault) => {}
                }
            });
        }
    }
}

async fn carry(client: TcpStream, target: SocketAddr, fault: Fault) {
    let Ok(server) = TcpStream::connect_addr(target).await else {
        return;
    };
    let (client_r, client_w) = client.into_split();
    let (server_r, server_w) = server.into_split();
    let (request, reply, delay) = match fault {
        Fault::Whole => (End::Never, End::Never, Duration::ZERO),
        Fault::CutRequest(at) => (End::Cut(at), End::Never, Duration::ZERO),
        Fault::CutReply(at) => (End::Never, End::Cut(at), Duration::ZERO),
        Fault::SilentRequest => (End::Silent, End::Never, Duration::ZERO),
        Fault::SilentReply => (End::Never, End::Silent, Duration::ZERO),
        Fault::LateReply(delay) => (End::Never, End::Never, delay),
    };
    monoio::select! {
        () = pump(client_r, server_w, request, Duration::ZERO) => {}
        () = pump(server_r, client_w, reply, delay) => {}
    }
}

#[derive(Clone, Copy)]
enum End {
    Never,
    Cut(usize),
    Silent,
}

async fn pump(
    mut r: impl AsyncReadRent,
    mut w: impl AsyncWriteRentExt,
    end: End,
    mut delay: Duration,
) {
    let mut carried = 0;
    loop {
        let (res, mut buf) = r.read(vec![0; 16 * 1024]).await;
        let Ok(n @ 1..) = res else { return };
        buf.truncate(n);
        monoio::time::sleep(std::mem::take(&mut delay)).await;
        match end {
            End::Silent => continue,
            End::Cut(at) => buf.truncate(at.saturating_sub(carried)),
            End::Never => {}
        }
        carried += n;
        let (res, _) = w.write_all(buf).await;
        let is_cut = matches!(end, End::Cut(at) if carried >= at);
        if res.is_err() || is_cut {
            return;
        }
    }
}
