//! Fetches newer configurations and members from the daemons that announced them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_edge::Request;
use mesh::wire::Member;
use protocol::codec;
use serde_json::json;

use crate::compression;
use crate::forward::CONFIG_PATH;
use crate::forward::MEMBERS_PATH;
use crate::node::Node;
use crate::node::SharedNode;
use crate::store_sync::FETCH_INTERVAL;

/// Timeout for fetching the configuration or the members from a peer: half of those two seconds.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Fetches the configuration or the members from peers that announced newer ones.
pub async fn fetch_from_peers(node: SharedNode) {
    loop {
        monoio::time::sleep(FETCH_INTERVAL).await;
        if let Some(address) = node.config_source.take()
            && let Some(compressed) = node.fetch(address, CONFIG_PATH).await
            && !compressed.is_empty()
        {
            match compression::decompress_config(&compressed) {
                Ok(bytes) => node.adopt_config(&bytes, "daemon", || compressed),
                Err(e) => node.log_state(
                    "config-unreadable",
                    || json!({ "source": "daemon", "from": address, "reason": e.to_string() }),
                ),
            }
        }
        if let Some(address) = node.members_source.take()
            && let Some(bytes) = node.fetch(address, MEMBERS_PATH).await
        {
            node.apply_members(&bytes);
        }
    }
}

impl Node {
    async fn fetch(&self, from: SocketAddr, path: &str) -> Option<Bytes> {
        let asked_at = Instant::now();
        let log_failure = |reason: String, conn_age: Option<Duration>| {
            self.log_state("fetch-failed", || {
                json!({
                    "from": from,
                    "path": path,
                    "reason": reason,
                    "waited_ms": asked_at.elapsed().as_millis(),
                    "conn_age_ms": conn_age.map(|age| age.as_millis()),
                })
            });
        };
        let mut conn = match self.peer_conns.take(from).await {
            Ok(conn) => conn,
            Err(e) => {
                log_failure(e.to_string(), None);
                return None;
            }
        };
        let conn_age = conn.opened_at().elapsed();
        match conn.call(Request::get(path), FETCH_TIMEOUT).await {
            Ok(res) => {
                self.peer_conns.put(conn);
                Some(res.body)
            }
            Err(e) => {
                log_failure(e.to_string(), Some(conn_age));
                None
            }
        }
    }

    fn apply_members(&self, bytes: &Bytes) {
        match codec::decode::<Vec<Member>>(bytes) {
            Ok(members) => {
                for member in members {
                    self.merge_member(member, "daemon");
                }
                self.has_loaded_members.set(true);
            }
            Err(e) => self.log_state("members-unreadable", || json!({ "reason": e.to_string() })),
        }
    }
}
