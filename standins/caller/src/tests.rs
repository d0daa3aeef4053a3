//! Tests of the caller against upstreams and against answers that are wrong.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use http_edge::Handler;
use http_edge::Latch;
use http_edge::Request;
use http_edge::Response;
use http_edge::Server;
use http_edge::ServerCfg;
use http_edge::block_on;
use ledger::Idempotency;
use standin_upstream::Faults;
use standin_upstream::ResponseBody;
use standin_upstream::Upstream;
use standin_upstream::UpstreamCfg;
use standin_upstream::faults::CallMode;

use crate::Caller;
use crate::Outcome;
use crate::Plan;
use crate::Summary;
use crate::summary::quantile;

fn plan(to: SocketAddr) -> Plan {
    Plan {
        to: vec![to],
        route: "/bookings".into(),
        rate: 1000,
        duration: Duration::from_millis(20),
        repeat: Idempotency::AtMostOnce,
        deadline: Duration::from_secs(5),
        size: 5000,
        seed: 7,
    }
}

fn upstream() -> Upstream {
    let cfg = UpstreamCfg {
        listen: "127.0.0.1:0".parse().unwrap(),
        announce: None,
        service: "bookings".into(),
        version: "v1".into(),
        slots: 100,
        cold_start: Duration::ZERO,
        service_time: Duration::from_millis(1),
    };
    Upstream::start(cfg).unwrap()
}

async fn send(plan: Plan) -> Summary {
    Summary::from_records(&Caller::new(plan).run(Latch::default()).await)
}

#[test]
fn each_call_is_sent_once_and_its_answer_checked() {
    block_on(async {
        let upstream = upstream();
        let summary = send(plan(upstream.address())).await;
        assert_eq!((summary.calls, summary.ok), (20, 20));
        assert_eq!(summary.by_version["v1"], 20);
        assert!(summary.p50_micros > 0);
        let runs = upstream.service().runs().borrow().summary();
        assert_eq!((runs.begun, runs.ids), (20, 20));
    });
}

#[test]
fn refusals_and_failures_are_told_apart() {
    block_on(async {
        let upstream = upstream();
        upstream.service().set_faults(Faults {
            mode: CallMode::Refuse,
            ..Faults::default()
        });
        let summary = send(plan(upstream.address())).await;
        assert_eq!(summary.refused, 20);
        assert_eq!(summary.refused_without_retry_after, 20);
        upstream.service().set_faults(Faults {
            fail: 0.5,
            ..Faults::default()
        });
        let summary = send(plan(upstream.address())).await;
        assert_eq!((summary.ok, summary.failed), (10, 10));
    });
}

#[test]
fn a_daemon_that_is_gone_is_passed_over() {
    block_on(async {
        let upstream = upstream();
        let gone = http_edge::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut plan = plan(gone.local_addr().unwrap());
        drop(gone);
        assert_eq!(send(plan.clone()).await.unreachable, 20);
        plan.to.push(upstream.address());
        assert_eq!(send(plan).await.ok, 20);
    });
}

/// Answers every call as if it were the first.
struct Crossed;

impl Handler for Crossed {
    async fn handle(&self, _: Request) -> Response {
        let answer = ResponseBody {
            call_id: "o.bookings.7.0".into(),
            version: "v1".into(),
            size: 10,
        };
        Response::new(StatusCode::OK, answer.encode())
    }
}

#[test]
fn answers_to_other_calls_are_counted_as_wrong() {
    block_on(async {
        let listener = http_edge::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let _server = Server::start(listener, Rc::new(Crossed), ServerCfg::default());
        let summary = send(plan(address)).await;
        assert_eq!((summary.ok, summary.wrong), (1, 19));
    });
}

/// Checks the outcome that a response without a right answer stands for.
fn check(status: u16, headers: &[(&str, &str)], outcome: &Outcome) {
    let mut res = Response::text(StatusCode::from_u16(status).unwrap(), "");
    for (name, value) in headers {
        res = res.with_header(name, value);
    }
    assert_eq!(Outcome::of_response(&res, "c"), *outcome, "{status}");
}

#[test]
fn responses_are_sorted_by_what_they_say_about_the_run() {
    let not_run = ("x-not-run", "full");
    check(503, &[not_run, ("retry-after", "1")], &Outcome::Refused);
    check(503, &[not_run], &Outcome::RefusedWithoutRetryAfter);
    check(503, &[], &Outcome::Failed);
    check(500, &[], &Outcome::Failed);
    check(502, &[], &Outcome::Unknown);
    check(504, &[], &Outcome::Unknown);
    check(404, &[], &Outcome::Rejected);
    check(200, &[], &Outcome::Wrong);
}

#[test]
fn quantiles_are_by_nearest_rank() {
    let sorted: Vec<u64> = (1..=200).collect();
    assert_eq!(quantile(&sorted, 50), 100);
    assert_eq!(quantile(&sorted, 99), 198);
    assert_eq!(quantile(&sorted, 100), 200);
    assert_eq!(quantile(&[], 99), 0);
}
