//! Customers of a deployment: their keys, priorities and usage caps.

use std::fmt;
use std::rc::Rc;

use base::FastMap;
use base::FastSet;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use smol_str::SmolStr;
use subtle::ConstantTimeEq;

use crate::caps::Cap;
use crate::config::RANKS;
use crate::config::Rank;

/// Name of a customer, unique within a configuration.
pub type CustomerName = SmolStr;

/// Part of the hash of a key by which daemons refer to it among each other.
pub type KeyId = u64;

/// Most customers with a name of their own in metrics; the others of a configuration share one.
const MAX_LABELS: usize = 20;

/// Name in metrics of the customers that have none of their own.
const REST_LABEL: CustomerName = SmolStr::new_static("(rest)");

/// A customer of the deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// Its name, which instances get with its requests.
    pub name: CustomerName,
    /// Hashes of its keys; the keys themselves are not kept.
    pub keys: Vec<KeyHash>,
    /// Priority of its requests; `None` if the route decides.
    pub rank: Option<Rank>,
    /// Usage cap over all daemons; `None` if there is no limit.
    pub cap: Option<Cap>,
}

/// Hash of a customer's key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyHash(pub [u8; 32]);

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

impl KeyHash {
    /// Hashes a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the part of the hash by which daemons refer to the key.
    #[must_use]
    pub fn id(&self) -> KeyId {
        self.0
            .first_chunk()
            .map_or(0, |bytes| KeyId::from_be_bytes(*bytes))
    }
}

/// A customer that holds the same key as another one, so that the key does not tell whose a request is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedKey {
    /// Name of the customer.
    pub customer: CustomerName,
    /// Name of the other one.
    pub other: CustomerName,
}

/// Takes the keys that several customers hold from all of them. Returns each pair of holders once by the name of
/// either.
pub fn take_shared_keys<'a>(customers: impl Iterator<Item = &'a mut Customer>) -> Vec<SharedKey> {
    let mut customers: Vec<&mut Customer> = customers.collect();
    let mut holders: FastMap<KeyId, Vec<CustomerName>> = FastMap::default();
    for customer in &customers {
        for key in &customer.keys {
            let holders = holders.entry(key.id()).or_default();
            if !holders.contains(&customer.name) {
                holders.push(customer.name.clone());
            }
        }
    }
    let is_shared = |key: &KeyHash| holders[&key.id()].len() > 1;
    let mut shared = Vec::new();
    for customer in &mut customers {
        let keys = customer.keys.iter().filter(|key| is_shared(key));
        for other in keys.flat_map(|key| &holders[&key.id()]) {
            let pair = SharedKey {
                customer: customer.name.clone(),
                other: other.clone(),
            };
            if pair.customer != pair.other && !shared.contains(&pair) {
                shared.push(pair);
            }
        }
        customer.keys.retain(|key| !is_shared(key));
    }
    shared
}

/// The customers of one configuration, indexed by their keys.
#[derive(Debug, Default)]
pub struct CustomerTable {
    customers: Vec<Rc<Customer>>,
    by_key: FastMap<KeyId, (KeyHash, Rc<Customer>)>,
    labels: FastSet<CustomerName>,
}

impl CustomerTable {
    /// Indexes customers that share no key.
    #[must_use]
    pub fn new(customers: &[Customer]) -> Self {
        let customers: Vec<Rc<Customer>> = customers.iter().cloned().map(Rc::new).collect();
        let mut by_cap: Vec<&Rc<Customer>> = customers.iter().collect();
        by_cap.sort_by(|a, b| {
            cap_order(a)
                .total_cmp(&cap_order(b))
                .then(a.name.cmp(&b.name))
        });
        let largest = by_cap.iter().take(MAX_LABELS);
        let labels = largest.map(|customer| customer.name.clone()).collect();
        let mut by_key = FastMap::default();
        for customer in &customers {
            for key in &customer.keys {
                by_key.insert(key.id(), (*key, Rc::clone(customer)));
            }
        }
        Self {
            customers,
            by_key,
            labels,
        }
    }

    /// Finds the customer that holds a key. Takes as long for a wrong key with a known id as for the right one.
    #[must_use]
    pub fn find(&self, key: &KeyHash) -> Option<&Rc<Customer>> {
        let (held, customer) = self.by_key.get(&key.id())?;
        bool::from(held.0.ct_eq(&key.0)).then_some(customer)
    }

    /// Returns the name of a customer in metrics: its own for those with the largest caps, the same at all daemons.
    #[must_use]
    pub fn label(&self, customer: &Customer) -> CustomerName {
        if self.labels.contains(&customer.name) {
            customer.name.clone()
        } else {
            REST_LABEL
        }
    }

    /// Whether the customer of a forwarded request still holds the key with which it came.
    #[must_use]
    pub fn still_holds(&self, head: &CustomerHead) -> bool {
        let holder = self.by_key.get(&head.key);
        holder.is_some_and(|(_, customer)| customer.name == head.name)
    }

    /// Returns all customers, unordered.
    pub fn customers(&self) -> impl Iterator<Item = &Rc<Customer>> {
        self.customers.iter()
    }

    /// Returns the number of customers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Whether there is no customer.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }
}

/// Returns the priority of a request on a route of this rank: that of its customer before that of the route. A request
/// without a customer, or of one without a rank, counts as one of a customer with the rank of the route.
#[must_use]
pub fn rank_of(customer: Option<&Customer>, route: Rank) -> Rank {
    let last = RANKS - 1;
    let customer = customer.and_then(|customer| customer.rank).unwrap_or(route);
    customer.min(last) * RANKS + route.min(last)
}

/// Sort key of customers, those with the largest caps first; one without a cap may send more than any other.
fn cap_order(customer: &Customer) -> f64 {
    customer
        .cap
        .map_or(f64::NEG_INFINITY, |cap| -cap.rate.per_sec())
}

/// The customer of a client's request, by the key with which it came.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The customer, as the configuration in force defines it.
    pub customer: Rc<Customer>,
    /// Key with which the request came.
    pub key: KeyId,
    /// Name in metrics.
    pub label: CustomerName,
}

impl Identity {
    /// Returns what goes with the request to another daemon.
    #[must_use]
    pub fn head(&self) -> CustomerHead {
        CustomerHead {
            name: self.customer.name.clone(),
            key: self.key,
        }
    }
}

/// The customer of a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerHead {
    /// Name of the customer.
    pub name: CustomerName,
    /// Key with which the request came.
    pub key: KeyId,
}
