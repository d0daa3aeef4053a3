//! Route look-up by host and path, and the configuration in force.

use std::rc::Rc;

use base::FastMap;
use base::ServiceName;
use smol_str::SmolStr;

use crate::config::ClientLimits;
use crate::config::Config;
use crate::config::ConfigVersion;
use crate::config::Route;
use crate::config::Service;
use crate::customers::CustomerTable;

/// Routes of one configuration, indexed for look-up.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: ConfigVersion,
    /// Routes by lower-case host, the longest prefix first.
    by_host: FastMap<SmolStr, Vec<Rc<Route>>>,
    services: FastMap<ServiceName, Service>,
    customers: Option<CustomerTable>,
    limits: Option<ClientLimits>,
    hides_routes: bool,
    hides_keys: bool,
}

/// Result of [`ActiveTable::adopt`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// The configuration is in force now.
    Adopted,
    /// The configuration in force is at least as new.
    Stale,
}

impl RouteTable {
    /// Indexes the routes of a configuration.
    #[must_use]
    pub fn new(cfg: &Config) -> Self {
        let mut by_host: FastMap<SmolStr, Vec<Rc<Route>>> = FastMap::default();
        for route in &cfg.routes {
            let host = SmolStr::new(route.host.to_ascii_lowercase());
            by_host
                .entry(host)
                .or_default()
                .push(Rc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version: cfg.version,
            by_host,
            services: cfg.services.clone(),
            customers: cfg.customers.as_deref().map(CustomerTable::new),
            limits: Some(cfg.limits),
            hides_routes: cfg.unreadable.hides_routes,
            hides_keys: cfg.unreadable.hides_keys,
        }
    }

    /// Returns the limits on requests of clients; `None` in an empty table.
    #[must_use]
    pub fn limits(&self) -> Option<&ClientLimits> {
        self.limits.as_ref()
    }

    /// Returns the customers; `None` if the deployment has none, and requests carry no keys.
    #[must_use]
    pub fn customers(&self) -> Option<&CustomerTable> {
        self.customers.as_ref()
    }

    /// Whether a request that matches no route may belong to one that could not be read.
    #[must_use]
    pub fn hides_routes(&self) -> bool {
        self.hides_routes
    }

    /// Whether a key that no customer holds may be one that could not be read.
    #[must_use]
    pub fn hides_keys(&self) -> bool {
        self.hides_keys
    }

    /// Returns the version of the configuration that the table was built from.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns what the configuration says about a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Finds the route of `host` with the longest prefix of `path`. A port in `host` is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(name.to_ascii_lowercase().as_str())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }
}

/// The route table in force; it never returns to an older configuration.
#[derive(Debug, Default)]
pub struct ActiveTable {
    current: Option<Rc<RouteTable>>,
}

impl ActiveTable {
    /// Returns the table in force; `None` before the first configuration.
    #[must_use]
    pub fn current(&self) -> Option<&Rc<RouteTable>> {
        self.current.as_ref()
    }

    /// Returns the version of the configuration in force; 0 before the first one.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.current.as_ref().map_or(0, |table| table.version())
    }

    /// Puts a configuration in force unless the present one is at least as new.
    pub fn adopt(&mut self, cfg: &Config) -> Adoption {
        if self.current.is_some() && cfg.version <= self.version() {
            return Adoption::Stale;
        }
        self.current = Some(Rc::new(RouteTable::new(cfg)));
        Adoption::Adopted
    }
}
