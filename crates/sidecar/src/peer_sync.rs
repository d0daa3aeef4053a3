//! Fetches newer configurations and members from the daemons that announced them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_edge::Request;
use mesh::config_sources::FetchEnd;
use mesh::config_sources::NextFetch;
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

/// Fetches configurations from the peers that announced later ones. Runs until the process ends.
pub async fn fetch_configs(node: SharedNode) {
    loop {
        monoio::time::sleep(FETCH_INTERVAL).await;
        let in_force = node.active_table.borrow().version();
        let next = node
            .config_sources
            .borrow_mut()
            .next(in_force, Instant::now());
        if let NextFetch::Ask(address) = next {
            monoio::spawn(fetch_config(Rc::clone(&node), address));
        }
    }
}

async fn fetch_config(node: SharedNode, from: SocketAddr) {
    let before = node.active_table.borrow().version();
    let compressed = node.fetch(from, CONFIG_PATH).await;
    if let Some(compressed) = compressed.filter(|bytes| !bytes.is_empty()) {
        match compression::decompress_config(&compressed) {
            Ok(bytes) => {
                // Only what the store holds tells whether something is missing here.
                let _ = node.adopt_config(&bytes, "daemon", || compressed);
            }
            Err(e) => node.log_state(
                "config-unreadable",
                || json!({ "source": "daemon", "from": from, "reason": e.to_string() }),
            ),
        }
    }
    let in_force = node.active_table.borrow().version();
    let end = if in_force > before {
        FetchEnd::Adopted
    } else {
        FetchEnd::Failed
    };
    let mut sources = node.config_sources.borrow_mut();
    sources.record_end(from, end, in_force);
}

/// Fetches the members from peers that know of ones that this daemon lacks. Runs until the process ends.
pub async fn fetch_members(node: SharedNode) {
    loop {
        monoio::time::sleep(FETCH_INTERVAL).await;
        if let Some(address) = node.members_source.take()
            && let Some(bytes) = node.fetch(address, MEMBERS_PATH).await
        {
            node.apply_members(&bytes);
        }
    }
}

impl Node {
    /// Fetches over a new connection, since a kept one may have gone silent unnoticed.
    async fn fetch(&self, from: SocketAddr, path: &str) -> Option<Bytes> {
        let asked_at = Instant::now();
        let log_failure = |reason: String| {
            self.log_state("fetch-failed", || {
                json!({
                    "from": from,
                    "path": path,
                    "reason": reason,
                    "waited_ms": asked_at.elapsed().as_millis(),
                })
            });
        };
        let mut conn = match self.peer_conns.connect_new(from).await {
            Ok(conn) => conn,
            Err(e) => {
                log_failure(e.to_string());
                return None;
            }
        };
        match conn.call(Request::get(path), FETCH_TIMEOUT).await {
            Ok(res) => {
                self.peer_conns.put(conn);
                Some(res.body)
            }
            Err(e) => {
                log_failure(e.to_string());
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
