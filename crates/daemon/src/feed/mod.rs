//! The feed: takes records, lease and rollbacks from the log or a parent and passes them on to
//! children.

mod log_reader;
mod pull;
mod server;
mod state;

use std::rc::Rc;

use http_edge::Request;
use http_edge::Response;
use platform::LogCfg;

use self::state::FeedState;
use crate::members::Members;
use crate::shared_state::SharedState;

/// Handle of the feed tasks.
pub struct Feed {
    feed_state: Rc<FeedState>,
}

impl Feed {
    /// Starts to read from the log or a parent, whichever the placement of this daemon says.
    #[must_use]
    pub fn start(shared: &SharedState, members: &Rc<Members>) -> Rc<Self> {
        let feed_state = Rc::new(FeedState::new(shared));
        monoio::spawn(pull::run(Rc::clone(&feed_state), Rc::clone(members)));
        monoio::spawn(log_reader::run(Rc::clone(&feed_state), Rc::clone(members)));
        Rc::new(Self { feed_state })
    }

    /// Answers a feed request of a child.
    pub async fn handle_request(&self, req: &Request) -> Response {
        server::handle_request(&self.feed_state, req).await
    }

    /// Response with the complete state.
    pub fn snapshot(&self, _req: &Request) -> Response {
        server::state_response(&self.feed_state)
    }
}

/// Configuration of log clients, from the settings.
pub(crate) fn log_cfg(shared: &SharedState) -> LogCfg {
    let settings = &shared.daemon_cfg.settings;
    LogCfg {
        connect_timeout: settings.timing.connect,
        request_timeout: settings.log.timeout,
        seed: base::hash::stable(&[settings.daemon.as_bytes()]),
        ..LogCfg::default()
    }
}
