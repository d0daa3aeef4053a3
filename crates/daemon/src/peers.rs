//! Serves the inner protocol: dispatches each request to the part that answers it.

use std::rc::Rc;

use http::StatusCode;
use http_edge::Handler;
use http_edge::Request;
use http_edge::Response;
use protocol::paths;
use report::metrics::Direction;
use report::metrics::Purpose;

use crate::calls::UpstreamSide;
use crate::control::Control;
use crate::feed::Feed;
use crate::members::Members;
use crate::meter::Meter;

/// Dispatches requests of other daemons by path, and counts bytes of the control plane.
pub(crate) struct PeerHandler {
    pub(crate) calls: Rc<UpstreamSide>,
    pub(crate) feed: Rc<Feed>,
    pub(crate) members: Rc<Members>,
    pub(crate) control: Rc<Control>,
    pub(crate) meter: Rc<Meter>,
}

impl PeerHandler {
    async fn dispatch(&self, req: Request) -> Response {
        match req.path() {
            paths::CALL => self.calls.call(req).await,
            paths::RESOLVE => self.calls.resolve(req).await,
            paths::FEED => self.feed.handle_request(&req).await,
            paths::SNAPSHOT => self.feed.snapshot(&req),
            paths::MEMBERS => self.members.sync(&req).await,
            paths::EVIDENCE => self.control.handle_message(&req),
            _ => Response::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl Handler for PeerHandler {
    async fn handle(&self, req: Request) -> Response {
        let Some(purpose) = purpose(req.path()) else {
            return self.dispatch(req).await;
        };
        self.meter
            .record_control_bytes(purpose, Direction::Received, req.wire_size());
        let res = self.dispatch(req).await;
        self.meter
            .record_control_bytes(purpose, Direction::Sent, res.wire_size());
        res
    }
}

/// Purpose of a control-plane request. `None` for calls, which are not part of the control plane,
/// and for member syncs, which are counted with the probes.
fn purpose(path: &str) -> Option<Purpose> {
    match path {
        paths::FEED | paths::SNAPSHOT => Some(Purpose::Feed),
        paths::EVIDENCE => Some(Purpose::Evidence),
        _ => None,
    }
}
