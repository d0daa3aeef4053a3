//! What a daemon tells of the requests that its instance runs.

use std::time::Duration;
use std::time::Instant;

use http_edge::DatagramSocket;
use ledger::Idempotency;
use mesh::run_origins::REPEATED;
use mesh::run_origins::RepeatShare;
use mesh::wire::ForwardHead;
use report::metrics::Metrics;

use super::caps::boot;
use crate::node::Node;

const TIME_LEFT: Duration = Duration::from_secs(2);

fn node() -> Node {
    let boot = boot(125, 1);
    let address = (boot.ip, boot.daemon_ports.0).into();
    let gossip = DatagramSocket::open(address).expect("a free address");
    Node::new(boot, 1, Metrics::new().expect("metrics"), gossip, None)
}

fn head(repeat_share: RepeatShare) -> ForwardHead {
    let millis = u32::try_from(TIME_LEFT.as_millis()).expect("a short time");
    ForwardHead {
        request: "id-1".into(),
        fingerprint: 1,
        instance: "i-1".into(),
        born: 7,
        service: "catalogue".into(),
        version: "v1".into(),
        route: "look".into(),
        repeat: Idempotency::Idempotent,
        rank: 1,
        left_ms: millis,
        full_value_ms: millis,
        config: 3,
        limit: None,
        is_isolated: false,
        repeat_share,
        customer: None,
    }
}

/// A request that holds a slot of the instance may make calls; one that ended may not.
#[test]
fn calls_take_the_share_of_the_requests_that_run() {
    http_edge::block_on(async {
        let node = node();
        node.dispatcher.set_slots(4, 7);
        let arrived = Instant::now();
        let deadline = arrived + TIME_LEFT;
        let share = || node.dispatcher.origins.borrow().share_of(deadline);
        assert_eq!(share(), 0);
        let mut slots = Vec::new();
        for (repeat_share, want) in [(REPEATED, 1000), (0, 500), (200, 400)] {
            let admitted = node.admit(&head(repeat_share), arrived, deadline).await;
            slots.push(admitted.expect("an outcome").expect("a free slot"));
            assert_eq!(share(), want);
        }
        // One has its answer; the clients of the others leave.
        slots.remove(0).finish(Duration::from_millis(1));
        assert_eq!(share(), 100);
        drop(slots);
        assert_eq!(share(), 0);
    });
}
