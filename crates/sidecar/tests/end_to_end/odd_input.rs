//! Numbers that no clock can hold and texts that are no heartbeat, from clients, instances and the operator.

use std::time::Duration;

use http::StatusCode;
use http_edge::Request;
use mesh::moves::MoveOrder;
use mesh::moves::MoveRecord;
use mesh::moves::Origin;
use mesh::moves::Stage;
use mesh::wire::InstanceInfo;
use mesh::wire::Member;
use mesh::wire::Record;
use protocol::codec;

use crate::common::HEARTBEATS;
use crate::common::INSTANCE;
use crate::common::REQUESTS;
use crate::fleet::Machine;
use crate::fleet::append;
use crate::fleet::config_text;
use crate::fleet::send;
use crate::fleet::wait_for_instance;
use crate::fleet::wait_until;
use crate::fleet::with_fleet;

async fn assert_serves(front: &Machine, id: &str) {
    let res = front.send_request(http::Method::GET, "/look/1", id).await;
    assert_eq!(res.status, StatusCode::OK, "after {id}");
}

/// Fault seen: the header of one client ended the daemon, which could not add its time to a clock.
#[test]
fn a_client_that_waits_for_longer_than_a_clock_counts_is_served() {
    with_fleet(93, |_, front, back| async move {
        wait_for_instance(&front).await;
        for (text, status) in [
            ("1e22", StatusCode::OK),
            ("1e300", StatusCode::OK),
            ("18446744073709551615", StatusCode::OK),
            ("inf", StatusCode::BAD_REQUEST),
            ("NaN", StatusCode::BAD_REQUEST),
            ("-1", StatusCode::BAD_REQUEST),
            ("1e-300", StatusCode::SERVICE_UNAVAILABLE),
        ] {
            let req = Request::get("/look/1")
                .with_header("host", "shop.example")
                .with_header("x-request-id", format!("wait-{text}"))
                .with_header("x-deadline-ms", text);
            let res = send(front.ip, REQUESTS, req).await;
            assert_eq!(res.status, status, "{text}");
            assert_serves(&front, text).await;
        }
        (front, back)
    });
}

/// Fault seen: a heartbeat with such a time ended the daemon, again at each start.
#[test]
fn odd_heartbeats_neither_end_the_daemon_nor_replace_its_instance() {
    with_fleet(94, |_, front, back| async move {
        wait_for_instance(&front).await;
        let deep = "[".repeat(100_000);
        let address = format!("{}:{INSTANCE}", back.ip);
        let cases = [
            (
                address.as_str(),
                "9",
                r#""ColdLeft":"9999999999999999999s","Seq":100,"born":7"#,
            ),
            (
                &address,
                "9",
                r#""ColdLeft":"99999999999999999999999999s","Seq":101,"born":7"#,
            ),
            (
                &address,
                "9",
                r#""ColdLeft":"0ms","Seq":18446744073709551616,"born":7"#,
            ),
            (
                &address,
                "9",
                r#""ColdLeft":"0ms","Seq":18446744073709551615,"born":7"#,
            ),
            (
                &address,
                "9",
                r#""ColdLeft":"0ms","Seq":102,"born":18446744073709551615"#,
            ),
            (&address, "9", r#""ColdLeft":"0ms","Seq":102,"born":1e300"#),
            (&address, "9", r#""ColdLeft":"0ms","Seq":-1,"born":7"#),
            (
                &address,
                "4294967295",
                r#""ColdLeft":"0ms","Seq":103,"born":7"#,
            ),
            (
                &address,
                "4294967296",
                r#""ColdLeft":"0ms","Seq":104,"born":7"#,
            ),
            (&address, "-1", r#""ColdLeft":"0ms","Seq":105,"born":7"#),
            (
                "127.7.94.3:99999",
                "9",
                r#""ColdLeft":"0ms","Seq":106,"born":7"#,
            ),
            (&address, &deep, r#""ColdLeft":"0ms","Seq":107,"born":7"#),
        ];
        for (address, slots, rest) in cases {
            let body = format!(
                r#"{{"Service":"bookings","Address":"{address}","Zone":"suva-a","Version":"v1","Slots":{slots},"State":"ready",{rest}}}"#
            );
            let target = format!("/-/Instances.Heartbeat/{}", back.instance.name);
            let res = send(back.ip, HEARTBEATS, Request::post(target, body)).await;
            assert_eq!(res.status, StatusCode::BAD_REQUEST, "{rest}");
            assert_serves(&front, rest).await;
        }
        back.send_heartbeat("bookings", "ready").await;
        assert_serves(&front, "a-sound-heartbeat").await;
        (front, back)
    });
}

/// Guards against a heartbeat of another writer that changes the service of which requests are said to come.
#[test]
fn a_heartbeat_of_a_service_that_nobody_names_changes_nothing() {
    with_fleet(107, |_, front, back| async move {
        wait_for_instance(&front).await;
        let caller = async |id: &str| {
            assert_serves(&front, id).await;
            let received = back.instance.received.borrow();
            let req = received
                .iter()
                .rfind(|req| req.header("x-request-id") == Some(id));
            let caller = req.and_then(|req| req.header("x-caller-service"));
            caller.map(str::to_owned)
        };
        let heartbeat = |id: &str, service: &str, state: &str, born: u64| {
            let body = format!(
                r#"{{"Service":"{service}","Address":"{}:{INSTANCE}","Zone":"suva-a","Version":"v1","Slots":4,"State":"{state}","ColdLeft":"0ms","Seq":900,"born":{born}}}"#,
                front.ip,
            );
            Request::post(format!("/-/Instances.Heartbeat/{id}"), body)
        };
        let own = front.instance.name.clone();
        for (id, service, state, born) in [
            (own.as_str(), "nobody", "ready", 7),
            (&own, "nobody", "draining", 7),
            (&own, "", "ready", 7),
            // A service that the configuration names, but not that of this incarnation.
            (&own, "bookings", "ready", 7),
            (&own, "nobody", "ready", 8),
            ("other", "nobody", "draining", 9),
        ] {
            let res = send(front.ip, HEARTBEATS, heartbeat(id, service, state, born)).await;
            assert_eq!(res.status, StatusCode::BAD_REQUEST, "{id} {service} {born}");
            let id = format!("{id}-{service}-{state}-{born}");
            assert_eq!(caller(&id).await.as_deref(), Some("catalogue"), "{id}");
        }
        // The next one of the instance counts, and so does another instance of a service that is named.
        front.send_heartbeat("catalogue", "ready").await;
        assert_eq!(caller("own").await.as_deref(), Some("catalogue"));
        let res = send(
            front.ip,
            HEARTBEATS,
            heartbeat("next", "bookings", "ready", 9),
        )
        .await;
        assert_eq!(res.status, StatusCode::OK);
        assert_eq!(caller("next").await.as_deref(), Some("bookings"));
        (front, back)
    });
}

/// The store accepts valid configurations only; what is valid there may still be larger than a clock holds.
#[test]
fn a_configuration_with_times_that_no_clock_holds_is_in_force() {
    with_fleet(95, |store, front, back| async move {
        wait_for_instance(&front).await;
        let text = config_text(9, "bookings", "{}", "")
            .replace("1500ms", "9999999999999999999s")
            .replace("300ms", "9999999999999999999s")
            .replace("15s", "9999999999999999999s");
        append(&store, "keyed.op", "config", text.as_bytes());
        wait_until("the configuration is in force", || {
            front.daemon.config_version() == 9 && back.daemon.config_version() == 9
        })
        .await;
        let req = Request::get("/look/1")
            .with_header("host", "shop.example")
            .with_header("x-request-id", "no-deadline");
        let res = send(front.ip, REQUESTS, req).await;
        assert_eq!(res.status, StatusCode::OK);
        assert_serves(&front, "huge-times").await;
        (front, back)
    });
}

/// Records of the store's topics that nobody here wrote.
#[test]
fn odd_records_of_the_store_are_passed_over() {
    with_fleet(96, |store, front, back| async move {
        wait_for_instance(&front).await;
        let deep = "[".repeat(100_000);
        let huge = "9".repeat(400);
        let order = |duration: &str| {
            format!(r#"{{"Service":"bookings","TargetVersion":"v9","Duration":"{duration}"}}"#)
        };
        for (topic, key, value) in [
            (
                "keyed.op",
                "rollout/bookings",
                order("9999999999999999999s"),
            ),
            ("keyed.op", "rollout/bookings", order(&format!("{huge}s"))),
            ("keyed.op", "rollout/bookings", deep.clone()),
            ("keyed.op", "config", deep.clone()),
            ("keyed.op", "config", format!(r#"{{"Version":"r{huge}"}}"#)),
            ("keyed.op", "evacuate/", huge.clone()),
            ("keyed.mesh", "member/odd", deep),
            ("keyed.mesh", "move/bookings", huge),
        ] {
            append(&store, topic, key, value.as_bytes());
        }
        // The topics are followed beyond the odd records.
        let text = config_text(9, "bookings", "{}", "");
        append(&store, "keyed.op", "config", text.as_bytes());
        wait_until("the configuration is in force", || {
            front.daemon.config_version() == 9 && back.daemon.config_version() == 9
        })
        .await;
        monoio::time::sleep(Duration::from_millis(100)).await;
        assert_serves(&front, "odd-records").await;
        (front, back)
    });
}

/// Records that can be read, with figures that no daemon has written.
#[test]
fn records_of_the_daemons_with_figures_out_of_range_end_no_daemon() {
    with_fleet(101, |store, front, back| async move {
        wait_for_instance(&front).await;
        let member = |daemon: &str| Member {
            daemon: daemon.into(),
            incarnation: u64::MAX,
            revision: u64::MAX,
            address: "127.7.101.9:1".parse().expect("an address"),
            zone: "suva-a".into(),
            instance: Some(InstanceInfo {
                id: "odd".into(),
                born: u64::MAX,
                service: "spare".into(),
                version: "v1".into(),
                slots: u32::MAX,
                cold_left: Duration::MAX,
            }),
            leaving: None,
            is_open: true,
            strength: u32::MAX,
            link_mbps: u32::MAX,
        };
        let order = MoveOrder {
            service: "bookings".into(),
            target: "v1".into(),
            within: Duration::MAX,
            offset: 7,
        };
        let move_record = MoveRecord {
            order,
            began: u64::MAX,
            stage: Stage::Sharing(u16::MAX),
            setbacks: u32::MAX,
            is_settled: false,
            boosted: vec!["look".into()],
            elapsed: Duration::MAX,
            origin: Origin {
                version: Some("none".into()),
                withdrawn: vec!["v1".into(); 9],
            },
        };
        for (key, record) in [
            ("member/odd", Record::Member(member("odd"))),
            ("member/machine-2", Record::Member(member("machine-2"))),
            ("move/bookings", Record::Move(move_record)),
        ] {
            append(&store, "keyed.mesh", key, &codec::encode(&record));
        }
        monoio::time::sleep(Duration::from_secs(3)).await;
        assert_serves(&front, "odd-figures").await;
        let text = config_text(9, "bookings", "{}", "");
        append(&store, "keyed.op", "config", text.as_bytes());
        wait_until("the configuration is in force", || {
            front.daemon.config_version() == 9 && back.daemon.config_version() == 9
        })
        .await;
        (front, back)
    });
}
