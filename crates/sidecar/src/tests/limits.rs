//! Limits of requests and connections, by the machine's settings and the configuration.

use std::time::Duration;

use http_edge::BudgetLimits;
use http_edge::MemoryBudget;
use mesh::config::ClientLimits;
use users_platform::BootConfig;

use crate::limits::budget_limits;
use crate::limits::client_cfg;
use crate::limits::peer_cfg;

const LARGEST_BODY: usize = 64 * 1024 * 1024;

const LIMITS: ClientLimits = ClientLimits {
    max_head: 16_384,
    max_body: LARGEST_BODY,
    head_timeout: Duration::from_secs(3),
    keep_alive_timeout: Duration::from_secs(15),
};

/// Returns the limits on a machine with these entries under `Limits`.
fn on_machine(limits: &str) -> BudgetLimits {
    let text = format!(
        r#"
Node: "a"
Ip: "10.1.0.41"
Zone: "z"
Listen: {{Outbound: "10.1.0.41:1", Ready: "10.1.0.41:2", Control: "10.1.0.41:3"}}
PortRange: [7600, 7615]
Limits: {{{limits}}}
Heartbeat: "1500ms"
Bounds: ["Grace=6s", "RetryRatio=0.2", "RetrySlack=62"]
AppAddr: "10.1.0.41:4"
Service: "s"
Platform: {{Address: "10.200.1.7:8627"}}
"#
    );
    budget_limits(&BootConfig::parse(&text, "test").expect("valid settings"))
}

#[test]
fn memory_and_connections_follow_the_settings() {
    let check = |limits: &str, max_bytes: usize, max_connections: usize| {
        let want = BudgetLimits {
            max_bytes,
            max_connections,
        };
        assert_eq!(on_machine(limits), want, "{limits}");
    };
    check("MemoryMb: 260, MaxFds: 4100", 182_000_000, 2925);
    check("MemoryMb: 110", 77_000_000, 618);
    check("CpuShare: 0.2", 77_000_000, 618);
    check("MemoryMb: 40, MaxFds: 150", 28_000_000, 64);
}

#[test]
fn the_largest_body_fits_on_the_smallest_machine_and_two_do_not() {
    let budget = MemoryBudget::new(on_machine("MemoryMb: 110"));
    assert!(budget.has_room(LARGEST_BODY));
    assert!(!budget.has_room(2 * LARGEST_BODY));
}

#[test]
fn servers_follow_the_configuration() {
    let clients = client_cfg(&LIMITS);
    assert_eq!(clients.limits.max_body_bytes, LARGEST_BODY);
    assert!(clients.limits.max_head_bytes >= LIMITS.max_head);
    assert_eq!(clients.head_timeout, 2 * LIMITS.head_timeout);
    assert!(clients.idle_timeout > LIMITS.keep_alive_timeout);
    let peers = peer_cfg(&LIMITS);
    assert_eq!(peers.limits.max_body_bytes, LARGEST_BODY);
    // Each line of a client's head may grow by a byte, and the shortest has five.
    let written = clients.limits.max_head_bytes / 5 * 6;
    assert!(peers.limits.max_head_bytes > written);
    assert!(peers.linger_bytes >= LARGEST_BODY);
}
