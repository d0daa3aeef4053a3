//! Customers: whose request it is, and keys that are taken away.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use http_edge::Request;
use http_edge::Response;
use standin_store::StoreService;
use users_platform::BootConfig;

use crate::common::REQUESTS;
use crate::common::STORE;
use crate::common::TIMEOUT;
use crate::fleet::Machine;
use crate::fleet::append;
use crate::fleet::boot;
use crate::fleet::ip;
use crate::fleet::machine;
use crate::fleet::put_config_with;
use crate::fleet::send;
use crate::fleet::serve;
use crate::fleet::wait_until;
use crate::fleet::with_fleet;
use crate::fleet::with_fleet_that_revokes;

/// Time after which no request with a key that was taken away may run.
const REVOKE: Duration = Duration::from_secs(5);

fn put_customers(store: &StoreService, version: u64, customers: &str) {
    let fields = format!(r#","Tenants":{customers}"#);
    put_config_with(store, version, "bookings", "{}", &fields);
}

/// Waits until the daemons have this configuration; one without customers lets every key pass.
async fn wait_for_config(machines: &[&Machine], version: u64) {
    wait_until("all have the customers", || {
        let mut daemons = machines.iter().map(|machine| &machine.daemon);
        daemons.all(|daemon| daemon.config_version() == version)
    })
    .await;
}

async fn get(machine: &Machine, path: &str, id: &str, headers: &[(&str, &str)]) -> Response {
    let mut req = Request::get(path)
        .with_header("host", "shop.example")
        .with_header("x-request-id", id)
        .with_header("x-deadline-ms", "2000");
    for (name, value) in headers {
        let name: http::HeaderName = name.parse().expect("a header name");
        let value = http::HeaderValue::from_str(value).expect("a header value");
        req.headers.append(name, value);
    }
    send(machine.ip, REQUESTS, req).await
}

async fn status(machine: &Machine, path: &str, id: &str, key: &str) -> StatusCode {
    let key = format!("Bearer {key}");
    let res = get(machine, path, id, &[("authorization", &key)]).await;
    res.status
}

/// Waits until a request with this key gets this status, and returns how long that took.
async fn wait_for_status(
    machine: &Machine,
    path: &str,
    key: &str,
    expected: StatusCode,
) -> Duration {
    let began = Instant::now();
    loop {
        let status = status(machine, path, "wait", key).await;
        if status == expected {
            return began.elapsed();
        }
        assert!(began.elapsed() < TIMEOUT, "{status} in place of {expected}");
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[test]
fn an_instance_gets_the_customer_of_the_key_and_never_the_key() {
    with_fleet(71, |store, front, back| async move {
        let customers =
            r#"{"gowns":{"ApiKeys":["secret-1"],"Priority":0},"moulds":{"ApiKeys":["secret-2"]}}"#;
        put_customers(&store, 5, customers);
        wait_for_config(&[&front, &back], 5).await;
        wait_for_status(&front, "/look/0", "secret-1", StatusCode::OK).await;
        let check = async |path: &str, headers: &[(&str, &str)], expected: Option<&str>| {
            let before = back.instance.received.borrow().len();
            let res = get(&front, path, "id-1", headers).await;
            assert_eq!(res.status, StatusCode::OK, "{path} {headers:?}");
            let received = back.instance.received.borrow();
            let req = &received[before];
            assert_eq!(req.header("x-tenant"), expected, "{path} {headers:?}");
            assert_eq!(req.header("authorization"), None);
            let has_key = |value: &http::HeaderValue| value.as_bytes().starts_with(b"secret");
            assert!(!req.headers.values().any(has_key));
        };
        let (one, two) = ("Bearer secret-1", "bearer secret-2");
        check("/look/1", &[("authorization", one)], Some("gowns")).await;
        check("/look/1", &[("authorization", two)], Some("moulds")).await;
        let forged = [("authorization", two), ("x-tenant", "gowns")];
        check("/look/1", &forged, Some("moulds")).await;
        let hidden = [("authorization", one), ("connection", "x-tenant")];
        check("/look/1", &hidden, Some("gowns")).await;
        check("/open/1", &[], None).await;
        check("/open/1", &[("x-tenant", "gowns")], None).await;
        check("/open/1", &[("authorization", "Bearer other")], None).await;
        check("/open/1", &[("authorization", one)], Some("gowns")).await;
        (front, back)
    });
}

#[test]
fn a_request_without_a_known_key_does_not_run() {
    with_fleet(72, |store, front, back| async move {
        put_customers(&store, 5, r#"{"gowns":{"ApiKeys":["secret-1"]}}"#);
        wait_for_config(&[&front, &back], 5).await;
        wait_for_status(&front, "/look/0", "secret-1", StatusCode::OK).await;
        let before = back.request_ids().len();
        let long = format!("Bearer {}", "k".repeat(8 * 1024));
        let known = ("authorization", "Bearer secret-1");
        let cases: [&[(&str, &str)]; 7] = [
            &[],
            &[("authorization", "")],
            &[("authorization", "Bearer other")],
            &[("authorization", "Basic secret-1")],
            &[("authorization", "secret-1")],
            &[("authorization", &long)],
            &[known, known],
        ];
        for headers in cases {
            let res = get(&front, "/look/1", "id-1", headers).await;
            assert_eq!(res.status, StatusCode::UNAUTHORIZED, "{headers:.60?}");
        }
        assert_eq!(back.request_ids().len(), before);
        let unreadable = StatusCode::SERVICE_UNAVAILABLE;
        // A configuration in which something cannot be read is in force without it. A key that nobody holds then
        // may be one of those that cannot be read.
        let odd = [
            (
                r#"{"a":{"ApiKeys":["x"]},"b":{"ApiKeys":["x"]}}"#,
                unreadable,
            ),
            (r#"{"gowns":{"ApiKeys":["secret-1",""]}}"#, StatusCode::OK),
            (r#"["secret-1"]"#, unreadable),
            (
                r#"{"a":7,"gowns":{"ApiKeys":["secret-1"],"Priority":[]}}"#,
                StatusCode::OK,
            ),
            // Without customers every request would run.
            ("null", unreadable),
        ];
        for (version, (customers, expected)) in (6..).zip(odd) {
            put_customers(&store, version, customers);
            wait_for_config(&[&front, &back], version).await;
            let before = back.request_ids().len();
            for key in ["x", "other"] {
                assert_eq!(status(&front, "/look/1", "id-2", key).await, unreadable);
            }
            let without = get(&front, "/look/1", "id-2", &[]).await;
            assert_eq!(without.status, StatusCode::UNAUTHORIZED);
            assert_eq!(back.request_ids().len(), before, "{customers}");
            let known = status(&front, "/look/1", "id-2", "secret-1").await;
            assert_eq!(known, expected, "{customers}");
            let public = status(&front, "/open/1", "id-2", "other").await;
            assert_eq!(public, StatusCode::OK);
        }
        put_customers(&store, 20, r#"{"gowns":{"ApiKeys":["secret-2"]}}"#);
        wait_for_status(&front, "/look/0", "secret-1", StatusCode::UNAUTHORIZED).await;
        let new = status(&front, "/look/1", "id-3", "secret-2").await;
        assert_eq!(new, StatusCode::OK);
        (front, back)
    });
}

#[test]
fn a_key_is_taken_away_from_a_daemon_that_the_store_refuses() {
    with_fleet_that_revokes(73, REVOKE, |store, front, back| async move {
        let for_one = store.with_own_faults();
        let faults = for_one.clone();
        let address = SocketAddr::new(ip(73, 9), STORE);
        let server = serve(address, Rc::new(for_one));
        let settings = BootConfig {
            store_address: address,
            revoke_within: Some(REVOKE),
            ..boot(73, 4, "spare")
        };
        let refused = machine(settings, 4).await;
        put_customers(
            &store,
            5,
            r#"{"gowns":{"ApiKeys":["secret-1","secret-2"]}}"#,
        );
        wait_for_config(&[&front, &back, &refused], 5).await;
        wait_for_status(&refused, "/look/0", "secret-1", StatusCode::OK).await;
        faults.faults().is_down.set(true);
        // Longer than the time after which a daemon without a proof refuses.
        let end = Instant::now() + REVOKE + Duration::from_secs(1);
        while Instant::now() < end {
            let known = status(&refused, "/look/1", "id-1", "secret-1").await;
            assert_eq!(known, StatusCode::OK, "the others prove its knowledge");
            monoio::time::sleep(Duration::from_millis(100)).await;
        }
        put_customers(&store, 7, r#"{"gowns":{"ApiKeys":["secret-2"]}}"#);
        let took = wait_for_status(&refused, "/look/0", "secret-1", StatusCode::UNAUTHORIZED).await;
        assert!(took < Duration::from_secs(2), "{took:?}");
        let kept = status(&refused, "/look/1", "id-2", "secret-2").await;
        assert_eq!(kept, StatusCode::OK);
        refused.close().await;
        server.close(Duration::ZERO).await;
        (front, back)
    });
}

#[test]
fn daemons_without_the_store_refuse_keys_in_time_and_serve_public_requests() {
    with_fleet_that_revokes(74, REVOKE, |store, front, back| async move {
        put_customers(&store, 5, r#"{"gowns":{"ApiKeys":["secret-1"]}}"#);
        wait_for_config(&[&front, &back], 5).await;
        for machine in [&front, &back] {
            wait_for_status(machine, "/look/0", "secret-1", StatusCode::OK).await;
        }
        store.faults().is_silent.set(true);
        let cut = Instant::now();
        // From now on the key may be taken away without anybody here knowing.
        while cut.elapsed() < REVOKE / 2 {
            let known = status(&front, "/look/1", "id-1", "secret-1").await;
            assert_eq!(known, StatusCode::OK, "after {:?}", cut.elapsed());
            monoio::time::sleep(Duration::from_millis(100)).await;
        }
        let expected = StatusCode::SERVICE_UNAVAILABLE;
        for machine in [&front, &back] {
            wait_for_status(machine, "/look/0", "secret-1", expected).await;
        }
        assert!(cut.elapsed() < REVOKE, "{:?}", cut.elapsed());
        let ran = back.request_ids().len();
        let key = [("authorization", "Bearer secret-1")];
        let res = get(&front, "/look/1", "id-2", &key).await;
        assert_eq!(res.status, expected);
        assert!(res.header("retry-after").is_some());
        let unknown = status(&front, "/look/1", "id-3", "added-meanwhile").await;
        assert_eq!(unknown, expected, "a later configuration may hold it");
        assert_eq!(back.request_ids().len(), ran);
        let public = status(&front, "/open/1", "id-4", "secret-1").await;
        assert_eq!(public, StatusCode::OK);
        store.faults().is_silent.set(false);
        for machine in [&front, &back] {
            let took = wait_for_status(machine, "/look/0", "secret-1", StatusCode::OK).await;
            assert!(took < Duration::from_secs(4), "{took:?}");
        }
        (front, back)
    });
}

/// Guards against a revoked key that goes on running because the configuration that takes it away cannot be read.
#[test]
fn no_key_outlives_a_configuration_that_cannot_be_read() {
    with_fleet_that_revokes(75, REVOKE, |store, front, back| async move {
        put_customers(
            &store,
            5,
            r#"{"gowns":{"ApiKeys":["secret-1","secret-2"]}}"#,
        );
        wait_for_config(&[&front, &back], 5).await;
        for machine in [&front, &back] {
            wait_for_status(machine, "/look/0", "secret-1", StatusCode::OK).await;
        }
        append(&store, "keyed.op", "config", br#"{"Version":"r7","Rout"#);
        let acknowledged = Instant::now();
        let expected = StatusCode::SERVICE_UNAVAILABLE;
        for machine in [&front, &back] {
            wait_for_status(machine, "/look/0", "secret-1", expected).await;
        }
        assert!(acknowledged.elapsed() < REVOKE, "{acknowledged:?}");
        let ran = back.request_ids().len();
        while acknowledged.elapsed() < REVOKE * 2 {
            for machine in [&front, &back] {
                let late = status(machine, "/look/1", "id-1", "secret-1").await;
                assert_eq!(late, expected, "after {:?}", acknowledged.elapsed());
            }
            monoio::time::sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(back.request_ids().len(), ran);
        let public = status(&front, "/open/1", "id-2", "secret-1").await;
        assert_eq!(public, StatusCode::OK);
        put_customers(&store, 9, r#"{"gowns":{"ApiKeys":["secret-2"]}}"#);
        for machine in [&front, &back] {
            let took = wait_for_status(machine, "/look/0", "secret-2", StatusCode::OK).await;
            assert!(took < Duration::from_secs(2), "{took:?}");
        }
        let gone = status(&front, "/look/1", "id-3", "secret-1").await;
        assert_eq!(gone, StatusCode::UNAUTHORIZED);
        (front, back)
    });
}
