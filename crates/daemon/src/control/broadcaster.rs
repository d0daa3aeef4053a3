//! Broadcasts the lease and the rollbacks to the readers of each zone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::ZoneName;
use bytes::Bytes;
use http_edge::Pool;
use http_edge::Request;
use membership::fanout::rank;
use protocol::codec;
use protocol::paths;
use report::metrics::Direction;
use report::metrics::Purpose;

use crate::control::Message;
use crate::meter::Meter;
use crate::shared_state::Peer;
use crate::shared_state::SharedState;

/// Timeout of one exchange; a lease that takes longer is superseded by the next renewal.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends to each peer in its own task, so that an unresponsive one delays no other.
pub(super) struct Broadcaster {
    shared: SharedState,
    pool: Rc<Pool>,
}

impl Broadcaster {
    pub(super) fn new(shared: &SharedState, pool: Pool) -> Self {
        Self {
            shared: shared.clone(),
            pool: Rc::new(pool),
        }
    }

    /// Sends the current lease and rollbacks.
    pub(super) fn broadcast(&self) {
        let message = Message::Renewal {
            lease: self.shared.lease.get().lease,
            facts: self.shared.rollbacks.get().iter().cloned().collect(),
        };
        let body = codec::encode(&message);
        let settings = &self.shared.daemon_cfg.settings;
        let per_zone = settings.fanout.readers_per_zone as usize;
        let peers = self.shared.peers.get();
        let zone_readers = zone_readers(&peers, per_zone);
        for peer in zone_readers
            .into_iter()
            .filter(|it| it.daemon != settings.daemon)
        {
            let meter = Rc::clone(&self.shared.meter);
            monoio::spawn(send(
                Rc::clone(&self.pool),
                peer.address,
                body.clone(),
                meter,
            ));
        }
    }
}

/// Selects the readers of all zones; the feed passes on what they receive to the other daemons.
/// The controller's cost thus grows with the number of zones, not of daemons.
pub(crate) fn zone_readers(peers: &[Peer], per_zone: usize) -> Vec<&Peer> {
    let mut zones: BTreeMap<&ZoneName, Vec<&Peer>> = BTreeMap::new();
    for peer in peers {
        zones.entry(&peer.zone).or_default().push(peer);
    }
    for zone in zones.values_mut() {
        zone.sort_by_key(|peer| rank(&peer.daemon));
        zone.truncate(per_zone);
    }
    zones.into_values().flatten().collect()
}

/// Sends a message to the control part of another daemon. A lost message is not repeated: the next
/// one replaces it.
pub(super) async fn send(pool: Rc<Pool>, address: SocketAddr, body: Bytes, meter: Rc<Meter>) {
    let Ok(mut conn) = pool.take(address).await else {
        return;
    };
    let req = Request::post(paths::EVIDENCE, body);
    meter.record_control_bytes(Purpose::Evidence, Direction::Sent, req.wire_size());
    match conn.call(req, SEND_TIMEOUT).await {
        Ok(res) => {
            meter.record_control_bytes(Purpose::Evidence, Direction::Received, res.wire_size());
            pool.put(conn);
        }
        Err(e) => {
            log::info!("control: no reply from {address}: {e}");
            conn.close();
        }
    }
}
