//! Announces the upstream to the daemon beside it, as a heartbeat.

use std::net::SocketAddr;
use std::time::Duration;

use http_edge::Pool;
use http_edge::PoolCfg;
use http_edge::Request;
use protocol::announce::ANNOUNCE_PATH;
use protocol::announce::Announcement;

/// Period of the announcements.
pub const PERIOD: Duration = Duration::from_millis(500);

/// Timeout of one announcement.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Sends announcements to one daemon.
pub struct Announcer {
    daemon: SocketAddr,
    pool: Pool,
    last: Delivery,
}

/// What became of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The daemon took it.
    Taken,
    /// The daemon refused it or could not be reached.
    Failed,
}

impl Announcer {
    /// An announcer to the local address of a daemon.
    #[must_use]
    pub fn new(daemon: SocketAddr) -> Self {
        Self {
            daemon,
            pool: Pool::new(PoolCfg::default()),
            last: Delivery::Failed,
        }
    }

    /// Sends one announcement.
    pub async fn send(&mut self, announcement: &Announcement) -> Delivery {
        let delivery = self.deliver(announcement).await;
        if delivery != self.last {
            log::info!("announcer: {} now {delivery:?}", self.daemon);
            self.last = delivery;
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
        let res = conn.call(req, TIMEOUT).await;
        self.pool.put(conn);
        match res {
            Ok(res) if res.status.is_success() => Delivery::Taken,
            _ => Delivery::Failed,
        }
    }
}
