//! Connections that stay open but stop passing data for good, while new ones work. A client that
//! kept its idle connections would run into one timeout after another.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_edge::block_on;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::io::Splitable;
use monoio::net::TcpStream;
use platform::Follower;
use platform::LogClient;
use platform::Progress;
use platform::RECORD_STREAM;

use crate::common::CFG;
use crate::common::claim;

/// TCP proxy between clients and the log that counts its connections. Connections with a number
/// below `silent_below` stay open but forward nothing.
struct Proxy {
    address: SocketAddr,
    connections: Rc<Cell<u32>>,
    silent_below: Rc<Cell<u32>>,
}

impl Proxy {
    fn start(log: SocketAddr) -> Self {
        let listener =
            http_edge::listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
        let proxy = Self {
            address: listener.local_addr().expect("a bound address"),
            connections: Rc::default(),
            silent_below: Rc::default(),
        };
        let (connections, silent) = (proxy.connections.clone(), proxy.silent_below.clone());
        monoio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let number = connections.get();
                connections.set(number + 1);
                let server = TcpStream::connect_addr(log)
                    .await
                    .expect("a connection to the log");
                let (client_r, client_w) = client.into_split();
                let (server_r, server_w) = server.into_split();
                monoio::spawn(forward(client_r, server_w, number, silent.clone()));
                monoio::spawn(forward(server_r, client_w, number, silent.clone()));
            }
        });
        proxy
    }

    fn silence_all(&self) {
        self.silent_below.set(self.connections.get());
    }
}

async fn forward(
    mut r: impl AsyncReadRent,
    mut w: impl AsyncWriteRentExt,
    number: u32,
    silent_below: Rc<Cell<u32>>,
) {
    loop {
        let (n, buf) = r.read(Vec::with_capacity(4096)).await;
        if !matches!(n, Ok(n) if n > 0) {
            return;
        }
        let is_silent = number < silent_below.get();
        if !is_silent && w.write_all(buf).await.0.is_err() {
            return;
        }
    }
}

#[test]
fn an_append_uses_a_new_connection_when_the_old_one_is_silent() {
    block_on(async {
        let (log, address) =
            standin_log::serve_local(standin_log::Cfg::default()).expect("a free port");
        let proxy = Proxy::start(address);
        let client = LogClient::new(proxy.address, RECORD_STREAM, CFG);
        client
            .append(&claim(1))
            .await
            .expect("append before the fault");
        proxy.silence_all();
        client
            .append(&claim(2))
            .await
            .expect("append over a new connection");
        assert_eq!(proxy.connections.get(), 2);
        assert_eq!(log.counters().streams[RECORD_STREAM].appends, 2);
    });
}

#[test]
fn a_follower_closes_all_idle_connections_after_one_is_silent() {
    block_on(async {
        let (_log, address) =
            standin_log::serve_local(standin_log::Cfg::default()).expect("a free port");
        let proxy = Proxy::start(address);
        let writer = LogClient::new(address, RECORD_STREAM, CFG);
        let mut follower = Follower::cold_start(proxy.address, CFG);
        while follower.advance(Duration::ZERO).await != Progress::CaughtUp {}
        // Opens a second connection, so that two idle connections fall silent.
        let log = follower.log();
        let (a, b) = monoio::join!(log.bounds(), log.bounds());
        assert!(a.is_ok() && b.is_ok());
        proxy.silence_all();
        writer
            .append(&claim(1))
            .await
            .expect("append directly to the log");
        let mut failures = 0;
        while follower.state().epoch < 1 {
            let progress = follower.advance(Duration::from_millis(50)).await;
            failures += u32::from(matches!(progress, Progress::Failed(_)));
            assert!(failures < 4, "a silent connection was used again");
        }
        assert_eq!(failures, 1);
    });
}
