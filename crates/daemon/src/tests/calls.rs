//! Guarantees for calls under faults of the network, the daemons and the upstreams: each call has
//! one outcome, and one that must not repeat runs at most once. Runs are counted at the upstreams.

use std::rc::Rc;
use std::time::Duration;

use http_edge::Handler;
use http_edge::Request;
use http_edge::Response;
use http_edge::block_on;
use protocol::announce::UpstreamPhase;
use protocol::call::AttemptId;
use protocol::call::CALL_HEADER;
use protocol::call::CALL_ID_HEADER;
use protocol::call::CallHead;
use protocol::call::Load;
use protocol::call::OUTCOME_HEADER;
use protocol::call::Outcome;
use protocol::call::OutcomeHead;
use protocol::call::ResolveRequest;
use protocol::codec;
use protocol::paths;
use standin_upstream::Faults;
use standin_upstream::faults::CallMode;

use crate::shared_state::ShutdownPhase;
use crate::tests::fleet::Fleet;
use crate::tests::fleet::QUEUE;
use crate::tests::fleet::SLOTS;
use crate::tests::fleet::outcome_of;
use crate::tests::fleet::serve;
use crate::tests::relay::Fault;
use crate::tests::relay::Fault::CutReply;
use crate::tests::relay::Fault::CutRequest;
use crate::tests::relay::Fault::Healthy;
use crate::tests::relay::Fault::LateReply;
use crate::tests::relay::Fault::SilentReply;
use crate::tests::relay::Fault::SilentRequest;

/// Size of an answer's body in bytes; large enough that faults can cut within the body.
const SIZE: usize = 100_000;

#[test]
fn booking_has_one_end_and_one_run_whatever_the_network_does() {
    // Connections to the near instance get the faults in the order in which they are opened.
    let check = |faults: &[Fault], want: &str, runs: u32| {
        let faults = faults.to_vec();
        let (result, ran) = block_on(async {
            let fleet = Fleet::start();
            fleet.near.relay.plan(&faults);
            let res = fleet.call("/book", "gown-7", SIZE).await;
            (outcome_of(&res, "gown-7"), fleet.runs("gown-7"))
        });
        assert_eq!((result, ran), (want, runs), "{faults:?}");
    };
    let late = LateReply(Duration::from_millis(400));
    check(&[Healthy], "answer", 1);
    // Cut after the first byte, in the head and in the body: the instance still has the answer and
    // returns it to the resolve request.
    check(&[CutReply(1)], "answer", 1);
    check(&[CutReply(100)], "answer", 1);
    check(&[CutReply(SIZE / 2)], "answer", 1);
    check(&[SilentReply], "answer", 1);
    check(&[late], "answer", 1);
    // The attempt never began: it is fenced, and the call runs at the other instance.
    check(&[CutRequest(1)], "answer", 1);
    check(&[CutRequest(200)], "answer", 1);
    check(&[SilentRequest], "answer", 1);
    // Two faults in sequence.
    check(&[CutReply(SIZE / 2), CutReply(SIZE / 2)], "answer", 1);
    check(&[CutReply(100), late], "answer", 1);
    check(&[SilentReply, SilentReply], "answer", 1);
    check(&[CutRequest(200), SilentRequest], "answer", 1);
    // No connection delivers a reply, as if the daemon were frozen: the outcome is unknown, and the
    // call does not run again.
    check(&[SilentReply; 20], "unknown", 1);
}

#[test]
fn lookup_is_answered_and_keeps_away_from_a_silent_instance() {
    let check = |fault: Fault| {
        let (results, opened) = block_on(async {
            let fleet = Fleet::start();
            fleet.near.relay.plan(&[fault; 100]);
            let mut results = Vec::new();
            for _ in 0..10 {
                let res = fleet.call("/look", "gown-7", 10).await;
                results.push(outcome_of(&res, "gown-7"));
            }
            (results, fleet.near.relay.opened())
        });
        assert_eq!(results, ["answer"; 10], "{fault:?}");
        // Each attempt opens two connections, its own and that of the check; without ejection the
        // ten calls open 20.
        assert!(opened < 10, "{fault:?}: {opened} connections");
    };
    check(SilentRequest);
    check(SilentReply);
}

/// Whether the daemon beside the upstream comes back after its kill.
#[derive(Debug, Clone, Copy)]
enum Death {
    Killed,
    Restarted,
}

#[test]
fn booking_in_a_daemon_that_is_killed_is_unknown_and_runs_at_most_once() {
    // The fault decides how far the call gets: stuck before it begins, or running.
    let check = |fault: Fault, death: Death, runs: u32| {
        let (result, ran) = block_on(async {
            let fleet = Rc::new(Fleet::start());
            fleet.near.relay.plan(&[fault]);
            let faults = Faults {
                slow: 4.0,
                ..Faults::default()
            };
            fleet.near.upstream.service().set_faults(faults);
            let call = Rc::clone(&fleet);
            let call = monoio::spawn(async move { call.call("/book", "gown-7", SIZE).await });
            while fleet.near.relay.opened() == 0 || fleet.runs("gown-7") < runs {
                monoio::time::sleep(Duration::from_millis(1)).await;
            }
            match death {
                Death::Killed => fleet.near.kill(),
                Death::Restarted => fleet.near.restart().await,
            }
            (outcome_of(&call.await, "gown-7"), fleet.runs("gown-7"))
        });
        assert_eq!((result, ran), ("unknown", runs), "{fault:?} {death:?}");
    };
    check(SilentRequest, Death::Killed, 0);
    check(SilentRequest, Death::Restarted, 0);
    check(Healthy, Death::Killed, 1);
    check(Healthy, Death::Restarted, 1);
}

#[test]
fn booking_meets_faults_of_the_upstream() {
    let check = |mode: CallMode, want: &str, runs: u32| {
        let (result, ran) = block_on(async {
            let fleet = Fleet::start();
            let faults = Faults {
                mode,
                ..Faults::default()
            };
            fleet.near.upstream.service().set_faults(faults);
            let res = fleet.call("/book", "gown-7", SIZE).await;
            (outcome_of(&res, "gown-7"), fleet.runs("gown-7"))
        });
        assert_eq!((result, ran), (want, runs), "{mode:?}");
    };
    check(CallMode::Refuse, "answer", 1);
    check(CallMode::Hang, "unknown", 1);
}

#[test]
fn refused_bookings_did_not_run_and_answered_ones_ran_once() {
    block_on(async {
        let fleet = Rc::new(Fleet::start());
        let room = 2 * (SLOTS as usize + QUEUE);
        let calls: Vec<_> = (0..4 * room)
            .map(|index| {
                let fleet = Rc::clone(&fleet);
                monoio::spawn(async move {
                    let id = format!("gown-{index}");
                    let res = fleet.call("/book", &id, 100 * index).await;
                    (outcome_of(&res, &id), fleet.runs(&id))
                })
            })
            .collect();
        let mut results = Vec::new();
        for call in calls {
            results.push(call.await);
        }
        let answered = results
            .iter()
            .filter(|result| **result == ("answer", 1))
            .count();
        let refused = results
            .iter()
            .filter(|result| **result == ("not run", 0))
            .count();
        assert_eq!(answered + refused, results.len(), "{results:?}");
        assert!(answered >= 2 * SLOTS as usize, "{results:?}");
        assert!(refused > 0, "{results:?}");
    });
}

#[test]
fn leaving_instance_gets_nothing_new_and_finishes_what_it_has() {
    let check = |leave: fn(&Fleet)| {
        block_on(async {
            let fleet = Rc::new(Fleet::start());
            let faults = Faults {
                slow: 10.0,
                ..Faults::default()
            };
            fleet.near.upstream.service().set_faults(faults);
            let early = Rc::clone(&fleet);
            let early = monoio::spawn(async move { early.call("/book", "early", SIZE).await });
            while fleet.runs("early") == 0 {
                monoio::time::sleep(Duration::from_millis(1)).await;
            }
            leave(&fleet);
            for index in 0..5 {
                let id = format!("late-{index}");
                let res = fleet.call("/book", &id, 10).await;
                assert_eq!(outcome_of(&res, &id), "answer");
            }
            assert_eq!(outcome_of(&early.await, "early"), "answer");
            let near = fleet.near.upstream.service().runs().borrow().counts_by_id();
            assert_eq!(near.len(), 1, "{near:?}");
        });
    };
    check(|fleet| fleet.near.shared.shutdown.set(ShutdownPhase::Draining));
    check(|fleet| {
        let announced = fleet.near.shared.upstream.get();
        let mut announced = Option::clone(&announced).unwrap();
        announced.phase = UpstreamPhase::Draining;
        fleet.near.shared.upstream.set(Some(announced));
    });
}

#[test]
fn cancellation_reaches_the_upstream_unless_the_call_runs_at_most_once() {
    let check = |path: &str, cancelled: u64| {
        block_on(async {
            let fleet = Fleet::start();
            let faults = Faults {
                slow: 20.0,
                ..Faults::default()
            };
            fleet.near.upstream.service().set_faults(faults);
            let req = Request::post(path, "").with_header(CALL_ID_HEADER, "gone");
            let mut conn = fleet.connect().await;
            let client = async {
                while fleet.runs("gone") == 0 {
                    monoio::time::sleep(Duration::from_millis(1)).await;
                }
            };
            monoio::select! {
                () = client => {}
                _ = conn.call(req, Duration::from_secs(30)) => panic!("answered too early"),
            }
            conn.close();
            let runs = loop {
                let runs = fleet.near.upstream.service().runs().borrow().summary();
                if runs.finished + runs.cancelled > 0 {
                    break runs;
                }
                monoio::time::sleep(Duration::from_millis(5)).await;
            };
            assert_eq!(runs.cancelled, cancelled, "{path}");
        });
    };
    check("/look", 1);
    check("/book", 0);
}

/// Answers each attempt with a reply that belongs to another attempt.
struct ReplyToOtherAttempt;

impl Handler for ReplyToOtherAttempt {
    async fn handle(&self, req: Request) -> Response {
        let res = Response::text(http::StatusCode::OK, "someone else's gown");
        if req.path() != paths::CALL {
            return res;
        }
        let head: protocol::call::CallHead =
            codec::decode_header_value(req.header(CALL_HEADER).unwrap()).unwrap();
        let attempt = AttemptId {
            sequence: head.attempt.sequence + 1,
            ..head.attempt
        };
        let head = OutcomeHead {
            attempt,
            outcome: Outcome::Answered,
            load: Load::default(),
        };
        res.with_header(OUTCOME_HEADER, codec::encode_header_value(&head))
    }
}

#[test]
fn reply_to_another_attempt_is_not_passed_on() {
    let result = block_on(async {
        let fleet = Fleet::start();
        fleet.near.relay.set_target(serve(ReplyToOtherAttempt));
        let res = fleet.call("/book", "gown-7", SIZE).await;
        outcome_of(&res, "gown-7")
    });
    assert_eq!(result, "unknown");
}

#[test]
fn malformed_requests_between_daemons_are_refused() {
    let check = |path: &str| {
        block_on(async {
            let fleet = Fleet::start();
            let timeout = Duration::from_secs(30);
            let limits = http_edge::Limits::default();
            let peer = fleet.near.relay.address;
            let mut conn = http_edge::Conn::connect(peer, timeout, limits)
                .await
                .unwrap();
            let req = Request::post(path, "no message").with_header(CALL_HEADER, "no head");
            let res = conn.call(req, timeout).await.unwrap();
            assert_eq!(res.status, http::StatusCode::BAD_REQUEST, "{path}");
        });
    };
    check(paths::CALL);
    check(paths::RESOLVE);
}

/// Another process may send any time; the daemon answers, and goes on.
#[test]
fn times_between_daemons_that_no_clock_holds_end_no_daemon() {
    block_on(async {
        let fleet = Fleet::start();
        let attempt = AttemptId {
            caller: "caller".into(),
            incarnation: 1,
            sequence: 1,
        };
        let head = CallHead {
            wire: protocol::WIRE_VERSION,
            attempt: attempt.clone(),
            call: "gown-1".into(),
            service: "bookings".into(),
            version: "v1".into(),
            route: "/look".into(),
            repeat: ledger::Idempotency::Idempotent,
            class: ledger::TrafficClass::default(),
            remaining: Duration::MAX,
            offset: 0,
        };
        let call = Request::post(paths::CALL, "one gown")
            .with_header(CALL_HEADER, codec::encode_header_value(&head))
            .with_header(protocol::call::TARGET_HEADER, "/look?size=10");
        let resolve = ResolveRequest {
            attempt,
            incarnation: fleet.near.shared.daemon_cfg.incarnation,
            remaining: Duration::MAX,
        };
        let resolve = Request::post(paths::RESOLVE, codec::encode(&resolve));
        for req in [call, resolve] {
            let timeout = Duration::from_secs(30);
            let limits = http_edge::Limits::default();
            let peer = fleet.near.relay.address;
            let conn = http_edge::Conn::connect(peer, timeout, limits).await;
            let res = conn.unwrap().call(req, timeout).await.unwrap();
            assert_eq!(res.status, http::StatusCode::OK);
        }
        let res = fleet.call("/book", "gown-2", SIZE).await;
        assert_eq!(outcome_of(&res, "gown-2"), "answer");
    });
}
