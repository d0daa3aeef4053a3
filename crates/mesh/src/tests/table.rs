//! Tests of route look-up, weighted targets and the adoption of configurations.

use std::time::Duration;

use ledger::Idempotency;

use crate::config::ClientLimits;
use crate::config::Config;
use crate::config::ConfigVersion;
use crate::config::MAX_WEIGHT;
use crate::config::Route;
use crate::config::Service;
use crate::config::Unreadable;
use crate::config::WeightedTarget;
use crate::table::ActiveTable;
use crate::table::Adoption;
use crate::table::RouteTable;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        repeat: Idempotency::Idempotent,
        max_attempts: 2,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(300),
        rank: 1,
        targets: vec![
            WeightedTarget {
                service: "old".into(),
                weight: 90.0,
            },
            WeightedTarget {
                service: "new".into(),
                weight: 10.0,
            },
        ],
        unusable_weight: 0.0,
        is_public: false,
    }
}

fn config(version: ConfigVersion) -> Config {
    Config {
        version,
        routes: vec![route("all", "/"), route("gowns", "/gowns/")],
        services: ["old", "new"]
            .map(|name| (name.into(), Service::default()))
            .into_iter()
            .collect(),
        customers: None,
        limits: ClientLimits {
            max_head: 16384,
            max_body: 65536,
            head_timeout: Duration::from_secs(3),
            keep_alive_timeout: Duration::from_secs(15),
        },
        unknown_kinds: Vec::new(),
        unreadable: Unreadable::default(),
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = RouteTable::new(&config(1));
    let check = |host: &str, path: &str, expected: Option<&str>| {
        let found = table.find(host, path).map(|route| route.name.as_str());
        assert_eq!(found, expected, "{host}{path}");
    };
    check("shop.example", "/gowns/7", Some("gowns"));
    check("Shop.Example:8080", "/gowns/7", Some("gowns"));
    check("shop.example", "/gownsale/7", Some("all"));
    check("other.example", "/gowns/7", None);
}

/// Number of evenly spread picks.
const PICKS: u64 = 1000;

/// Returns how many of [`PICKS`] requests each target of a route with these weights gets.
fn picks(weights: &[f64]) -> Vec<usize> {
    let service = |index: usize| format!("s{index}");
    let targets = weights
        .iter()
        .enumerate()
        .map(|(index, weight)| WeightedTarget {
            service: service(index).into(),
            weight: *weight,
        });
    let route = Route {
        targets: targets.collect(),
        ..route("all", "/")
    };
    let step = u64::MAX / PICKS;
    let picked: Vec<_> = (0..PICKS)
        .filter_map(|pick| route.pick_service(pick * step + step / 2))
        .collect();
    let count = |index| {
        picked
            .iter()
            .filter(|name| name.as_str() == service(index))
            .count()
    };
    (0..weights.len()).map(count).collect()
}

#[test]
fn requests_are_shared_by_weight() {
    assert_eq!(picks(&[90.0, 10.0]), [900, 100]);
    assert_eq!(picks(&[0.0, 3.0, 0.0]), [0, 1000, 0]);
    assert_eq!(picks(&[0.0, 0.0]), [0, 0]);
    assert_eq!(picks(&[]), [0; 0]);
}

/// Guards against shares that are lost because weights are no whole numbers, or very large or small.
#[test]
fn weights_of_any_size_share_requests_in_proportion() {
    assert_eq!(picks(&[99.5, 0.5]), [995, 5]);
    assert_eq!(picks(&[0.3, 0.1]), [750, 250]);
    assert_eq!(picks(&[3e-300, 1e-300]), [750, 250]);
    assert_eq!(picks(&[3e200, 1e200]), [750, 250]);
    assert_eq!(picks(&[MAX_WEIGHT; 4]), [250; 4]);
}

#[test]
fn older_configuration_is_not_adopted() {
    let mut active = ActiveTable::default();
    assert_eq!(active.version(), 0);
    assert_eq!(active.adopt(&config(7)), Adoption::Adopted);
    assert_eq!(active.adopt(&config(7)), Adoption::Stale);
    assert_eq!(active.adopt(&config(3)), Adoption::Stale);
    assert_eq!(active.adopt(&config(12)), Adoption::Adopted);
    assert_eq!(active.version(), 12);
}
