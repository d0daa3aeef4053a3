//! What differs between two configurations.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;

use super::Place;
use crate::config::ClientLimits;
use crate::config::Config;
use crate::config::Route;
use crate::config::Service;
use crate::config::WeightedTarget;
use crate::customers::Customer;

/// How an entry differs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// Only the new configuration has it.
    Added,
    /// Only the configuration in force has it.
    Removed,
    /// A field has another value.
    Field {
        /// Name of the field.
        name: &'static str,
        /// Its value in the configuration in force.
        before: String,
        /// Its value in the new one.
        after: String,
    },
}

/// An entry that differs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Difference {
    /// The entry.
    pub place: Place,
    /// How it differs.
    pub change: Change,
}

/// Returns what differs between the configuration in force and a new one, sorted by place. Keys are counted and
/// not shown.
#[must_use]
pub fn differences(in_force: &Config, new: &Config) -> Vec<Difference> {
    let mut found = Vec::new();
    let routes = |cfg: &Config| index(&cfg.routes, |route| &route.name);
    compare(
        &routes(in_force),
        &routes(new),
        Place::Route,
        route_fields,
        &mut found,
    );
    let services = |cfg: &Config| cfg.services.clone().into_iter().collect();
    compare(
        &services(in_force),
        &services(new),
        Place::Service,
        service_fields,
        &mut found,
    );
    let customers = |cfg: &Config| {
        let customers = cfg.customers.as_deref().unwrap_or_default();
        index(customers, |customer| &customer.name)
    };
    let (old_customers, new_customers) = (customers(in_force), customers(new));
    compare(
        &old_customers,
        &new_customers,
        Place::Customer,
        customer_fields,
        &mut found,
    );
    compare_keys(&old_customers, &new_customers, &mut found);
    let limits = |cfg: &Config| BTreeMap::from([(SmolStr::default(), cfg.limits)]);
    compare(
        &limits(in_force),
        &limits(new),
        |_| Place::Limits,
        limit_fields,
        &mut found,
    );
    found.sort();
    found
}

/// Values of an entry, by name.
type Fields = Vec<(&'static str, String)>;

fn index<T: Clone>(entries: &[T], name: impl Fn(&T) -> &SmolStr) -> BTreeMap<SmolStr, T> {
    entries
        .iter()
        .map(|entry| (name(entry).clone(), entry.clone()))
        .collect()
}

fn compare<T>(
    before: &BTreeMap<SmolStr, T>,
    after: &BTreeMap<SmolStr, T>,
    place: impl Fn(SmolStr) -> Place,
    fields: impl Fn(&T) -> Fields,
    found: &mut Vec<Difference>,
) {
    let names: BTreeSet<&SmolStr> = before.keys().chain(after.keys()).collect();
    for name in names {
        let mut push = |change| {
            found.push(Difference {
                place: place(name.clone()),
                change,
            });
        };
        match (before.get(name), after.get(name)) {
            (None, _) => push(Change::Added),
            (_, None) => push(Change::Removed),
            (Some(before), Some(after)) => {
                let pairs = fields(before).into_iter().zip(fields(after));
                for ((name, before), (_, after)) in pairs.filter(|(old, new)| old != new) {
                    push(Change::Field {
                        name,
                        before,
                        after,
                    });
                }
            }
        }
    }
}

fn route_fields(route: &Route) -> Fields {
    vec![
        ("host", route.host.to_string()),
        ("prefix", route.prefix.to_string()),
        ("repeat", format!("{:?}", route.repeat)),
        ("attempts", route.max_attempts.to_string()),
        ("timeout", format!("{:?}", route.timeout)),
        ("target latency", format!("{:?}", route.target_latency)),
        ("rank", route.rank.to_string()),
        ("targets", targets_text(&route.targets)),
        ("public", route.is_public.to_string()),
    ]
}

fn targets_text(targets: &[WeightedTarget]) -> String {
    let texts: Vec<String> = targets
        .iter()
        .map(|target| format!("{}={}", target.service, target.weight))
        .collect();
    texts.join(" ")
}

fn service_fields(service: &Service) -> Fields {
    let cold = match service.cold {
        Some(cold) => format!("{} for {:?}", cold.rate, cold.time),
        None => "unlimited".to_owned(),
    };
    let health = service.health_path.as_deref().unwrap_or_default();
    vec![("cold instances", cold), ("health path", health.to_owned())]
}

fn customer_fields(customer: &Customer) -> Fields {
    let cap = match customer.cap {
        Some(cap) => format!("{}, {} at once", cap.rate, cap.burst),
        None => "unlimited".to_owned(),
    };
    let rank = customer
        .rank
        .map_or("of the route".to_owned(), |rank| rank.to_string());
    vec![("rank", rank), ("usage cap", cap)]
}

/// Counts the keys that a customer gains and loses.
fn compare_keys(
    before: &BTreeMap<SmolStr, Customer>,
    after: &BTreeMap<SmolStr, Customer>,
    found: &mut Vec<Difference>,
) {
    let keys = |customer: &Customer| -> BTreeSet<[u8; 32]> {
        customer.keys.iter().map(|key| key.0).collect()
    };
    for (name, old) in before {
        let Some(new) = after.get(name) else { continue };
        let (old, new) = (keys(old), keys(new));
        if old == new {
            continue;
        }
        let change = Change::Field {
            name: "keys",
            before: old.len().to_string(),
            after: format!(
                "{} ({} added, {} taken away)",
                new.len(),
                new.difference(&old).count(),
                old.difference(&new).count()
            ),
        };
        let place = Place::Customer(name.clone());
        found.push(Difference { place, change });
    }
}

fn limit_fields(limits: &ClientLimits) -> Fields {
    vec![
        ("largest head", format!("{} bytes", limits.max_head)),
        ("largest body", format!("{} bytes", limits.max_body)),
        ("head timeout", format!("{:?}", limits.head_timeout)),
        (
            "keep-alive timeout",
            format!("{:?}", limits.keep_alive_timeout),
        ),
    ]
}
