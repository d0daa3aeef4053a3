//! Size of a site, and the configuration of its clients.

use bytes::BytesMut;
use serde_json::json;
use standin_store::StoreService;
use users_platform::records;

use super::HEALTH_PATH;

/// Size of a site, and the limits of its machines and clients.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    pub machines: u8,
    pub memory_mb: usize,
    pub max_fds: usize,
    /// Largest body of a client, in bytes.
    pub max_body: usize,
    /// Longest time of a request, in milliseconds.
    pub timeout_ms: u32,
    /// Time in which an answer has its full value, in milliseconds.
    pub target_ms: u32,
    /// Time after which idle connections of clients may be closed, in seconds.
    pub idle_s: u32,
    /// Requests that an instance runs at once.
    pub slots: u32,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            machines: 3,
            memory_mb: 260,
            max_fds: 4100,
            max_body: 65536,
            timeout_ms: 2000,
            target_ms: 800,
            idle_s: 15,
            slots: 8,
        }
    }
}

/// Writes the configuration to the store.
pub fn put_config(store: &StoreService, setup: Setup) {
    let book = json!({
        "Hostname": "shop.example", "PathPrefix": "/book/", "Kind": "non_idempotent",
        "Service": "bookings", "Timeout": format!("{}ms", setup.timeout_ms),
        "TargetLatency": format!("{}ms", setup.target_ms), "Priority": 1, "Attempts": 2,
    });
    let config = json!({
        "Version": "r3", "Routes": { "book": book }, "Services": { "bookings": { "HealthPath": HEALTH_PATH } },
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": setup.max_body, "HeaderTimeout": "3s",
            "IdleTimeout": format!("{}s", setup.idle_s),
        },
    });
    let mut buf = BytesMut::new();
    let encoded = records::encode(&mut buf, "config", config.to_string().as_bytes());
    encoded.expect("the key is short enough");
    let appended = store.with_topic("keyed.op", |topic| topic.append(buf.freeze()));
    appended.expect("the record is complete");
}
