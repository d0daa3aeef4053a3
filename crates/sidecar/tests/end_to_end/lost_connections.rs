//! Daemons whose open connections have gone silent, or that cannot be reached, while their datagrams arrive.

use std::cell::Cell;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use mesh::wire::Gossip;
use mesh::wire::LoadReport;
use mesh::wire::Member;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::net::ListenerOpts;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use protocol::codec;

use crate::common::PEERS;
use crate::fleet::Machine;
use crate::fleet::config_text;
use crate::fleet::ip;
use crate::fleet::wait_until;
use crate::fleet::with_fleet;

/// Time in which an announced configuration must be in force.
const CONFIG_TIME: Duration = Duration::from_secs(2);

/// Interval at which a peer repeats its announcement.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(50);

/// Which requests a peer answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reachability {
    All,
    /// Those on connections that were opened after this time.
    OpenedAfter(Instant),
    None,
}

/// A daemon that announces its configuration and serves it to others.
struct Peer {
    address: SocketAddr,
    datagrams: UdpSocket,
    version: Cell<u64>,
    reachability: Cell<Reachability>,
}

impl Peer {
    fn start(test: u8, machine: u8) -> Rc<Self> {
        let address = SocketAddr::new(ip(test, machine), PEERS);
        let listener = TcpListener::bind_with_config(address, &ListenerOpts::default());
        let listener = listener.expect("the address is free");
        let peer = Rc::new(Self {
            address,
            datagrams: UdpSocket::bind(address).expect("the address is free"),
            version: Cell::new(0),
            reachability: Cell::new(Reachability::All),
        });
        let accepting = Rc::clone(&peer);
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(Rc::clone(&accepting).serve(stream));
            }
        });
        peer
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let opened_at = Instant::now();
        loop {
            let (read, _) = stream.read(vec![0; 4096]).await;
            if !matches!(read, Ok(bytes) if bytes > 0) {
                return;
            }
            let answers = match self.reachability.get() {
                Reachability::All => true,
                Reachability::OpenedAfter(since) => opened_at > since,
                Reachability::None => false,
            };
            if !answers {
                continue;
            }
            let text = config_text(self.version.get(), "bookings", "{}", "");
            let body = lz4_flex::block::compress_prepend_size(text.as_bytes());
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            let (written, _) = stream.write_all([head.as_bytes(), &body].concat()).await;
            if written.is_err() {
                return;
            }
        }
    }

    fn announce(&self, to: &Machine) {
        let daemon = format!("peer-{}", self.address.ip());
        let gossip = Gossip {
            members: vec![Member {
                daemon: daemon.as_str().into(),
                incarnation: 1,
                revision: 1,
                address: self.address,
                zone: "suva-a".into(),
                instance: None,
                leaving: None,
                is_open: true,
                strength: 0,
                link_mbps: 1000,
            }],
            config: self.version.get(),
            report: LoadReport::default(),
            evidence: None,
            moves: Vec::new(),
            claim: None,
            wants_reply: false,
            wants_relay: false,
            wants_read: false,
            loads: Vec::new(),
            stored: Vec::new(),
            crashes: Vec::new(),
            quarantined: Vec::new(),
            extension: None,
        };
        let to = SocketAddr::new(to.ip, PEERS);
        let sent = self.datagrams.send_to(&codec::encode(&gossip), to);
        sent.expect("the datagram is sent");
    }
}

/// Lets the peers announce, one a second after the other and then all, until the machine has their
/// configuration or the time is over.
async fn assert_fetched_in_time(machine: &Machine, peers: &[Rc<Peer>], version: u64) {
    for peer in peers {
        peer.version.set(version);
    }
    let began = Instant::now();
    while machine.daemon.config_version() != version {
        let turn = usize::try_from(began.elapsed().as_secs()).unwrap_or(usize::MAX);
        match peers.get(turn) {
            Some(peer) => peer.announce(machine),
            None => peers.iter().for_each(|peer| peer.announce(machine)),
        }
        monoio::time::sleep(ANNOUNCE_INTERVAL).await;
        assert!(
            began.elapsed() < CONFIG_TIME,
            "version {version} is not in force in time"
        );
    }
}

/// Fault seen on days on which open connections between daemons went silent: each daemon that announced a
/// configuration was asked over its kept connection, one after the other, for a second each.
#[test]
fn a_configuration_is_fetched_in_time_although_the_connections_to_its_announcers_are_lost() {
    with_fleet(91, |_, front, back| async move {
        let peers = [7, 8, 9].map(|machine| Peer::start(91, machine));
        // Each of them has answered once, over a connection that is kept.
        for (peer, version) in peers.iter().zip(5..) {
            peer.version.set(version);
            peer.announce(&front);
            wait_until("the configuration is fetched", || {
                front.daemon.config_version() == version
            })
            .await;
        }
        let silent_since = Instant::now();
        for peer in &peers {
            peer.reachability
                .set(Reachability::OpenedAfter(silent_since));
        }
        assert_fetched_in_time(&front, &peers, 20).await;
        (front, back)
    });
}

/// The same while the first announcers cannot be reached at all, and the one that can is heard between them.
#[test]
fn a_configuration_is_fetched_in_time_although_its_first_announcers_do_not_answer() {
    with_fleet(92, |_, front, back| async move {
        let unreachable = [7, 8].map(|machine| Peer::start(92, machine));
        for peer in &unreachable {
            peer.reachability.set(Reachability::None);
            peer.version.set(20);
        }
        let reachable = Peer::start(92, 9);
        reachable.version.set(20);
        unreachable[0].announce(&front);
        monoio::time::sleep(ANNOUNCE_INTERVAL * 2).await;
        reachable.announce(&front);
        assert_fetched_in_time(&front, &unreachable, 20).await;
        (front, back)
    });
}
