//! Usage caps of daemons that exchange real datagrams.

use std::cell::Cell;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http_edge::DatagramSocket;
use mesh::caps::Cap;
use mesh::customers::Customer;
use mesh::rate_limit::RequestRate;
use mesh::wire::Member;
use report::metrics::Metrics;
use users_platform::BootConfig;

use crate::caps;
use crate::caps::Acquired;
use crate::node::Node;
use crate::node::SharedNode;

const PEERS: u16 = 9205;

/// Rate and burst of the customer in the tests.
const RATE: f64 = 60.0;
const BURST: u32 = 12;

/// Time in which an allocator comes into office at the start.
const SETTLE_TIME: Duration = Duration::from_millis(2500);

const WAIT: Duration = Duration::from_millis(100);

fn ip(fleet: u8, number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 7, fleet, number))
}

pub(super) fn boot(fleet: u8, number: u8) -> BootConfig {
    let ip = ip(fleet, number);
    let at = |port: u16| SocketAddr::new(ip, port);
    BootConfig {
        daemon: format!("daemon-{number}").into(),
        ip,
        zone: "suva-a".into(),
        request_address: at(9201),
        readiness_address: at(9202),
        heartbeat_address: at(9203),
        daemon_ports: (PEERS, PEERS + 1),
        instance_address: at(9204),
        service: "catalogue".into(),
        heartbeat_interval: Duration::from_mins(1),
        store_address: at(9207),
        retry_ratio: 0.2,
        retry_slack: 1000.0,
        grace_period: Duration::from_secs(1),
        cpu_permille: 200,
        link_mbps: 1000,
        memory_bytes: 110_000_000,
        max_descriptors: 1024,
        is_first_start: false,
        revoke_within: None,
    }
}

fn member(fleet: u8, number: u8) -> Member {
    Member {
        daemon: format!("daemon-{number}").into(),
        incarnation: 1,
        revision: 1,
        address: SocketAddr::new(ip(fleet, number), PEERS),
        zone: "suva-a".into(),
        instance: None,
        leaving: None,
        is_open: true,
        strength: 200,
        link_mbps: 1000,
    }
}

fn customer() -> Customer {
    Customer {
        name: "workshop".into(),
        keys: Vec::new(),
        rank: None,
        cap: Some(Cap {
            rate: RequestRate::from_per_sec(RATE).expect("a rate"),
            burst: BURST,
        }),
    }
}

/// Starts the part of a daemon that holds caps.
fn start(fleet: u8, number: u8, count: u8) -> SharedNode {
    let boot = boot(fleet, number);
    let gossip = DatagramSocket::open(SocketAddr::new(boot.ip, PEERS)).expect("a free address");
    let socket = caps::open_socket(boot.ip, boot.daemon_ports).expect("a free address");
    let metrics = Metrics::new().expect("metrics");
    let node = Rc::new(Node::new(boot, u64::from(number), metrics, gossip, socket));
    for other in 1..=count {
        let now = Instant::now();
        node.directory.borrow_mut().merge(member(fleet, other), now);
    }
    let now = node.boot_time();
    node.caps.set_config(1, Some(&[customer()]), now);
    caps::spawn(&node);
    node
}

/// Counts of the decisions on a stream of requests.
#[derive(Default)]
struct Tally {
    granted: Cell<u32>,
    over_cap: Cell<u32>,
    no_allocator: Cell<u32>,
}

/// Asks for a token at each daemon every `interval` for a time.
async fn demand(nodes: &[SharedNode], interval: Duration, time: Duration) -> Rc<Tally> {
    let tally = Rc::new(Tally::default());
    let end = Instant::now() + time;
    while Instant::now() < end {
        for node in nodes {
            let (node, tally) = (Rc::clone(node), Rc::clone(&tally));
            monoio::spawn(async move {
                let until = Instant::now() + WAIT;
                let count = match node.acquire_cap(&"workshop".into(), until).await {
                    Acquired::Granted(_) => &tally.granted,
                    Acquired::OverCap(_) => &tally.over_cap,
                    Acquired::NoAllocator(_) => &tally.no_allocator,
                };
                count.set(count.get() + 1);
            });
        }
        monoio::time::sleep(interval).await;
    }
    monoio::time::sleep(WAIT).await;
    tally
}

#[test]
fn daemons_hold_a_cap_together() {
    http_edge::block_on(async {
        let nodes: Vec<SharedNode> = (1..=3).map(|number| start(120, number, 3)).collect();
        monoio::time::sleep(SETTLE_TIME).await;
        let began = Instant::now();
        let tally = demand(&nodes, Duration::from_millis(5), Duration::from_secs(3)).await;
        let allowed = RATE * began.elapsed().as_secs_f64() + f64::from(BURST);
        let granted = f64::from(tally.granted.get());
        assert!(granted <= allowed + 1.0, "{granted} of {allowed}");
        assert!(granted >= 0.9 * RATE * 3.0, "{granted} of {allowed}");
        assert!(tally.over_cap.get() > 0);
    });
}

#[test]
fn another_daemon_allocates_after_a_planned_stop() {
    http_edge::block_on(async {
        let nodes: Vec<SharedNode> = (1..=3).map(|number| start(121, number, 3)).collect();
        monoio::time::sleep(SETTLE_TIME).await;
        nodes[0].resign_allocation().await;
        monoio::time::sleep(Duration::from_millis(600)).await;
        // 30 requests a second in all, half of the cap.
        let tally = demand(&nodes, Duration::from_millis(100), Duration::from_secs(2)).await;
        assert_eq!(tally.no_allocator.get(), 0);
        assert_eq!(tally.over_cap.get(), 0);
        assert!(tally.granted.get() >= 40, "{}", tally.granted.get());
    });
}

#[test]
fn a_daemon_without_the_others_uses_its_part() {
    http_edge::block_on(async {
        let nodes = [start(122, 1, 3)];
        monoio::time::sleep(SETTLE_TIME).await;
        let tally = demand(&nodes, Duration::from_millis(10), Duration::from_secs(3)).await;
        let granted = f64::from(tally.granted.get());
        let part = RATE / 3.0 * 3.0;
        assert!(granted <= part * 1.1 + 10.0, "{granted}");
        assert!(granted >= part * 0.8, "{granted}");
        assert_eq!(tally.over_cap.get(), 0);
    });
}
