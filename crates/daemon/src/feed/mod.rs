//! Records, lease and facts: from the log or a parent to this daemon, and on to its children.

mod hub;
mod log_reader;
mod pull;
mod server;

use std::rc::Rc;

use http_edge::Request;
use http_edge::Response;
use platform::LogCfg;

use self::hub::Hub;
use crate::members::Members;
use crate::shared_state::SharedState;

/// Handle of the feed's tasks.
pub struct Feed {
    hub: Rc<Hub>,
}

impl Feed {
    /// Starts to read, from the log or from a parent as the members place this daemon.
    #[must_use]
    pub fn start(shared: &SharedState, members: &Rc<Members>) -> Rc<Self> {
        let hub = Rc::new(Hub::new(shared));
        monoio::spawn(pull::run(Rc::clone(&hub), Rc::clone(members)));
        monoio::spawn(log_reader::run(Rc::clone(&hub), Rc::clone(members)));
        Rc::new(Self { hub })
    }

    /// One exchange with a child.
    pub async fn handle_request(&self, req: &Request) -> Response {
        server::feed(&self.hub, req).await
    }

    /// Whole state for a daemon that starts.
    pub fn snapshot(&self, _req: &Request) -> Response {
        server::snapshot(&self.hub)
    }
}

/// Settings of clients of the log.
pub(crate) fn log_cfg(shared: &SharedState) -> LogCfg {
    let settings = &shared.daemon_cfg.settings;
    LogCfg {
        connect_timeout: settings.timing.connect,
        request_timeout: settings.log.timeout,
        seed: base::hash::stable(&[settings.daemon.as_bytes()]),
        ..LogCfg::default()
    }
}
