//! Serves the local address: announcements of the local upstream, status, metrics and history.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::StatusCode;
use http_edge::Handler;
use http_edge::Request;
use http_edge::Response;
use protocol::announce::ANNOUNCE_PATH;
use protocol::announce::Announcement;
use protocol::status::METRICS_PATH;
use protocol::status::MemberStatus;
use protocol::status::STATUS_PATH;
use protocol::status::Status;
use report::history::HISTORY_PATH;

use crate::shared_state::SharedState;

/// An upstream that has not announced itself for this long is considered gone.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(3);

/// Time between two checks of the latest announcement's age.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Answers requests to the local address.
pub(crate) struct LocalHandler {
    shared: SharedState,
    last_announced: Rc<Cell<Instant>>,
}

impl LocalHandler {
    pub(crate) fn new(shared: SharedState) -> Self {
        let last_announced = Rc::new(Cell::new(Instant::now()));
        monoio::spawn(expire(shared.clone(), Rc::clone(&last_announced)));
        Self {
            shared,
            last_announced,
        }
    }

    fn announce(&self, req: &Request) -> Response {
        match serde_json::from_slice::<Announcement>(&req.body.to_bytes()) {
            Ok(announcement) => {
                self.last_announced.set(Instant::now());
                self.shared.upstream.set_if_changed(Some(announcement));
                Response::new(StatusCode::NO_CONTENT, "")
            }
            Err(e) => {
                log::warn!("local: refused an unreadable announcement: {e}");
                Response::text(StatusCode::BAD_REQUEST, e.to_string())
            }
        }
    }

    fn status(&self) -> Response {
        let shared = &self.shared;
        let state = shared.state.get();
        let status = Status {
            daemon: shared.daemon_cfg.settings.daemon.clone(),
            incarnation: shared.daemon_cfg.incarnation,
            zone: shared.daemon_cfg.settings.zone.clone(),
            next: state.next,
            ticket: state.ticket,
            epoch: state.epoch,
            controller: state.controller.clone(),
            members: self.members(),
            state: (*state).clone(),
        };
        match serde_json::to_vec(&status) {
            Ok(text) => Response::json(StatusCode::OK, text),
            Err(e) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        }
    }

    fn members(&self) -> Vec<MemberStatus> {
        let endpoints = self.shared.endpoints.get();
        let upstream = |daemon: &str| {
            let endpoint = endpoints
                .iter()
                .find(|endpoint| endpoint.daemon == daemon)?;
            Some(format!("{} {}", endpoint.service, endpoint.version))
        };
        let peers = self.shared.peers.get();
        peers
            .iter()
            .map(|peer| MemberStatus {
                daemon: peer.daemon.clone(),
                zone: peer.zone.clone(),
                state: "alive".to_owned(),
                upstream: upstream(&peer.daemon),
            })
            .collect()
    }
}

impl Handler for LocalHandler {
    async fn handle(&self, req: Request) -> Response {
        match (&req.method, req.path()) {
            (&Method::POST, ANNOUNCE_PATH) => self.announce(&req),
            (&Method::GET, STATUS_PATH) => self.status(),
            (&Method::GET, METRICS_PATH) => self.shared.meter.metrics_response(),
            (&Method::GET, HISTORY_PATH) => self.shared.meter.history_response(),
            _ => Response::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

async fn expire(shared: SharedState, last_announced: Rc<Cell<Instant>>) {
    loop {
        monoio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
        if last_announced.get().elapsed() > ANNOUNCEMENT_TTL && shared.upstream.get().is_some() {
            log::warn!("local: the upstream stopped announcing itself; treating it as gone");
            shared.upstream.set(None);
        }
    }
}
