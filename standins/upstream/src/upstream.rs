//! A running upstream.

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

use crate::announcer::Announcer;
use crate::announcer::PERIOD;
use crate::faults::Announcements;
use crate::service::Service;

/// Longest time that a draining upstream waits for what runs.
const DRAIN_PATIENCE: Duration = Duration::from_secs(30);

/// Settings of an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamCfg {
    /// Where it takes calls.
    pub listen: SocketAddr,
    /// Local address of the daemon beside it; `None` for an upstream that nobody knows.
    pub announce: Option<SocketAddr>,
    /// Service that it serves.
    pub service: ServiceName,
    /// Version that it runs.
    pub version: VersionName,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Time from its start to full speed.
    pub cold_start: Duration,
    /// Time that a call takes at full speed.
    pub service_time: Duration,
}

/// A running upstream.
pub struct Upstream {
    address: SocketAddr,
    service: Rc<Service>,
    server: Server,
}

impl Upstream {
    /// Starts to listen and to announce.
    ///
    /// # Errors
    /// When the address is taken or not ours.
    pub fn start(cfg: UpstreamCfg) -> io::Result<Self> {
        let listener = listen(cfg.listen)?;
        let address = listener.local_addr()?;
        let service = Rc::new(Service::new(cfg.clone()));
        let server = Server::start(listener, Rc::clone(&service), ServerCfg::default());
        if let Some(daemon) = cfg.announce {
            let announcer = Announcer::new(daemon);
            monoio::spawn(announce(announcer, cfg, address, Rc::clone(&service)));
        }
        Ok(Self {
            address,
            service,
            server,
        })
    }

    /// Where it takes calls.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its state: faults, runs, drain.
    #[must_use]
    pub fn service(&self) -> &Rc<Service> {
        &self.service
    }

    /// Refuses new work, finishes what runs, and closes.
    pub async fn close(self) {
        self.service.draining().set();
        // The daemon hears of it before the listener goes.
        monoio::time::sleep(PERIOD).await;
        self.server.close(DRAIN_PATIENCE).await;
    }
}

async fn announce(
    mut announcer: Announcer,
    cfg: UpstreamCfg,
    address: SocketAddr,
    service: Rc<Service>,
) {
    loop {
        if service.faults().announcements == Announcements::Sent {
            let announcement = announcement(&cfg, address, &service);
            announcer.send(&announcement).await;
        }
        if service.draining().is_set() {
            monoio::time::sleep(PERIOD).await;
            continue;
        }
        // A drain is announced at once.
        monoio::select! {
            () = monoio::time::sleep(PERIOD) => {}
            () = service.draining().wait() => {}
        }
    }
}

fn announcement(cfg: &UpstreamCfg, address: SocketAddr, service: &Service) -> Announcement {
    Announcement {
        service: cfg.service.clone(),
        version: cfg.version.clone(),
        address,
        slots: cfg.slots,
        cold_start: cfg.cold_start,
        phase: service.phase(),
    }
}
