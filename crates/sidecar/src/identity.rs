//! Customers of requests: whose key a request carries, and whether it may run.

use std::rc::Rc;
use std::time::Instant;

use http_edge::Request;
use mesh::ConfigVersion;
use mesh::config::Route;
use mesh::customers::CustomerHead;
use mesh::customers::Identity;
use mesh::table::RouteTable;
use protocol::call::NotRun;
use protocol::call::NotRunReason;
use serde_json::json;
use users_platform::requests;
use users_platform::requests::RequestKey;
use users_platform::responses::DaemonResponse;

use crate::ingress::NO_INSTANCE_RETRY;
use crate::logs::EventClass;
use crate::node::Node;

/// Whose request it is.
#[derive(Debug, Clone)]
pub enum Identified {
    /// The deployment has no customers, or the route needs no key and the request carries none that is known.
    Nobody,
    /// The request of this customer.
    Customer(Identity),
    /// The request does not run.
    Refused(DaemonResponse),
}

/// Why a request with a missing or unknown key does not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KeyFault {
    /// It carries no key.
    Missing,
    /// It carries several keys, or something that is no key.
    Malformed,
    /// No customer holds the key.
    Unknown,
    /// The configuration in force does not have the key, but a later one that is on its way may.
    ConfigPending,
    /// The same; this daemon cannot prove that there is no later one.
    Unproven,
    /// The configuration in force does not have the key, but holds some that cannot be read.
    Unreadable,
}

impl Node {
    /// Finds the customer of a client's request by its key.
    pub fn identify(
        &self,
        table: &RouteTable,
        route: &Route,
        req: &Request,
        id: &str,
    ) -> Identified {
        let Some(customers) = table.customers() else {
            return Identified::Nobody;
        };
        let key = requests::decode_key(req);
        if let RequestKey::Key(hash) = key
            && let Some(customer) = customers.find(&hash)
        {
            let identity = Identity {
                customer: Rc::clone(customer),
                key: hash.id(),
                label: customers.label(customer),
            };
            return self.identify_holder(identity, route, id);
        }
        if route.is_public {
            return Identified::Nobody;
        }
        let fault = match key {
            RequestKey::Missing => KeyFault::Missing,
            RequestKey::Malformed => KeyFault::Malformed,
            RequestKey::Key(_) if self.is_config_pending() => KeyFault::ConfigPending,
            RequestKey::Key(_) if self.unproven_key().is_some() => KeyFault::Unproven,
            RequestKey::Key(_) if table.hides_keys() => KeyFault::Unreadable,
            RequestKey::Key(_) => KeyFault::Unknown,
        };
        let res = match fault {
            KeyFault::Missing | KeyFault::Malformed | KeyFault::Unknown => {
                DaemonResponse::UnknownKey
            }
            KeyFault::ConfigPending | KeyFault::Unproven | KeyFault::Unreadable => {
                DaemonResponse::NotRun(NO_INSTANCE_RETRY)
            }
        };
        self.record_key_fault(fault, table.version(), route, id);
        Identified::Refused(res)
    }

    /// Decides on a request whose key a customer holds. Without a proof that it still does, the request runs as
    /// nobody's on a route that needs no key, and not at all on another.
    fn identify_holder(&self, identity: Identity, route: &Route, id: &str) -> Identified {
        let Some(not_run) = self.unproven_key() else {
            return Identified::Customer(identity);
        };
        if route.is_public {
            return Identified::Nobody;
        }
        let version = self.active_table.borrow().version();
        self.record_key_fault(KeyFault::Unproven, version, route, id);
        let after = not_run.retry_after.unwrap_or(NO_INSTANCE_RETRY);
        Identified::Refused(DaemonResponse::NotRun(after))
    }

    fn record_key_fault(&self, fault: KeyFault, version: ConfigVersion, route: &Route, id: &str) {
        let label = match fault {
            KeyFault::Missing => "key-missing",
            KeyFault::Malformed => "key-malformed",
            KeyFault::Unknown => "key-unknown",
            KeyFault::ConfigPending => "key-config-pending",
            KeyFault::Unproven => "key-unproven",
            KeyFault::Unreadable => "key-unreadable",
        };
        self.metrics.record_not_run(label);
        let now = Instant::now();
        self.event_log
            .emit(EventClass::Failure, "key-refused", now, || {
                json!({
                    "request": id,
                    "route": route.name,
                    "config": version,
                    "reason": label,
                    "proof_age_ms": self.proof_age().map(|age| age.as_millis()),
                })
            });
    }

    /// Whether another daemon has announced a later configuration that is not here yet.
    fn is_config_pending(&self) -> bool {
        self.config_sources.borrow().announced() > self.active_table.borrow().version()
    }

    /// Returns why a request with a customer's key may not run now, if so. `config` is the version of the
    /// configuration by which the customer was found; an older one here cannot tell that the key is gone.
    pub fn key_refusal(&self, head: &CustomerHead, config: ConfigVersion) -> Option<NotRun> {
        let table = self.active_table.borrow();
        if let Some(table) = table.current()
            && let Some(customers) = table.customers()
            && table.version() >= config
            && !customers.still_holds(head)
        {
            return Some(NotRun {
                reason: NotRunReason::KeyUnproven,
                retry_after: Some(NO_INSTANCE_RETRY),
            });
        }
        drop(table);
        self.unproven_key()
    }

    /// Logs what a configuration says of its customers that may be a mistake.
    pub fn log_customers(&self, table: &RouteTable) {
        let Some(customers) = table.customers() else {
            return;
        };
        let without_keys = customers
            .customers()
            .filter(|customer| customer.keys.is_empty());
        let names: Vec<_> = without_keys.map(|customer| &customer.name).collect();
        if !names.is_empty() {
            self.log_state("customers-without-keys", || {
                json!({
                    "version": table.version(),
                    "customers": names.len(),
                    "first": names.iter().min(),
                })
            });
        }
    }
}
