//! The inner protocol's address: hands each request to the part that it is for.

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

/// Parts that take requests from other daemons.
pub(crate) struct Peers {
    pub(crate) calls: Rc<UpstreamSide>,
    pub(crate) feed: Rc<Feed>,
    pub(crate) members: Rc<Members>,
    pub(crate) control: Rc<Control>,
    pub(crate) meter: Rc<Meter>,
}

impl Peers {
    async fn answer(&self, req: Request) -> Response {
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

impl Handler for Peers {
    async fn handle(&self, req: Request) -> Response {
        let Some(purpose) = purpose(req.path()) else {
            return self.answer(req).await;
        };
        self.meter
            .record_control_bytes(purpose, Direction::Received, req.wire_size());
        let res = self.answer(req).await;
        self.meter
            .record_control_bytes(purpose, Direction::Sent, res.wire_size());
        res
    }
}

/// What a request of the control plane is for; `None` for calls, and for syncs of members, which
/// are counted with the probes.
fn purpose(path: &str) -> Option<Purpose> {
    match path {
        paths::FEED | paths::SNAPSHOT => Some(Purpose::Feed),
        paths::EVIDENCE => Some(Purpose::Evidence),
        _ => None,
    }
}
