//! Orders to move a service to another version, one after the other.

use std::time::Duration;
use std::time::Instant;

use http::Method;
use standin_store::StoreService;

use crate::common::TIMEOUT;
use crate::fleet::AnswerMode;
use crate::fleet::Machine;
use crate::fleet::append;
use crate::fleet::boot;
use crate::fleet::machine_of_version;
use crate::fleet::wait_for_instance;
use crate::fleet::wait_until;
use crate::fleet::with_fleet;

/// Rounds of concurrent requests after the second order: more at a time than the version in use has slots for, so
/// that any other one that may be used gets some.
const ROUNDS: u32 = 60;

/// Time in which the balancer forgets that an instance failed.
const FAILURE_MEMORY: Duration = Duration::from_secs(5);

fn order(store: &StoreService, version: &str) {
    let text = format!(r#"{{"Service":"bookings","TargetVersion":"{version}","Duration":"60s"}}"#);
    append(store, "keyed.op", "rollout/bookings", text.as_bytes());
}

fn has_state(store: &StoreService, version: &str, state: &str) -> bool {
    let reports = store.with_topic("keyed.status", |topic| topic.newest());
    let mut reports = reports.iter();
    let Some((.., value)) = reports.find(|(key, ..)| key == "rollout/bookings") else {
        return false;
    };
    let text = String::from_utf8_lossy(value);
    [version, state]
        .iter()
        .all(|word| text.contains(&format!("\"{word}\"")))
}

async fn look(front: &Machine, number: u32) {
    let id = format!("look-{number}");
    front.send_request(Method::GET, "/look/1", &id).await;
}

/// Guards against requests for a version that was rolled back, once the next one is ordered.
#[test]
fn a_version_that_was_rolled_back_gets_nothing_when_the_next_is_ordered() {
    with_fleet(43, |store, front, back| async move {
        wait_for_instance(&front).await;
        let bad = machine_of_version(boot(43, 4, "bookings"), 4, "v2").await;
        let next = machine_of_version(boot(43, 5, "bookings"), 5, "v3").await;
        wait_until("all daemons are known", || front.daemon.member_count() == 4).await;
        bad.instance.answer_mode.set(AnswerMode::Fails);
        order(&store, "v2");
        let (end, mut number) = (Instant::now() + TIMEOUT, 0);
        while !has_state(&store, "v2", "rolled_back") {
            assert!(Instant::now() < end, "v2 is not rolled back");
            number += 1;
            look(&front, number).await;
        }
        bad.instance.answer_mode.set(AnswerMode::Answers);
        monoio::time::sleep(FAILURE_MEMORY).await;
        let before = bad.request_ids().len();
        order(&store, "v3");
        wait_until("v3 is ordered", || has_state(&store, "v3", "running")).await;
        let served = back.request_ids().len();
        for machine in [&back, &bad, &next] {
            machine.instance.service_time.set(Duration::from_millis(20));
        }
        for _ in 0..ROUNDS {
            let look = |extra: u32| look(&front, number + extra);
            monoio::join!(look(1), look(2), look(3), look(4), look(5), look(6));
            number += 6;
        }
        assert_eq!(bad.request_ids().len(), before);
        assert!(back.request_ids().len() > served + 200);
        bad.close().await;
        next.close().await;
        (front, back)
    });
}
