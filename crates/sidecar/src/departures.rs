//! Stores which incarnations of the local instance leave, and acknowledges that to the instance.
//!
//! The instance goes on serving for a while after the acknowledgement, and this process may end
//! meanwhile. A later one must not take the instance for ready again, so the acknowledgement waits for
//! the store. If the store does not take the record from this daemon in time, peers write it too.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::hash;
use bytes::Bytes;
use http::StatusCode;
use http_edge::Request;
use http_edge::Response;
use mesh::instance::Change;
use mesh::instance::InstanceKey;
use mesh::wire::DepartureRecord;
use mesh::wire::Record;
use platform::Backoff;
use protocol::codec;
use report::metrics::DepartureOutcome;
use report::metrics::LogRequest;
use serde_json::json;
use users_platform::StoreError;
use users_platform::Topic;
use users_platform::heartbeat;
use users_platform::requests;
use users_platform::responses;

use crate::node::Node;
use crate::node::SharedNode;
use crate::store_sync::BACKOFF;

/// Path at which peers take departures to write them to the store.
pub const DEPARTURES_PATH: &str = "/inner/departures";

/// Prefix of the keys of departures in the mesh topic.
const DEPARTURE_KEY_PREFIX: &str = "departure/";

/// Longest wait for the store before a call of the instance is refused. The instance takes an answer
/// within a second.
const ACK_TIMEOUT: Duration = Duration::from_millis(900);

/// Interval at which a call that waits checks whether the store holds the departure.
const ACK_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Timeout of one write; a slow store takes up to 600 ms.
const WRITE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which peers write too: many times what the store takes when it is not slow.
const PEER_WRITE_DELAY: Duration = Duration::from_millis(150);

/// Peers that are asked to write.
const PEER_WRITERS: usize = 2;

/// Time after the start in which the store tells what earlier processes acknowledged, unless it is away.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(200);

/// Interval at which a daemon without the store checks whether its instance is to be asked.
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a health probe, which waits for a slot as requests do.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause after a probe that did not show that the instance stays.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Stores the departures that the store lacks, until it holds all. At most one such task runs.
pub fn store_departures(node: &SharedNode) {
    let has_news = !node.local.borrow().departures().unstored().is_empty();
    if has_news && !node.is_storing_departures.replace(true) {
        monoio::spawn(store_until_held(Rc::clone(node)));
    }
}

async fn store_until_held(node: SharedNode) {
    let began = Instant::now();
    let mut backoff = Backoff::new(BACKOFF, node.random());
    loop {
        let (unstored, dropped) = {
            let local = node.local.borrow();
            let departures = local.departures();
            (departures.unstored(), departures.dropped().to_vec())
        };
        if unstored.is_empty() {
            break;
        }
        let attempted_at = Instant::now();
        if node.write_departures(&unstored, &dropped).await {
            let mut local = node.local.borrow_mut();
            local.departures_mut().record_stored(&unstored);
            local.departures_mut().record_dropped(&dropped);
            drop(local);
            node.log_state("departures-stored", || {
                json!({
                    "instances": unstored,
                    "waited_ms": began.elapsed().as_millis(),
                })
            });
        } else {
            let pause = backoff.next_delay();
            monoio::time::sleep(pause.saturating_sub(attempted_at.elapsed())).await;
        }
    }
    node.is_storing_departures.set(false);
}

/// While the store is away, asks the instance whether it stays, until it says so. Runs until the departures of
/// earlier processes have been read.
pub async fn confirm_instance(node: SharedNode) {
    monoio::time::sleep(FIRST_PROBE_DELAY).await;
    while !node.local.borrow().departures().has_read_store() {
        let unconfirmed = node.local.borrow().unconfirmed();
        let path = node.own_service_cfg().and_then(|cfg| cfg.health_path);
        if let (Some(key), Some(path)) = (unconfirmed, path) {
            let req = |address| requests::health_probe(&path, address);
            let answered = node.dispatcher.call_instance(req, PROBE_TIMEOUT).await;
            let is_staying = answered.is_ok_and(|res| responses::is_staying(&res, &key.id));
            node.log_state(
                "instance-probed",
                || json!({ "instance": key.id, "born": key.born, "stays": is_staying }),
            );
            if is_staying {
                node.local.borrow_mut().record_healthy(&key);
            } else {
                monoio::time::sleep(PROBE_INTERVAL).await;
            }
        }
        monoio::time::sleep(CONFIRM_POLL_INTERVAL).await;
    }
}

impl Node {
    /// Acknowledges to the local instance that it leaves, once the store holds that. Otherwise refuses
    /// the call, so that nobody is bound by it; the instance gets no new requests all the same.
    pub(crate) async fn acknowledge_departure(node: &SharedNode, key: &InstanceKey) -> Response {
        store_departures(node);
        let began = Instant::now();
        let is_stored = || node.local.borrow().departures().is_stored(key);
        while !is_stored() && began.elapsed() < ACK_TIMEOUT {
            monoio::time::sleep(ACK_POLL_INTERVAL).await;
        }
        let took = began.elapsed();
        if is_stored() {
            let outcome = DepartureOutcome::Acknowledged;
            node.metrics.record_departure(outcome, took);
            return heartbeat::acknowledgement();
        }
        let outcome = DepartureOutcome::Refused;
        node.metrics.record_departure(outcome, took);
        node.log_state(
            "departure-unacknowledged",
            || json!({ "instance": key.id, "born": key.born, "waited_ms": took.as_millis() }),
        );
        Response::text(StatusCode::SERVICE_UNAVAILABLE, "not stored yet")
    }

    /// Takes over a departure that an earlier process of this daemon stored.
    pub(crate) fn merge_departure(&self, record: &DepartureRecord) {
        if record.daemon != self.name() {
            return;
        }
        let key = &record.instance;
        if self.local.borrow_mut().restore_departure(key.clone()) == Change::Told {
            self.refuse_new_requests(key, "store");
        }
    }

    /// Records that the departures of earlier processes of this daemon have been read.
    pub(crate) fn record_departures_read(&self) {
        let mut local = self.local.borrow_mut();
        if local.departures().has_read_store() {
            return;
        }
        local.departures_mut().record_read();
        let newest = local.departures().newest().cloned();
        drop(local);
        self.log_state("departures-read", || json!({ "newest": newest }));
    }

    /// Writes departures of the local instance to the store, and lets peers do so if that takes long.
    /// Returns whether the store holds them.
    async fn write_departures(&self, unstored: &[InstanceKey], dropped: &[InstanceKey]) -> bool {
        let daemon = self.name();
        let record = |instance: &InstanceKey| DepartureRecord {
            daemon: daemon.clone(),
            instance: instance.clone(),
        };
        let records: Vec<DepartureRecord> = unstored.iter().map(record).collect();
        let dropped: Vec<DepartureRecord> = dropped.iter().map(record).collect();
        let body = codec::encode(&records);
        let own = async {
            let put = self.put_departures(&records, &dropped).await;
            if let Err(e) = &put {
                self.log_state("departures-unstored", || json!({ "reason": e.to_string() }));
            }
            put.is_ok()
        };
        let mut own = Box::pin(own);
        let early = monoio::select! {
            is_stored = &mut own => Some(is_stored),
            () = monoio::time::sleep(PEER_WRITE_DELAY) => None,
        };
        match early {
            Some(true) => true,
            Some(false) => Box::pin(self.let_peers_write(&body)).await,
            None => any_of(own, Box::pin(self.let_peers_write(&body))).await,
        }
    }

    async fn put_departures(
        &self,
        records: &[DepartureRecord],
        dropped: &[DepartureRecord],
    ) -> Result<(), StoreError> {
        let stored = records.iter().map(|record| {
            let value = codec::encode(&Record::Departure(record.clone()));
            (departure_key(record), value)
        });
        // A record without a value deletes its key.
        let deleted = dropped
            .iter()
            .map(|record| (departure_key(record), Bytes::new()));
        let entries: Vec<(String, Bytes)> = stored.chain(deleted).collect();
        let borrowed: Vec<(&str, &[u8])> = entries
            .iter()
            .map(|(key, value)| (key.as_str(), value.as_ref()))
            .collect();
        self.metrics.record_log_request(LogRequest::Append);
        let put = self
            .store
            .put_all_within(Topic::Mesh, &borrowed, WRITE_TIMEOUT);
        put.await.map(|_| ())
    }

    async fn let_peers_write(&self, body: &Bytes) -> bool {
        let peers = self.random_members_where(PEER_WRITERS, |member| member.is_open);
        let mut peers = peers.into_iter().map(|peer| peer.address);
        match (peers.next(), peers.next()) {
            (Some(a), Some(b)) => {
                let a = Box::pin(self.let_peer_write(a, body));
                any_of(a, Box::pin(self.let_peer_write(b, body))).await
            }
            (Some(only), None) => self.let_peer_write(only, body).await,
            (None, _) => false,
        }
    }

    async fn let_peer_write(&self, peer: SocketAddr, body: &Bytes) -> bool {
        let req = Request::post(DEPARTURES_PATH, body.clone());
        let answered = async {
            let mut conn = self.peer_conns.connect_new(peer).await;
            let conn = conn.as_mut().map_err(|e| e.to_string())?;
            let res = conn.call(req, WRITE_TIMEOUT).await;
            res.map_err(|e| e.to_string()).map(|res| res.status)
        };
        let answered = answered.await;
        if !matches!(answered, Ok(StatusCode::OK)) {
            self.log_state(
                "departures-unstored",
                || json!({ "peer": peer, "answer": format!("{answered:?}") }),
            );
        }
        matches!(answered, Ok(StatusCode::OK))
    }

    /// Writes the departures of a peer to the store.
    pub(crate) async fn write_for_peer(&self, body: &Bytes) -> Response {
        let records = match codec::decode::<Vec<DepartureRecord>>(body) {
            Ok(records) if !records.is_empty() => records,
            Ok(_) => return Response::text(StatusCode::BAD_REQUEST, "no departures"),
            Err(e) => return Response::text(StatusCode::BAD_REQUEST, e.to_string()),
        };
        match self.put_departures(&records, &[]).await {
            Ok(()) => Response::new(StatusCode::OK, ""),
            Err(e) => {
                let (daemon, reason) = (&records[0].daemon, e.to_string());
                self.log_state(
                    "departures-unstored",
                    || json!({ "daemon": daemon, "reason": reason }),
                );
                Response::text(StatusCode::SERVICE_UNAVAILABLE, reason)
            }
        }
    }
}

/// Returns whether one of two attempts succeeds, as soon as that is known.
async fn any_of(
    mut a: impl Future<Output = bool> + Unpin,
    mut b: impl Future<Output = bool> + Unpin,
) -> bool {
    monoio::select! {
        is_done = &mut a => is_done || b.await,
        is_done = &mut b => is_done || a.await,
    }
}

/// Returns the key of a departure, which is short however long the id of the instance is.
fn departure_key(record: &DepartureRecord) -> String {
    let id = hash::stable(&[record.instance.id.as_bytes()]);
    format!("{DEPARTURE_KEY_PREFIX}{}/{id:016x}", record.daemon)
}
