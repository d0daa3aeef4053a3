//! In-memory stand-in for the platform's append-only log, with fault injection.
//!
//! It serves the protocol of [`platform::wire`]; the number of streams and the bytes of each are
//! limited. `POST /faults` sets [`Faults`], `GET /counters` returns [`Counters`].

mod counters;
mod faults;
mod service;
mod store;
mod token_bucket;

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

/// Default rate limit, in appends per second over all streams.
pub const DEFAULT_APPENDS_PER_SECOND: u32 = 400;

/// Settings of the stand-in; [`Faults`] can change them later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cfg {
    /// Limits on the records that each stream retains.
    pub retention: Retention,
    /// Rate limit, in appends per second over all streams.
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

/// A running log: its listener and the state that all requests share.
pub struct LogServer {
    server: Server,
    service: Rc<Service>,
}

/// Serves the log on a listening socket. Must be called within a monoio runtime.
pub fn serve(listener: TcpListener, cfg: Cfg) -> LogServer {
    let service = Rc::new(Service::new(cfg));
    let server = Server::start(listener, Rc::clone(&service), ServerCfg::default());
    LogServer { server, service }
}

/// Serves the log on a free port of 127.0.0.1 and returns the address.
///
/// # Errors
/// When the socket cannot be opened.
pub fn serve_local(cfg: Cfg) -> std::io::Result<(LogServer, SocketAddr)> {
    let listener = http_edge::listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = listener.local_addr()?;
    Ok((serve(listener, cfg), address))
}

impl LogServer {
    /// Sets the faults that are present in `faults`; the others stay as they are.
    pub fn set_faults(&self, faults: &Faults) {
        self.service.set_faults(faults);
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.service.counters()
    }

    /// Closes the listener and waits up to `drain_timeout` for responses in progress.
    pub async fn close(self, drain_timeout: Duration) {
        self.server.close(drain_timeout).await;
    }
}

#[cfg(test)]
mod tests;
