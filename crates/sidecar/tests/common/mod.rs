//! Helpers shared by the socket tests.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use users_platform::BootConfig;

/// Upper limit for each awaited event.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// Ports of a test machine.
pub const REQUESTS: u16 = 9101;
pub const READY: u16 = 9102;
pub const HEARTBEATS: u16 = 9103;
pub const INSTANCE: u16 = 9104;
pub const PEERS: u16 = 9105;
pub const STORE: u16 = 9106;

/// Returns the settings of a test daemon.
pub fn boot(daemon: &str, ip: IpAddr, service: &str, store: IpAddr) -> BootConfig {
    let at = |port: u16| SocketAddr::new(ip, port);
    BootConfig {
        daemon: daemon.into(),
        ip,
        zone: "suva-a".into(),
        request_address: at(REQUESTS),
        readiness_address: at(READY),
        heartbeat_address: at(HEARTBEATS),
        daemon_ports: (PEERS, PEERS + 1),
        instance_address: at(INSTANCE),
        service: service.into(),
        heartbeat_interval: Duration::from_mins(1),
        store_address: SocketAddr::new(store, STORE),
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
