//! End-to-end tests: clients, daemons, instances and the stand-in store in one process, on loopback
//! addresses.

#[path = "../common/mod.rs"]
mod common;
mod configurations;
mod crashes;
mod customers;
mod evacuation;
mod faulty_instances;
mod fleet;
mod leaving_clients;
mod lost_connections;
mod moves;
mod notices;
mod odd_input;
mod store;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use http_edge::Request;
use monoio::io::AsyncWriteRentExt;
use users_platform::BootConfig;

use crate::common::READY;
use crate::common::REQUESTS;
use crate::fleet::AnswerMode;
use crate::fleet::boot;
use crate::fleet::ip;
use crate::fleet::machine;
use crate::fleet::put_config;
use crate::fleet::send;
use crate::fleet::wait_for_instance;
use crate::fleet::wait_until;
use crate::fleet::with_fleet;
use crate::fleet::with_fleet_on_links;

#[test]
fn a_request_is_forwarded_to_the_instance_of_another_daemon() {
    with_fleet(1, |_, front, back| async move {
        wait_for_instance(&front).await;
        let before = back.request_ids().len();
        let res = front
            .send_request(http::Method::GET, "/look/7?x=1", "id-1")
            .await;
        assert_eq!(res.status, StatusCode::OK);
        assert_eq!(res.header("x-response-stamp"), Some("i-3"));
        {
            let received = back.instance.received.borrow();
            let req = &received[before];
            assert_eq!(req.target, "/look/7?x=1");
            assert_eq!(req.header("x-caller-service"), Some("catalogue"));
            assert_eq!(req.header("x-target-instance"), Some("i-3"));
            let left: u64 = req.header("x-deadline-ms").unwrap().parse().unwrap();
            assert!((1..=1500).contains(&left), "{left}");
        }
        let res = front
            .send_request(http::Method::GET, "/none/", "id-2")
            .await;
        assert_eq!(res.status, StatusCode::NOT_FOUND);
        (front, back)
    });
}

#[test]
fn a_draining_instance_gets_no_request_and_the_refusal_allows_a_retry() {
    with_fleet(2, |_, front, back| async move {
        wait_for_instance(&front).await;
        back.send_heartbeat("bookings", "draining").await;
        let before = back.request_ids().len();
        let res = front
            .send_request(http::Method::POST, "/book/1", "id-1")
            .await;
        assert_eq!(res.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(res.header("retry-after").is_some());
        assert_eq!(back.request_ids().len(), before);
        (front, back)
    });
}

#[test]
fn a_non_idempotent_request_whose_answer_is_lost_runs_once() {
    with_fleet(3, |_, front, back| async move {
        wait_for_instance(&front).await;
        back.instance.answer_mode.set(AnswerMode::MismatchesIds);
        let res = front
            .send_request(http::Method::POST, "/book/1", "id-1")
            .await;
        assert_eq!(res.status, StatusCode::BAD_GATEWAY);
        let runs = back.request_ids().iter().filter(|id| *id == "id-1").count();
        assert_eq!(runs, 1);
        (front, back)
    });
}

#[test]
fn a_request_that_may_have_run_is_not_reported_as_not_run() {
    with_fleet(8, |_, front, back| async move {
        wait_for_instance(&front).await;
        back.instance.answer_mode.set(AnswerMode::MismatchesIds);
        // The request is idempotent, but no other instance is left for a retry.
        let res = front
            .send_request(http::Method::GET, "/look/1", "id-1")
            .await;
        assert!(back.request_ids().contains(&"id-1".to_owned()));
        assert_eq!(res.status, StatusCode::BAD_GATEWAY);
        (front, back)
    });
}

#[test]
fn a_rejection_by_the_only_instance_is_reported_as_not_run() {
    with_fleet(4, |_, front, back| async move {
        wait_for_instance(&front).await;
        back.instance.answer_mode.set(AnswerMode::Rejects);
        let res = front
            .send_request(http::Method::POST, "/book/1", "id-1")
            .await;
        assert_eq!(res.status, StatusCode::SERVICE_UNAVAILABLE);
        (front, back)
    });
}

/// Uploads on a slow link are granted in turn, and each arrives whole and once.
#[test]
fn large_bodies_arrive_whole_over_a_slow_link() {
    with_fleet_on_links(9, 16, |_, front, back| async move {
        wait_for_instance(&front).await;
        let front = Rc::new(front);
        let uploads: Vec<_> = (0..8_u8)
            .map(|number| {
                let front = Rc::clone(&front);
                monoio::spawn(async move {
                    let body = vec![number; 120_000];
                    let id = format!("up-{number}");
                    let res = front
                        .send_body(http::Method::POST, "/book/1", &id, body)
                        .await;
                    (id, res)
                })
            })
            .collect();
        for (number, upload) in (0_u8..).zip(uploads) {
            let (id, res) = upload.await;
            let received = back.instance.received.borrow();
            let is_same = |req: &&Request| req.header("x-request-id") == Some(id.as_str());
            let runs: Vec<&Request> = received.iter().filter(is_same).collect();
            // The route leaves an upload 150 ms on the network, so the last ones may be refused.
            if res.status == StatusCode::SERVICE_UNAVAILABLE {
                assert!(res.header("retry-after").is_some());
                assert!(runs.is_empty(), "{id} was refused and ran");
                continue;
            }
            assert_eq!(res.status, StatusCode::OK, "{id}");
            assert_eq!(runs.len(), 1, "{id}");
            assert!(
                runs[0].body.len() == 120_000
                    && runs[0].body.to_bytes().iter().all(|b| *b == number)
            );
        }
        let first = front.send_body(http::Method::POST, "/book/1", "up-9", vec![9; 120_000]);
        assert_eq!(first.await.status, StatusCode::OK);
        let front = Rc::into_inner(front).expect("all uploads have ended");
        (front, back)
    });
}

#[test]
fn an_upload_that_is_cut_never_runs() {
    with_fleet_on_links(10, 16, |_, front, back| async move {
        wait_for_instance(&front).await;
        let address = SocketAddr::new(front.ip, REQUESTS);
        let mut stream = monoio::net::TcpStream::connect(address)
            .await
            .expect("the daemon listens");
        let head = "POST /book/1 HTTP/1.1\r\nhost: shop.example\r\nx-request-id: cut\r\n\
                    x-deadline-ms: 2000\r\ncontent-length: 100000\r\n\r\n";
        let sent = [head.as_bytes(), &vec![7; 50_000]].concat();
        let (written, _) = stream.write_all(sent).await;
        written.expect("the daemon reads");
        monoio::time::sleep(Duration::from_millis(100)).await;
        drop(stream);
        monoio::time::sleep(Duration::from_millis(300)).await;
        assert!(!back.request_ids().iter().any(|id| id == "cut"));
        (front, back)
    });
}

#[test]
fn a_configuration_reaches_all_daemons_and_no_older_one_replaces_it() {
    with_fleet(5, |store, front, back| async move {
        put_config(&store, 9, "bookings");
        put_config(&store, 4, "catalogue");
        wait_until("both have the configuration", || {
            front.daemon.config_version() == 9 && back.daemon.config_version() == 9
        })
        .await;
        // The store drops old records and keeps the newest one of each key.
        store.with_topic("keyed.op", standin_store::Topic::delete_records);
        put_config(&store, 12, "bookings");
        wait_until("both have the later configuration", || {
            front.daemon.config_version() == 12 && back.daemon.config_version() == 12
        })
        .await;
        (front, back)
    });
}

#[test]
fn a_stopping_daemon_serves_its_instance_until_it_closes() {
    with_fleet(6, |_, front, back| async move {
        let settings = BootConfig {
            grace_period: Duration::from_secs(6),
            ..boot(6, 4, "spare")
        };
        let spare = machine(settings, 4).await;
        wait_until("the spare daemon is known", || {
            front.daemon.member_count() == 3
        })
        .await;
        let closed = Rc::new(Cell::new(false));
        let closing = Rc::clone(&closed);
        let spare_instance = Rc::clone(&spare.instance);
        monoio::spawn(async move {
            spare.close().await;
            closing.set(true);
        });
        // Long enough for the shutdown announcement to reach the other daemons.
        monoio::time::sleep(Duration::from_secs(1)).await;
        let ready = Request::get("/-/readyz");
        let res = send(ip(6, 4), READY, ready).await;
        assert_eq!(res.status, StatusCode::SERVICE_UNAVAILABLE);
        let req = Request::get("/look/1")
            .with_header("host", "spare.example")
            .with_header("x-request-id", "id-1")
            .with_header("x-deadline-ms", "2000");
        let res = send(front.ip, REQUESTS, req).await;
        assert_eq!(res.status, StatusCode::OK);
        assert_eq!(spare_instance.received.borrow().len(), 1);
        wait_until("the spare daemon has closed", || closed.get()).await;
        (front, back)
    });
}

#[test]
fn followers_get_a_configuration_from_the_leaders() {
    with_fleet(7, |store, front, back| async move {
        let third = machine(boot(7, 4, "spare"), 4).await;
        let fourth = machine(boot(7, 5, "spare"), 5).await;
        let followers = [&third, &fourth];
        wait_until("two of four daemons are leaders", || {
            front.daemon.is_leader()
                && back.daemon.is_leader()
                && followers
                    .iter()
                    .all(|f| !f.daemon.is_leader() && f.daemon.member_count() == 4)
        })
        .await;
        put_config(&store, 9, "bookings");
        wait_until("the followers have the configuration", || {
            followers.iter().all(|f| f.daemon.config_version() == 9)
        })
        .await;
        third.close().await;
        fourth.close().await;
        (front, back)
    });
}
