//! What an instance states in its answers: a limit on its requests, and that it is leaving.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use http_edge::Request;
use ledger::Idempotency;
use mesh::rate_limit::RequestRate;
use mesh::wire::ForwardHead;
use mesh::wire::ForwardOutcome;
use mesh::wire::ForwardReply;
use protocol::call::CALL_HEADER;
use protocol::call::NotRunReason;
use protocol::call::OUTCOME_HEADER;
use protocol::call::REDIRECTABLE_HEADER;
use protocol::codec;

use crate::common::PEERS;
use crate::common::TIMEOUT;
use crate::fleet::Instance;
use crate::fleet::Machine;
use crate::fleet::boot;
use crate::fleet::machine;
use crate::fleet::send;
use crate::fleet::wait_for_instance;
use crate::fleet::wait_until;
use crate::fleet::with_fleet;

/// Counts of the responses to a stream of requests.
#[derive(Debug, Default)]
struct Tally {
    answered: Cell<usize>,
    refused: Cell<usize>,
    other: Cell<usize>,
}

/// Sends a request each `interval` until `end`, without waiting for the responses.
async fn send_stream(machine: Rc<Machine>, interval: Duration, end: Instant, tally: Rc<Tally>) {
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let (machine, tally) = (Rc::clone(&machine), Rc::clone(&tally));
        monoio::spawn(async move {
            let id = format!("stream-{}-{number}", machine.ip);
            let res = machine
                .send_request(http::Method::GET, "/look/1", &id)
                .await;
            let count = match res.status {
                StatusCode::OK => &tally.answered,
                StatusCode::SERVICE_UNAVAILABLE if res.header("retry-after").is_some() => {
                    &tally.refused
                }
                _ => &tally.other,
            };
            count.set(count.get() + 1);
        });
        monoio::time::sleep(interval).await;
    }
}

/// Sends requests from both machines to the only instance of the service for [`OFFERED_TIME`].
async fn overload(front: Machine, back: Machine) -> (Machine, Machine, Rc<Tally>) {
    let (front, back, tally) = (Rc::new(front), Rc::new(back), Rc::new(Tally::default()));
    let end = Instant::now() + OFFERED_TIME;
    let streams = [&front, &back].map(|machine| {
        let stream = send_stream(Rc::clone(machine), OFFER_INTERVAL, end, Rc::clone(&tally));
        monoio::spawn(stream)
    });
    for stream in streams {
        stream.await;
    }
    // Requests that are still under way hold their machine.
    let end = Instant::now() + TIMEOUT;
    while Rc::strong_count(&front) + Rc::strong_count(&back) > 2 {
        assert!(Instant::now() < end, "requests without a response");
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
    let front = Rc::into_inner(front).expect("all requests have ended");
    let back = Rc::into_inner(back).expect("all requests have ended");
    (front, back, tally)
}

/// Time in which a limit must be in force after an instance first stated it.
const LIMIT_SETTLE: Duration = Duration::from_secs(3);

/// Span in which the requests to an instance are counted.
const LIMIT_SPAN: Duration = Duration::from_secs(4);

/// Time for which [`overload`] sends requests, and the time between two of one machine.
const OFFERED_TIME: Duration = Duration::from_secs(8);
const OFFER_INTERVAL: Duration = Duration::from_millis(25);

/// Most requests in any [`LIMIT_SPAN`] that the platform accepts for a stated limit.
fn allowed(per_sec: f64) -> f64 {
    1.5 * per_sec * LIMIT_SPAN.as_secs_f64() + 5.0
}

fn assert_limit_is_held(instance: &Instance, per_sec: f64, stated: Instant) {
    let most = most_arrivals(instance, stated);
    let allowed = allowed(per_sec);
    let is_held = f64::from(u32::try_from(most).expect("few requests")) <= allowed;
    assert!(is_held, "{most} requests in 4 s, {allowed} allowed");
}

/// Returns the most arrivals in any [`LIMIT_SPAN`] that ends [`LIMIT_SETTLE`] after `stated` or later.
fn most_arrivals(instance: &Instance, stated: Instant) -> usize {
    let arrivals = instance.arrivals.borrow();
    let ends = arrivals.iter().filter(|end| **end >= stated + LIMIT_SETTLE);
    let in_span = |end: &Instant| {
        let is_counted = |at: &&Instant| **at <= *end && **at + LIMIT_SPAN > *end;
        arrivals.iter().filter(is_counted).count()
    };
    ends.map(in_span).max().unwrap_or(0)
}

/// Incident inc1: an instance got three times the limit that it had stated.
#[test]
fn an_instance_gets_no_more_than_its_stated_limit_from_all_daemons() {
    with_fleet(11, |_, front, back| async move {
        wait_for_instance(&front).await;
        wait_for_instance(&back).await;
        *back.instance.limit.borrow_mut() = Some("12.5");
        let stated = Instant::now();
        let (front, back, tally) = overload(front, back).await;
        assert_limit_is_held(&back.instance, 12.5, stated);
        // The instance is used up to its limit, and nothing is lost.
        let arrived = back.instance.arrivals_since(stated + LIMIT_SETTLE);
        assert!(arrived >= 50, "only {arrived} requests in 5 s");
        assert!(tally.refused.get() > 0, "{tally:?}");
        assert_eq!(tally.other.get(), 0, "{tally:?}");
        (front, back)
    });
}

#[test]
fn a_limit_of_zero_is_held_until_the_instance_accepts_requests_again() {
    with_fleet(12, |_, front, back| async move {
        wait_for_instance(&front).await;
        wait_for_instance(&back).await;
        *back.instance.limit.borrow_mut() = Some("0");
        let stated = Instant::now();
        let (front, back, _) = overload(front, back).await;
        let arrived = back.instance.arrivals_since(stated + LIMIT_SETTLE);
        assert!(arrived <= 5, "{arrived} requests in 5 s");
        *back.instance.limit.borrow_mut() = None;
        let ended = Instant::now();
        let (front, back, tally) = overload(front, back).await;
        let arrived = back.instance.arrivals_since(ended + OFFERED_TIME / 2);
        assert!(
            arrived >= 200,
            "{arrived} requests in the last 4 s, {tally:?}"
        );
        (front, back)
    });
}

/// A daemon that has just started has no answer of its instance; its callers know the limit.
#[test]
fn a_daemon_without_an_answer_of_its_instance_holds_the_limit_that_callers_know() {
    with_fleet(13, |_, front, back| async move {
        back.instance.service_time.set(Duration::from_millis(300));
        *back.instance.limit.borrow_mut() = Some("1");
        let calls: Vec<_> = (0..4)
            .map(|number| {
                let head = ForwardHead {
                    request: format!("id-{number}").into(),
                    fingerprint: number,
                    instance: "i-3".into(),
                    born: 7,
                    service: "bookings".into(),
                    version: "v1".into(),
                    route: "look".into(),
                    repeat: Idempotency::Idempotent,
                    rank: 1,
                    left_ms: 3000,
                    full_value_ms: 3000,
                    config: 3,
                    limit: RequestRate::from_per_sec(1.0),
                    is_isolated: false,
                    repeat_share: 0,
                    customer: None,
                };
                let req = Request::get("/look/1")
                    .with_header("x-request-id", &head.request)
                    .with_header(CALL_HEADER, codec::encode_header_value(&head));
                let ip = back.ip;
                monoio::spawn(async move { send(ip, PEERS, req).await })
            })
            .collect();
        for call in calls {
            call.await;
        }
        {
            let arrivals = back.instance.arrivals.borrow();
            // The others would start too late for an answer in time.
            assert_eq!(arrivals.len(), 2, "{arrivals:?}");
            assert!(arrivals[1] - arrivals[0] >= Duration::from_millis(900));
        }
        (front, back)
    });
}

/// Time after which no request may reach an instance that has said that it is leaving.
const DRAIN_TIME: Duration = Duration::from_secs(2);

#[test]
fn an_instance_that_says_it_is_leaving_in_its_answers_gets_no_more_requests() {
    with_fleet(14, |_, front, back| async move {
        wait_for_instance(&front).await;
        back.instance.is_leaving.set(true);
        let res = front
            .send_request(http::Method::GET, "/look/1", "id-1")
            .await;
        assert_eq!(res.status, StatusCode::OK);
        // Its heartbeats do not say so.
        back.send_heartbeat("bookings", "ready").await;
        monoio::time::sleep(DRAIN_TIME).await;
        let since = Instant::now();
        for machine in [&front, &back] {
            let res = machine
                .send_request(http::Method::GET, "/look/1", "id-2")
                .await;
            assert_eq!(res.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(res.header("retry-after").is_some());
        }
        assert_eq!(back.instance.arrivals_since(since), 0);
        (front, back)
    });
}

/// The only instance of a service that states its work time is full: nobody else has room, so requests
/// wait there, and the mark by which daemons may send them back does not reach it.
#[test]
fn requests_wait_at_a_full_instance_that_states_its_work_time_if_no_other_has_room() {
    with_fleet(41, |_, front, back| async move {
        wait_for_instance(&front).await;
        *back.instance.load.borrow_mut() = Some("1,0,8,250");
        back.instance.service_time.set(Duration::from_millis(60));
        let (front, back) = (Rc::new(front), Rc::new(back));
        let answered = Rc::new(Cell::new(0));
        let senders: Vec<_> = (0..8)
            .map(|number| {
                let (front, answered) = (Rc::clone(&front), Rc::clone(&answered));
                monoio::spawn(async move {
                    for round in 0..3 {
                        let id = format!("id-{number}-{round}");
                        let res = front.send_request(http::Method::GET, "/look/1", &id).await;
                        answered.set(answered.get() + u32::from(res.status == StatusCode::OK));
                    }
                })
            })
            .collect();
        for sender in senders {
            sender.await;
        }
        // Twice as many as the slots of the instance, all within the time of their full value.
        assert_eq!(answered.get(), 24);
        {
            let received = back.instance.received.borrow();
            let marked = |req: &&Request| req.header(REDIRECTABLE_HEADER).is_some();
            assert_eq!(received.iter().filter(marked).count(), 0);
        }
        // Nonsense is logged and ignored.
        *back.instance.load.borrow_mut() = Some("1,0,8,many");
        let res = front
            .send_request(http::Method::GET, "/look/1", "id-last")
            .await;
        assert_eq!(res.status, StatusCode::OK);
        let front = Rc::into_inner(front).expect("all senders have ended");
        let back = Rc::into_inner(back).expect("all senders have ended");
        (front, back)
    });
}

fn head_for(machine: &Machine, request: &str, full_value_ms: u32) -> ForwardHead {
    ForwardHead {
        request: request.into(),
        fingerprint: 1,
        instance: machine.instance.name.as_str().into(),
        born: 7,
        service: "bookings".into(),
        version: "v1".into(),
        route: "look".into(),
        repeat: Idempotency::Idempotent,
        rank: 1,
        left_ms: 3000,
        full_value_ms,
        config: 3,
        limit: None,
        is_isolated: false,
        repeat_share: 0,
        customer: None,
    }
}

/// Returns why the daemon of a machine does not run a request; `None` if it runs.
async fn refusal(
    machine: &Machine,
    head: &ForwardHead,
    mark: Option<&'static str>,
) -> Option<NotRunReason> {
    let mut req = Request::get("/look/1")
        .with_header("x-request-id", &head.request)
        .with_header(CALL_HEADER, codec::encode_header_value(head));
    if let Some(mark) = mark {
        req = req.with_header(mark, "1");
    }
    let res = send(machine.ip, PEERS, req).await;
    let reply = res.header(OUTCOME_HEADER).expect("a reply");
    match codec::decode_header_value::<ForwardReply>(reply)
        .expect("a reply")
        .outcome
    {
        ForwardOutcome::NotRun(not_run) => Some(not_run.reason),
        _ => None,
    }
}

/// All slots of one instance are in use and the other one idles.
#[test]
fn a_daemon_sends_marked_requests_back_while_another_instance_has_room() {
    with_fleet(42, |_, front, back| async move {
        let idle = machine(boot(42, 4, "bookings"), 4).await;
        wait_until("all know each other", || {
            let machines = [&front, &back, &idle];
            machines
                .iter()
                .all(|machine| machine.daemon.member_count() == 3)
        })
        .await;
        back.instance.service_time.set(Duration::from_secs(2));
        let running: Vec<_> = (0..4)
            .map(|number| {
                let head = head_for(&back, &format!("long-{number}"), 3000);
                let req = Request::get("/look/1")
                    .with_header("x-request-id", &head.request)
                    .with_header(CALL_HEADER, codec::encode_header_value(&head));
                let ip = back.ip;
                monoio::spawn(async move { send(ip, PEERS, req).await })
            })
            .collect();
        wait_until("all slots are in use", || {
            back.instance.arrivals.borrow().len() == 4
        })
        .await;
        let began = Instant::now();
        // It is refused rather than left to wait if it is not sent back.
        let head = ForwardHead {
            left_ms: 400,
            ..head_for(&back, "short", 300)
        };
        // The daemon knows the room from a report, which it may not have yet.
        while refusal(&back, &head, Some(REDIRECTABLE_HEADER)).await
            != Some(NotRunReason::Redirected)
        {
            let elapsed = began.elapsed();
            assert!(elapsed < Duration::from_millis(1500), "not sent back");
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
        let unmarked = refusal(&back, &head, None).await;
        assert_ne!(unmarked, Some(NotRunReason::Redirected));
        for request in running {
            request.await;
        }
        idle.close().await;
        (front, back)
    });
}
