//! The inner protocol's address: hands each request to the part that it is for.

use std::rc::Rc;

use http::StatusCode;
use http_edge::Handler;
use http_edge::Request;
use http_edge::Response;
use protocol::paths;

use crate::calls::UpstreamSide;
use crate::control::Control;
use crate::feed::Feed;
use crate::members::Members;

/// Parts that take requests from other daemons.
pub(crate) struct Peers {
    pub(crate) calls: Rc<UpstreamSide>,
    pub(crate) feed: Rc<Feed>,
    pub(crate) members: Rc<Members>,
    pub(crate) control: Rc<Control>,
}

impl Handler for Peers {
    async fn handle(&self, req: Request) -> Response {
        match req.path() {
            paths::CALL => self.calls.call(req).await,
            paths::RESOLVE => self.calls.resolve(req).await,
            paths::FEED => self.feed.feed(&req).await,
            paths::SNAPSHOT => self.feed.snapshot(&req),
            paths::MEMBERS => self.members.sync(&req).await,
            paths::EVIDENCE => self.control.evidence(&req),
            _ => Response::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
