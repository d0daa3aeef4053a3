//! Connections that fall silent for good while new ones work.

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

/// Passes bytes between clients and the log, and counts its connections. Those numbered below
/// `silent_below` stay open but pass nothing on.
struct Relay {
    address: SocketAddr,
    connections: Rc<Cell<u32>>,
    silent_below: Rc<Cell<u32>>,
}

impl Relay {
    fn start(log: SocketAddr) -> Self {
        let listener = http_edge::listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        let relay = Self {
            address: listener.local_addr().expect("an address"),
            connections: Rc::default(),
            silent_below: Rc::default(),
        };
        let (connections, silent) = (relay.connections.clone(), relay.silent_below.clone());
        monoio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let number = connections.get();
                connections.set(number + 1);
                let server = TcpStream::connect_addr(log).await.expect("the log");
                let (client_r, client_w) = client.into_split();
                let (server_r, server_w) = server.into_split();
                monoio::spawn(pass(client_r, server_w, number, silent.clone()));
                monoio::spawn(pass(server_r, client_w, number, silent.clone()));
            }
        });
        relay
    }

    fn silence_all(&self) {
        self.silent_below.set(self.connections.get());
    }
}

async fn pass(
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
fn an_append_goes_over_a_new_connection_when_the_old_one_is_silent() {
    block_on(async {
        let (log, address) = standin_log::serve_local(standin_log::Cfg::default()).expect("a port");
        let relay = Relay::start(address);
        let client = LogClient::new(relay.address, RECORD_STREAM, CFG);
        client.append(&claim(1)).await.expect("no fault yet");
        relay.silence_all();
        client
            .append(&claim(2))
            .await
            .expect("over a new connection");
        assert_eq!(relay.connections.get(), 2);
        assert_eq!(log.counters().streams[RECORD_STREAM].appends, 2);
    });
}

#[test]
fn one_silent_connection_makes_a_follower_drop_the_others() {
    block_on(async {
        let (_log, address) =
            standin_log::serve_local(standin_log::Cfg::default()).expect("a port");
        let relay = Relay::start(address);
        let writer = LogClient::new(address, RECORD_STREAM, CFG);
        let mut follower = Follower::cold_start(relay.address, CFG);
        while follower.advance(Duration::ZERO).await != Progress::CaughtUp {}
        // A second connection, so that both are idle when they fall silent.
        let log = follower.log();
        let (a, b) = monoio::join!(log.bounds(), log.bounds());
        assert!(a.is_ok() && b.is_ok());
        relay.silence_all();
        writer.append(&claim(1)).await.expect("past the relay");
        let mut failures = 0;
        while follower.state().epoch < 1 {
            let progress = follower.advance(Duration::from_millis(50)).await;
            failures += u32::from(matches!(progress, Progress::Failed(_)));
            assert!(failures < 4, "the silent connection is not used again");
        }
        assert_eq!(failures, 1);
    });
}
