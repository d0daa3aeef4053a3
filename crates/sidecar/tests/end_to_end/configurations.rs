//! Configurations with values of unusual forms, and with ones that cannot be read.

use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::StatusCode;

use crate::fleet::Machine;
use crate::fleet::append;
use crate::fleet::boot;
use crate::fleet::config_text;
use crate::fleet::machine;
use crate::fleet::wait_for_instance;
use crate::fleet::wait_until;
use crate::fleet::with_fleet;

/// Time in which a stored configuration must be in force.
const CONFIG_TIME: Duration = Duration::from_secs(2);

async fn wait_for_config(machines: &[&Machine], version: u64) {
    let began = Instant::now();
    wait_until("all have the configuration", || {
        let mut daemons = machines.iter().map(|machine| &machine.daemon);
        daemons.all(|daemon| daemon.config_version() == version)
    })
    .await;
    assert!(began.elapsed() < CONFIG_TIME, "{:?}", began.elapsed());
}

/// Guards against an old configuration that stays in force because of a priority above 255.
#[test]
fn a_configuration_with_a_large_priority_is_in_force_in_time() {
    with_fleet(105, |store, front, back| async move {
        wait_for_instance(&front).await;
        let text = config_text(9, "catalogue", "{}", "");
        let text = text.replace("\"Priority\":1", "\"Priority\":300");
        append(&store, "keyed.op", "config", text.as_bytes());
        wait_for_config(&[&front, &back], 9).await;
        for machine in [&front, &back] {
            let res = machine.send_request(Method::POST, "/book/1", "id-1").await;
            assert_eq!(res.status, StatusCode::OK);
            assert_eq!(res.header("x-response-stamp"), Some("i-2"));
        }
        // A daemon that has never had another configuration.
        let new = machine(boot(105, 4, "spare"), 4).await;
        wait_for_config(&[&new], 9).await;
        let serves = Instant::now();
        while new
            .send_request(Method::POST, "/book/1", "id-2")
            .await
            .status
            != StatusCode::OK
        {
            assert!(serves.elapsed() < Duration::from_secs(5), "it serves");
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
        new.close().await;
        (front, back)
    });
}

/// Guards against entries that stay out of force because another one cannot be read.
#[test]
fn what_can_be_read_of_a_configuration_is_in_force_beside_what_cannot() {
    with_fleet(106, |store, front, back| async move {
        wait_for_instance(&front).await;
        let look = r#""look":{"Hostname":"shop.example","#;
        let odd = [
            (r#""look":{"Hostname":7,"#, ""),
            (r#""look":7,"later":{"Hostname":null,"#, ""),
            (look, r#""Service":"nowhere","Attempts":2}"#),
            (look, r#""Service":[],"Attempts":2}"#),
            (look, r#""WeightedServices":[{}],"Attempts":2}"#),
        ];
        for (version, (head, tail)) in (9..).zip(odd) {
            let mut text = config_text(version, "catalogue", "null", "");
            text = text.replace(look, head);
            if !tail.is_empty() {
                text = text.replacen(r#""Service":"catalogue","Attempts":2}"#, tail, 1);
            }
            text = text.replace("16384", "1e999");
            append(&store, "keyed.op", "config", text.as_bytes());
            wait_for_config(&[&front, &back], version).await;
            for machine in [&front, &back] {
                let res = machine.send_request(Method::POST, "/book/1", "id-1").await;
                assert_eq!(res.status, StatusCode::OK, "{head} {tail}");
                assert_eq!(res.header("x-response-stamp"), Some("i-2"));
                // The configuration may allow it, and nothing tells where it may run.
                let res = machine.send_request(Method::GET, "/look/1", "id-2").await;
                assert_eq!(res.status, StatusCode::SERVICE_UNAVAILABLE, "{head} {tail}");
                assert!(res.header("retry-after").is_some());
            }
        }
        append(
            &store,
            "keyed.op",
            "config",
            config_text(20, "bookings", "{}", "").as_bytes(),
        );
        wait_for_config(&[&front, &back], 20).await;
        let res = front.send_request(Method::GET, "/look/1", "id-3").await;
        assert_eq!(res.status, StatusCode::OK);
        let res = front.send_request(Method::GET, "/none/1", "id-4").await;
        assert_eq!(res.status, StatusCode::NOT_FOUND);
        (front, back)
    });
}
