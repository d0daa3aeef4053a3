//! Stand-in for the platform's append-only log, with switches for its faults.
//!
//! It speaks the protocol of [`platform::wire`] and keeps everything in memory, within bounds.
//! `POST /faults` takes [`Faults`], `GET /counters` gives [`Counters`].

mod bucket;
mod counters;
mod faults;
mod service;
mod store;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_edge::Server;
use http_edge::ServerCfg;
use monoio::net::TcpListener;

pub use counters::Counters;
pub use counters::StreamCounters;
pub use faults::Faults;
pub use faults::Outage;
pub use store::Retention;

use crate::service::Service;

/// Appends a second that the log takes by default.
pub const DEFAULT_APPENDS_PER_SECOND: u32 = 400;

/// Settings of the stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cfg {
    /// Records that each stream keeps.
    pub retention: Retention,
    /// Appends a second, over all streams.
    pub appends_per_second: u32,
}

impl Default for Cfg {
    fn default() -> Self {
        Self {
            retention: Retention::default(),
            appends_per_second: DEFAULT_APPENDS_PER_SECOND,
        }
    }
}

/// A running log.
pub struct LogServer {
    server: Server,
    service: Rc<Service>,
}

/// Serves the log on a listening socket. Must be called on a runtime.
pub fn serve(listener: TcpListener, cfg: Cfg) -> LogServer {
    let service = Rc::new(Service::new(cfg));
    let server = Server::start(listener, Rc::clone(&service), ServerCfg::default());
    LogServer { server, service }
}

/// Serves the log on a free port of the loopback address.
///
/// # Errors
/// When no socket can be opened.
pub fn serve_local(cfg: Cfg) -> std::io::Result<(LogServer, SocketAddr)> {
    let listener = http_edge::listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = listener.local_addr()?;
    Ok((serve(listener, cfg), address))
}

impl LogServer {
    /// Switches faults on or off.
    pub fn set_faults(&self, faults: &Faults) {
        self.service.set_faults(faults);
    }

    /// What the log has done so far.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.service.counters()
    }

    /// Stops to listen and lets answers under way go out.
    pub async fn close(self, patience: Duration) {
        self.server.close(patience).await;
    }
}

#[cfg(test)]
mod tests;
