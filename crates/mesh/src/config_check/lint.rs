//! Doubtful entries of a valid configuration.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use smol_str::SmolStr;

use super::Finding;
use super::Kind;
use super::Place;
use super::SentRates;
use crate::config::ClientLimits;
use crate::config::Config;
use crate::config::Route;
use crate::config::Service;
use crate::customers::Customer;

/// Returns the doubtful entries of a configuration, sorted by place. `sent` holds what customers are measured
/// to send, if that is known.
#[must_use]
pub fn findings(cfg: &Config, sent: &SentRates) -> Vec<Finding> {
    let mut found = Vec::new();
    for route in &cfg.routes {
        check_route(route, &mut found);
    }
    check_shadowed(&cfg.routes, &mut found);
    check_services(cfg, &mut found);
    if let Some(customers) = &cfg.customers {
        for customer in customers {
            check_customer(customer, sent, &mut found);
        }
        check_keyed_routes(&cfg.routes, customers, &mut found);
    }
    check_limits(&cfg.limits, &mut found);
    found.sort();
    found
}

fn never(place: Place, reason: impl Into<String>) -> Finding {
    Finding {
        place,
        kind: Kind::NeverMatches,
        reason: reason.into(),
    }
}

fn contradiction(place: Place, reason: impl Into<String>) -> Finding {
    Finding {
        place,
        kind: Kind::Contradiction,
        reason: reason.into(),
    }
}

fn check_route(route: &Route, found: &mut Vec<Finding>) {
    let place = || Place::Route(route.name.clone());
    if route.host.is_empty() {
        found.push(never(place(), "the host is empty"));
    }
    if route.host.contains(':') {
        found.push(never(
            place(),
            "the host has a port, which look-ups leave out",
        ));
    }
    if !route.prefix.starts_with('/') {
        found.push(never(place(), "the prefix does not begin with a slash"));
    }
    if !route.prefix.ends_with('/') {
        found.push(contradiction(
            place(),
            "the prefix does not end with a slash, so it also matches the beginnings of longer names",
        ));
    }
    if route.timeout < route.target_latency {
        let reason = format!(
            "the timeout of {:?} is below the target latency of {:?}",
            route.timeout, route.target_latency
        );
        found.push(contradiction(place(), reason));
    }
    for target in &route.targets {
        if target.weight <= 0.0 {
            let reason = format!(
                "the target {} has weight 0 and gets no request",
                target.service
            );
            found.push(never(place(), reason));
        }
    }
    let mut services = BTreeSet::new();
    for target in &route.targets {
        if !services.insert(&target.service) {
            let reason = format!("the target {} is listed more than once", target.service);
            found.push(contradiction(place(), reason));
        }
    }
}

/// Finds routes with the host and prefix of another; one of them gets no request, and which one depends on the
/// order in which they are read.
fn check_shadowed(routes: &[Route], found: &mut Vec<Finding>) {
    let mut by_match: BTreeMap<(String, &SmolStr), Vec<&SmolStr>> = BTreeMap::new();
    for route in routes {
        let key = (route.host.to_ascii_lowercase(), &route.prefix);
        by_match.entry(key).or_default().push(&route.name);
    }
    for names in by_match.values_mut() {
        names.sort();
        for name in &names[1..] {
            let reason = format!("host and prefix are those of route {}", names[0]);
            found.push(never(Place::Route((*name).clone()), reason));
        }
    }
}

fn check_services(cfg: &Config, found: &mut Vec<Finding>) {
    let targets = cfg.routes.iter().flat_map(|route| &route.targets);
    let used: BTreeSet<&SmolStr> = targets
        .filter(|target| target.weight > 0.0)
        .map(|target| &target.service)
        .collect();
    for (name, service) in &cfg.services {
        let place = || Place::Service(name.clone());
        if !used.contains(name) {
            found.push(never(place(), "no route leads to it"));
        }
        let Service { cold, .. } = service;
        if cold.is_some_and(|cold| cold.time.is_zero()) {
            found.push(never(
                place(),
                "the limit of cold instances has no effect, as they are never cold",
            ));
        }
    }
}

fn check_customer(customer: &Customer, sent: &SentRates, found: &mut Vec<Finding>) {
    let place = || Place::Customer(customer.name.clone());
    if customer.keys.is_empty() {
        found.push(never(place(), "it has no key"));
    }
    let distinct: BTreeSet<[u8; 32]> = customer.keys.iter().map(|key| key.0).collect();
    if distinct.len() < customer.keys.len() {
        found.push(contradiction(
            place(),
            "one of its keys is listed more than once",
        ));
    }
    let Some(cap) = customer.cap else { return };
    if cap.burst == 0 {
        found.push(contradiction(
            place(),
            "the usage cap allows no requests at once",
        ));
    } else if f64::from(cap.burst) > cap.rate.per_sec() * MAX_BURST_TIME.as_secs_f64() {
        let reason = format!(
            "the burst of {} is more than {MAX_BURST_TIME:?} of the usage cap of {}",
            cap.burst, cap.rate
        );
        found.push(contradiction(place(), reason));
    }
    if let Some(sent) = sent.get(&customer.name)
        && *sent > cap.rate
    {
        let reason = format!(
            "the usage cap of {} is below the {sent} that it sends",
            cap.rate
        );
        found.push(contradiction(place(), reason));
    }
}

/// Longest time of the rate that a burst may amount to; a larger one makes the rate meaningless.
const MAX_BURST_TIME: Duration = Duration::from_mins(1);

fn check_keyed_routes(routes: &[Route], customers: &[Customer], found: &mut Vec<Finding>) {
    if customers.iter().any(|customer| !customer.keys.is_empty()) {
        return;
    }
    for route in routes.iter().filter(|route| !route.is_public) {
        let place = Place::Route(route.name.clone());
        found.push(never(place, "it needs a key, and no customer has one"));
    }
}

fn check_limits(limits: &ClientLimits, found: &mut Vec<Finding>) {
    if limits.max_head == 0 {
        found.push(contradiction(
            Place::Limits,
            "no request head fits the limit of 0 bytes",
        ));
    }
    if limits.head_timeout.is_zero() {
        found.push(contradiction(
            Place::Limits,
            "there is no time for receiving a request head",
        ));
    }
    if limits.keep_alive_timeout < limits.head_timeout {
        let reason = format!(
            "an idle connection is closed after {:?}, before the {:?} for a request head",
            limits.keep_alive_timeout, limits.head_timeout
        );
        found.push(contradiction(Place::Limits, reason));
    }
}
