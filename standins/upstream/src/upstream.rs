//! Lifecycle of an upstream: start, announcements, drain and close.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::ServiceName;
use base::VersionName;
use http_edge::Server;
use http_edge::ServerCfg;
use http_edge::listen;
use protocol::announce::Announcement;

use crate::announcer::ANNOUNCE_INTERVAL;
use crate::announcer::Announcer;
use crate::faults::Announcements;
use crate::service::Service;

/// Time limit for running calls to finish while the upstream closes.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Settings of an upstream, from the command line or a test.
#[derive(Debug, Clone)]
pub struct UpstreamCfg {
    /// Address on which it accepts calls; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Local address of the daemon to which it announces itself; `None` sends no announcements.
    pub announce: Option<SocketAddr>,
    /// Service whose calls it runs, as announced.
    pub service: ServiceName,
    /// Version that it announces and writes into each response body.
    pub version: VersionName,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Time from the start until calls run at full speed.
    pub cold_start: Duration,
    /// Duration of a call at full speed.
    pub service_time: Duration,
}

/// A running upstream: its listener and the state that all its requests share.
pub struct Upstream {
    address: SocketAddr,
    service: Rc<Service>,
    server: Server,
}

impl Upstream {
    /// Opens the listener and begins to send announcements.
    ///
    /// # Errors
    /// When the address is in use or does not belong to this machine.
    pub fn start(cfg: UpstreamCfg) -> io::Result<Self> {
        let listener = listen(cfg.listen)?;
        let address = listener.local_addr()?;
        let service = Rc::new(Service::new(cfg.clone()));
        let server = Server::start(listener, Rc::clone(&service), ServerCfg::default());
        if let Some(daemon) = cfg.announce {
            let announcer = Announcer::new(daemon);
            monoio::spawn(announce_periodically(
                announcer,
                cfg,
                address,
                Rc::clone(&service),
            ));
        }
        Ok(Self {
            address,
            service,
            server,
        })
    }

    /// Returns the address on which it accepts calls, with the port that was bound.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the shared state: faults, counts of runs, and the drain latch.
    #[must_use]
    pub fn service(&self) -> &Rc<Service> {
        &self.service
    }

    /// Refuses new calls, waits for running calls up to the drain timeout, and closes the listener.
    pub async fn close(self) {
        self.service.draining().set();
        // Gives the announcement of the drain time to reach the daemon before the listener closes.
        monoio::time::sleep(ANNOUNCE_INTERVAL).await;
        self.server.close(DRAIN_TIMEOUT).await;
    }
}

async fn announce_periodically(
    mut announcer: Announcer,
    cfg: UpstreamCfg,
    address: SocketAddr,
    service: Rc<Service>,
) {
    loop {
        if service.faults().announcements == Announcements::Sent {
            let announcement = current_announcement(&cfg, address, &service);
            announcer.send(&announcement).await;
        }
        if service.draining().is_set() {
            monoio::time::sleep(ANNOUNCE_INTERVAL).await;
            continue;
        }
        // The latch wakes the loop, so that a drain is announced without delay.
        monoio::select! {
            () = monoio::time::sleep(ANNOUNCE_INTERVAL) => {}
            () = service.draining().wait() => {}
        }
    }
}

fn current_announcement(cfg: &UpstreamCfg, address: SocketAddr, service: &Service) -> Announcement {
    Announcement {
        service: cfg.service.clone(),
        version: cfg.version.clone(),
        address,
        slots: cfg.slots,
        cold_start: cfg.cold_start,
        phase: service.phase(),
    }
}
