//! Client that sends the upstream's announcements, which are its heartbeats, to the daemon on its
//! machine.

use std::net::SocketAddr;
use std::time::Duration;

use http_edge::Pool;
use http_edge::PoolCfg;
use http_edge::Request;
use protocol::announce::ANNOUNCE_PATH;
use protocol::announce::Announcement;

/// Interval between announcements.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends announcements to one daemon.
pub struct Announcer {
    daemon: SocketAddr,
    pool: Pool,
    last_delivery: Delivery,
}

/// Result of sending an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The daemon accepted it.
    Accepted,
    /// The daemon refused it or could not be reached.
    Failed,
}

impl Announcer {
    /// Creates an announcer without a connection; `daemon` is the daemon's local address.
    #[must_use]
    pub fn new(daemon: SocketAddr) -> Self {
        Self {
            daemon,
            pool: Pool::new(PoolCfg::default()),
            last_delivery: Delivery::Failed,
        }
    }

    /// Sends one announcement and logs when the result differs from that of the previous one.
    pub async fn send(&mut self, announcement: &Announcement) -> Delivery {
        let delivery = self.deliver(announcement).await;
        if delivery != self.last_delivery {
            log::info!(
                "announcer: result of announcements to {} is now {delivery:?}",
                self.daemon
            );
            self.last_delivery = delivery;
        }
        delivery
    }

    async fn deliver(&self, announcement: &Announcement) -> Delivery {
        let Ok(body) = serde_json::to_vec(announcement) else {
            return Delivery::Failed;
        };
        let Ok(mut conn) = self.pool.take(self.daemon).await else {
            return Delivery::Failed;
        };
        let req =
            Request::post(ANNOUNCE_PATH, body).with_header("content-type", "application/json");
        let res = conn.call(req, ANNOUNCE_TIMEOUT).await;
        self.pool.put(conn);
        match res {
            Ok(res) if res.status.is_success() => Delivery::Accepted,
            _ => Delivery::Failed,
        }
    }
}
