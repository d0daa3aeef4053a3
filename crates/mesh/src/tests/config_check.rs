//! The check of a configuration before it is sent.

use std::time::Duration;

use ledger::Idempotency;

use crate::caps::Cap;
use crate::config::ClientLimits;
use crate::config::ColdLimit;
use crate::config::Config;
use crate::config::Route;
use crate::config::Service;
use crate::config::Unreadable;
use crate::config::WeightedTarget;
use crate::config_check::Change;
use crate::config_check::Difference;
use crate::config_check::Kind;
use crate::config_check::Place;
use crate::config_check::SentRates;
use crate::config_check::differences;
use crate::config_check::findings;
use crate::customers::Customer;
use crate::customers::KeyHash;
use crate::rate_limit::RequestRate;
use crate::table::RouteTable;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        repeat: Idempotency::Idempotent,
        max_attempts: 2,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(300),
        rank: 1,
        targets: vec![WeightedTarget {
            service: "bookings".into(),
            weight: 1.0,
        }],
        unusable_weight: 0.0,
        is_public: false,
    }
}

fn rate(per_sec: f64) -> RequestRate {
    RequestRate::from_per_sec(per_sec).unwrap()
}

fn customer(name: &str, keys: &[u8]) -> Customer {
    Customer {
        name: name.into(),
        keys: keys.iter().map(|key| KeyHash([*key; 32])).collect(),
        rank: None,
        cap: Some(Cap {
            rate: rate(10.0),
            burst: 10,
        }),
    }
}

fn config() -> Config {
    Config {
        version: 7,
        routes: vec![route("look", "shop.example", "/look/")],
        services: [("bookings".into(), Service::default())]
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

/// Checks the only finding after a change of a configuration without any.
#[track_caller]
fn check(change: impl Fn(&mut Config), place: &Place, kind: Kind, reason: &str) {
    let mut cfg = config();
    change(&mut cfg);
    let found = findings(&cfg, &SentRates::default());
    let [finding] = &found[..] else {
        panic!("{found:?}")
    };
    assert_eq!((&finding.place, finding.kind), (place, kind), "{found:?}");
    assert!(finding.reason.contains(reason), "{found:?}");
}

#[test]
fn a_sound_configuration_has_no_findings() {
    assert_eq!(findings(&config(), &SentRates::default()), Vec::new());
    let mut cfg = config();
    cfg.customers = Some(vec![customer("one", &[1, 2]), customer("two", &[3])]);
    assert_eq!(findings(&cfg, &SentRates::default()), Vec::new());
}

#[test]
fn entries_that_never_match_are_found() {
    let look = || Place::Route("look".into());
    let never = Kind::NeverMatches;
    check(
        |cfg| cfg.routes[0].host = "".into(),
        &look(),
        never,
        "empty",
    );
    check(
        |cfg| cfg.routes[0].host = "shop.example:80".into(),
        &look(),
        never,
        "port",
    );
    check(
        |cfg| cfg.routes[0].prefix = "look/".into(),
        &look(),
        never,
        "slash",
    );
    check(
        |cfg| {
            cfg.routes[0].targets.push(WeightedTarget {
                service: "other".into(),
                weight: 0.0,
            });
        },
        &look(),
        never,
        "weight 0",
    );
    check(
        |cfg| cfg.routes.push(route("again", "SHOP.example", "/look/")),
        &look(),
        never,
        "route again",
    );
    check(
        |cfg| {
            cfg.services.insert("idle".into(), Service::default());
        },
        &Place::Service("idle".into()),
        never,
        "no route",
    );
    check(
        |cfg| {
            let cold = Some(ColdLimit {
                time: Duration::ZERO,
                rate: rate(14.0),
            });
            let service = Service {
                cold,
                ..Service::default()
            };
            cfg.services.insert("bookings".into(), service);
        },
        &Place::Service("bookings".into()),
        never,
        "never cold",
    );
    check(
        |cfg| cfg.customers = Some(vec![customer("one", &[1]), customer("none", &[])]),
        &Place::Customer("none".into()),
        never,
        "no key",
    );
    check(
        |cfg| cfg.customers = Some(Vec::new()),
        &look(),
        never,
        "needs a key",
    );
}

#[test]
fn a_route_that_is_found_to_never_match_gets_no_request() {
    let mut cfg = config();
    cfg.routes.push(route("port", "port.example:80", "/look/"));
    cfg.routes.push(route("slash", "slash.example", "look/"));
    let never: Vec<_> = findings(&cfg, &SentRates::default())
        .into_iter()
        .map(|finding| finding.place)
        .collect();
    assert_eq!(
        never,
        [Place::Route("port".into()), Place::Route("slash".into())]
    );
    let table = RouteTable::new(&cfg);
    for (host, path) in [
        ("port.example:80", "/look/1"),
        ("port.example", "/look/1"),
        ("slash.example", "/look/1"),
    ] {
        assert!(table.find(host, path).is_none(), "{host}{path}");
    }
}

#[test]
fn limits_that_contradict_each_other_are_found() {
    let look = || Place::Route("look".into());
    let one = || Place::Customer("one".into());
    let contradiction = Kind::Contradiction;
    check(
        |cfg| cfg.routes[0].timeout = Duration::from_millis(200),
        &look(),
        contradiction,
        "target latency",
    );
    check(
        |cfg| cfg.routes[0].prefix = "/look".into(),
        &look(),
        contradiction,
        "longer names",
    );
    check(
        |cfg| {
            let twice = cfg.routes[0].targets[0].clone();
            cfg.routes[0].targets.push(twice);
        },
        &look(),
        contradiction,
        "more than once",
    );
    check(
        |cfg| cfg.customers = Some(vec![customer("one", &[1, 1])]),
        &one(),
        contradiction,
        "more than once",
    );
    for (burst, reason) in [(0, "at once"), (601, "1m")] {
        check(
            |cfg| {
                let mut one = customer("one", &[1]);
                one.cap = Some(Cap {
                    rate: rate(10.0),
                    burst,
                });
                cfg.customers = Some(vec![one]);
            },
            &one(),
            contradiction,
            if burst == 0 { reason } else { "60s" },
        );
    }
    check(
        |cfg| cfg.limits.max_head = 0,
        &Place::Limits,
        contradiction,
        "head",
    );
    check(
        |cfg| cfg.limits.head_timeout = Duration::ZERO,
        &Place::Limits,
        contradiction,
        "no time",
    );
    check(
        |cfg| cfg.limits.keep_alive_timeout = Duration::from_secs(2),
        &Place::Limits,
        contradiction,
        "before",
    );
}

#[test]
fn a_usage_cap_below_what_the_customer_sends_is_found() {
    let mut cfg = config();
    cfg.customers = Some(vec![customer("one", &[1]), customer("two", &[2])]);
    let sent = [("one".into(), rate(12.0)), ("two".into(), rate(9.0))];
    let found = findings(&cfg, &sent.into_iter().collect());
    let [finding] = &found[..] else {
        panic!("{found:?}")
    };
    assert_eq!(finding.place, Place::Customer("one".into()));
    assert!(finding.reason.contains("12/s"), "{finding:?}");
}

#[test]
fn what_differs_is_listed_without_keys() {
    let old = {
        let mut cfg = config();
        cfg.routes.push(route("gone", "shop.example", "/gone/"));
        cfg.customers = Some(vec![customer("one", &[1, 2]), customer("left", &[9])]);
        cfg
    };
    let new = {
        let mut cfg = config();
        cfg.routes[0].timeout = Duration::from_secs(2);
        cfg.routes.push(route("added", "shop.example", "/added/"));
        cfg.customers = Some(vec![customer("one", &[2, 3, 4])]);
        cfg.limits.max_body = 1;
        cfg
    };
    let field = |name, before: &str, after: &str| Change::Field {
        name,
        before: before.to_owned(),
        after: after.to_owned(),
    };
    let expected = [
        (Place::Route("added".into()), Change::Added),
        (Place::Route("gone".into()), Change::Removed),
        (Place::Route("look".into()), field("timeout", "1s", "2s")),
        (Place::Customer("left".into()), Change::Removed),
        (
            Place::Customer("one".into()),
            field("keys", "2", "3 (2 added, 1 taken away)"),
        ),
        (
            Place::Limits,
            field("largest body", "65536 bytes", "1 bytes"),
        ),
    ]
    .map(|(place, change)| Difference { place, change });
    assert_eq!(differences(&old, &new), expected);
    assert_eq!(differences(&new, &new), Vec::new());
}
